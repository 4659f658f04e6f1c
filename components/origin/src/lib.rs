//! Which software version began each stream. What two versions write does not fit together, so a stream goes on only at the
//! version that began it, inside one answer and when its caller takes it up with another request, at any router.
//!
//! The router that begins a stream remembers its origin, and tells it to some keepers, which answer other routers. A router
//! that is not sure refuses to send a stream on.

mod decision;
mod keepers;
mod key;
mod table;
mod versions;

pub use decision::{Decision, Doubt, KeeperAnswer, ResumptionFacts, Source, decide};
pub use keepers::{Keeper, MAX_ASKED, TOLD_KEEPERS, rank_keepers};
pub use key::{ParseKeyError, StreamKey};
pub use table::{Lookup, OriginTable, StreamOrigin};
pub use versions::{VERSION_MEMORY, VersionHistory};
