//! Which software version began each stream. What two versions write does not fit together, so a stream goes on only at the
//! version that began it, inside one answer and when its caller takes it up with another request, at any router.
//!
//! The router that begins a stream remembers its origin, and tells it to some keepers, which answer other routers. A router
//! that is not sure refuses to send a stream on.

mod budget;
mod check;
mod decision;
mod incarnations;
mod keepers;
mod key;
mod restarts;
mod service_record;
mod table;
mod versions;

pub use budget::TellBudget;
pub use check::{LoaderAnswer, OriginCheck};
pub use decision::{
    Confirmation, Decision, Doubt, Established, Evidence, KeeperAnswer, ListedEndpoint,
    ReadRecords, ResumptionFacts, Source, decide,
};
pub use incarnations::{Attribution, IncarnationLog, SeenIncarnation, StreamNeeds};
pub use keepers::{
    Keeper, KeeperState, MAX_ASKED, Retelling, TOLD_KEEPERS, ToldStream, choose_told, rank_keepers,
    retell,
};
pub use key::{ParseKeyError, StreamKey};
pub use service_record::{EstablishedVersion, SeenVersions, ServiceRecord};
pub use table::{Lookup, MAX_KEEP, MAX_ORIGINS, OriginTable, StreamOrigin};
pub use versions::{LIST_LAG, NewVersion, VERSION_MEMORY, VersionHistory};
