//! Following the log, appending to it, and spreading it between peers.
//!
//! One task follows the control stream and folds it; others repeat appends until they are read back and
//! compare positions with peers, so that what the log accepted reaches all when the log goes down.

mod append;
mod backoff;
mod begin;
mod claims;
mod folded;
mod follow;
mod heartbeat;
mod key_stream;
mod keys;
mod notes;
mod peers;
mod reader;
mod ring;
mod snapshots;

pub use append::AppendError;
pub use folded::Health;
pub use follow::{Journal, Options, start};
pub use keys::{ClaimError, KeyOutcome, Keys};
pub use snapshots::SnapshotRule;
