//! Decides which workspace a request belongs to and whether its key may still be served. Performs no input or output.
//!
//! A revoked key must not be served for longer than a configured bound, even by a router that is cut off from everything else.
//! A key is therefore served only while the newest read of the store that confirmed the workspaces is recent enough, counted from
//! the moment at which that read was sent.

mod decision;
mod freshness;

pub use decision::{AccessCheck, AccessDecision, Credential, Denial, decide_access};
pub use freshness::Freshness;
