//! Which replica gives way when memory is short.

use std::time::Duration;

use tokio::time::Instant;
use units::{ModelName, Size};

use crate::replica::{Phase, Replica};

/// A replica that could be unloaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) artifact: ModelName,
    /// How long it has been idle.
    pub(crate) idle: Duration,
    /// How long it would take to load it again.
    pub(crate) reload: Duration,
    /// Whether a closing window needs it.
    pub(crate) held: bool,
    /// The memory it would give back.
    pub(crate) memory: Size,
}

/// A replica that was used within this time is not idle yet, so that loads do not chase each other.
const SETTLE: Duration = Duration::from_secs(1);

/// Whether a replica may give way: ready, with nothing waiting or running, and no order under way.
pub(crate) fn may_go(replica: &Replica) -> bool {
    let idle = replica.idle() && replica.used.elapsed() >= SETTLE;
    replica.phase == Phase::Ready && idle && replica.orderable()
}

/// The candidate for a replica.
pub(crate) fn candidate(replica: &Replica, memory: Size, reload: Duration) -> Candidate {
    let idle = Instant::now().saturating_duration_since(replica.used);
    let held = replica.warmth.is_held();
    Candidate { artifact: replica.artifact.clone(), idle, reload, held, memory }
}

/// Chooses who gives way for `missing` bytes, the least valuable first: idle longest for what a reload
/// costs, and those that a closing window needs last. Nobody goes if all together would not be enough.
pub(crate) fn choose(mut candidates: Vec<Candidate>, missing: Size) -> Vec<ModelName> {
    candidates.sort_by_key(|candidate| (candidate.held, std::cmp::Reverse(staleness(candidate))));
    let mut chosen = Vec::new();
    let mut freed = Size(0);
    for candidate in candidates {
        if freed >= missing {
            break;
        }
        freed = freed + candidate.memory;
        chosen.push(candidate.artifact);
    }
    if freed >= missing { chosen } else { Vec::new() }
}

fn staleness(candidate: &Candidate) -> u128 {
    candidate.idle.as_millis() * 1000 / candidate.reload.as_millis().max(1)
}
