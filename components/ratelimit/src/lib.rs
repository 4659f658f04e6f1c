//! Enforces the rate limit that an endpoint announces over all routers together. Performs no input or output.
//!
//! Load pattern: an overloaded endpoint takes a few requests a second, fewer than there are routers, while many more arrive at all
//! routers. One limiter for each endpoint schedules the requests, so that the limit holds whatever the number of routers and
//! however unevenly callers are spread over them. A request that would have to wait for too long is refused at once and uses
//! none of the capacity.

mod limiter;
mod limiters;

pub use limiter::{Grant, Limiter};
pub use limiters::Limiters;
