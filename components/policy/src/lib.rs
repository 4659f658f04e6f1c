//! Policies for placement, sizing, prewarming, keeping replicas loaded, eviction and the order of request series.
//!
//! Apart from [`Calendar`], everything here is a pure function of its arguments. Processes with the same folded state
//! compute the same result, and experiments can replay traces through the same code.

mod calendar;
mod closing;
mod evict;
mod gaps;
mod keepwarm;
mod placement;
mod prewarm;
mod schedule;
mod series;
mod sizing;

pub use calendar::Calendar;
pub use closing::{ClosingDemand, GRANT_LEAD};
pub use evict::eviction_cost;
pub use gaps::Gaps;
pub use keepwarm::{Costs, KeepWarm};
pub use placement::{
    CandidateEndpoint, HeldGrant, PlacementWeights, ReplicaSpec, choose_endpoint, relocation_saving,
};
pub use prewarm::{NeededReplica, needed_replicas, prewarm_schedule};
pub use schedule::{LoadSlot, StoreCapacity, WindowLoad, schedule};
pub use series::{Series, SeriesOrder};
pub use sizing::{Forecast, IDLE_RATE, ReplicaBounds, ReplicaTarget, target_replicas};
