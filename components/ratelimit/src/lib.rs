//! Enforces the rate limit that an endpoint names over all routers together. Performs no input or output.
//!
//! Load pattern: an endpoint in need takes a few requests a second, fewer than there are routers, while many more than that are asked
//! for through all routers. One limiter for each endpoint hands out the times at which requests may be sent, so that the limit
//! holds whatever the number of routers and however unevenly callers are spread over them. A request that would have to wait
//! for too long is refused at once and takes no one else's turn.

mod limiter;
mod limiters;

pub use limiter::{Grant, Limiter};
pub use limiters::Limiters;
