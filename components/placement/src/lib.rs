//! Pure decisions about placement: which endpoint serves a request, and which endpoint loads a model.

mod backlog;
mod candidate;
mod capacity;
mod choose;
mod decay;
mod demand;
mod failures;
#[cfg(test)]
mod fixture;
mod load_target;
mod prefetch;
mod replica;
mod scale_out;
#[cfg(test)]
mod unchanged;

pub use backlog::PromptBacklog;
pub use candidate::{Candidate, memory_scarce, rank};
pub use capacity::{by_capacity, needs_fast_endpoint};
pub use choose::{ChosenEndpoint, choose_endpoint};
pub use demand::{Arrivals, Demand, MAX_MODEL_SLOT_SHARE, ScalingInputs};
pub use failures::RecentFailures;
pub use load_target::{
    LoadSource, LoadTarget, choose_fast_load_targets, choose_load_targets, has_copy,
};
pub use prefetch::{PrefetchCapacity, plan_prefetch};
pub use replica::{ReplicaRequest, choose_replica};
pub use scale_out::{CapacityBounds, ReplicaStatus, scale_out, scale_out_by_capacity};
