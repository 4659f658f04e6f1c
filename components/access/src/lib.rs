//! Whose request it is, and whether its key is still served: values in, verdict out.
//!
//! A key that was taken away must not be served longer than a bound, also by a router that nobody reaches. So a key is served
//! only while the read that showed it is young enough, counted from the moment at which that read was sent.

mod decision;
mod freshness;

pub use decision::{AccessCheck, AccessDecision, Credential, Denial, decide_access};
pub use freshness::Freshness;
