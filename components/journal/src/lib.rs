//! Following the log, appending to it, and spreading it between peers.

mod follow;
mod keys;

pub use follow::{AppendError, Journal, Options, start};
pub use keys::{ClaimError, KeyOutcome, Keys};
