//! The state folded from the log.
//!
//! Every process applies the same records in the same order with the same rules, so all agree on the tree,
//! the planner lease, the members and the grants without a message. A record that breaks a rule is void for all.

mod fold;
mod grants;
mod members;
mod names;
mod recent;
mod rules;
mod snapshot;
mod summary;
mod text;
mod verdict;

pub use fold::{Frozen, Grant, Lease, Member, State};
pub use snapshot::{SnapshotError, chunks, from_text, join, to_text};
pub use summary::Summary;
pub use verdict::{Applied, Verdict, Void};
