//! Claiming and renewing the planner lease.
//!
//! A process claims the lease when it has seen no renewal for [`Options::lease`](crate::Options) and some
//! jitter on its own clock. Seeing counts only while the log can be read: after an outage everybody waits a
//! full lease again, in which the holder renews, so the return of the log starts no rush of claims.

use std::time::Duration;

use journal::AppendError;
use record::Body;
use state::{Lease, Verdict};
use timeline::Kind;
use tokio::time::{Instant, sleep};
use units::{Epoch, InstanceId, Offset};
use xxhash_rust::xxh3::xxh3_64;

use crate::run::Shared;

/// The holder renews this many times within one lease.
const RENEWALS: u32 = 3;
/// How often within one lease a process looks at the clock.
const LOOKS: u32 = 20;
/// Jitter is at most this part of the lease.
const JITTER_PART: u32 = 2;

/// What a process has seen of the lease on its own clock.
#[derive(Debug)]
pub(crate) struct Watch {
    renewed: Offset,
    epoch: Epoch,
    vacant: bool,
    since: Instant,
}

impl Watch {
    pub(crate) fn new(lease: &Lease, now: Instant) -> Self {
        let vacant = lease.holder.is_none();
        Self { renewed: lease.renewed, epoch: lease.epoch, vacant, since: now }
    }

    /// Notes what the fold shows; time counts only while the log is up.
    pub(crate) fn observe(&mut self, lease: &Lease, up: bool, now: Instant) {
        let moved = lease.renewed != self.renewed || lease.epoch != self.epoch;
        if moved || !up || lease.holder.is_none() != self.vacant {
            *self = Self::new(lease, now);
        }
    }

    /// When a process that waits `lease` and `jitter` is to claim; zero if now.
    pub(crate) fn lapses_in(&self, lease: Duration, jitter: Duration, now: Instant) -> Duration {
        let wait = if self.vacant { jitter } else { lease + jitter };
        wait.saturating_sub(now.duration_since(self.since))
    }
}

/// Spreads the claims of several processes; the same process waits another time in the next epoch.
pub(crate) fn jitter(instance: &InstanceId, epoch: Epoch, lease: Duration) -> Duration {
    let hash = xxh3_64(format!("{instance} {epoch}").as_bytes());
    let most = u64::try_from((lease / JITTER_PART).as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(hash % most.max(1))
}

/// Claims the lease when it lapses and renews it while held; ends with the journal.
pub(crate) async fn keep(shared: &Shared) {
    let lease = shared.options.lease_duration;
    let mut changes = shared.journal.changes();
    let mut watch = Watch::new(&shared.journal.read(|s| s.lease().clone()), Instant::now());
    let mut held = None;
    let mut renew_at = Instant::now();
    loop {
        let mut look = lease / LOOKS;
        changes.borrow_and_update();
        let frozen = shared.journal.read(|state| state.frozen().is_some());
        let up = shared.journal.log_up() && !frozen;
        let seen = shared.journal.read(|state| state.lease().clone());
        watch.observe(&seen, up, Instant::now());
        let epoch = shared.journal.read(|state| shared.held(state));
        if epoch != held {
            note_change(shared, held, epoch);
            held = epoch;
            renew_at = Instant::now() + lease / RENEWALS;
        }
        if up && let Some(epoch) = epoch {
            if Instant::now() >= renew_at {
                renew_at = Instant::now() + lease / RENEWALS;
                if renew(shared, epoch).await == Err(AppendError::Closed) {
                    return;
                }
                continue;
            }
        } else if up {
            let jitter = jitter(&shared.instance, seen.epoch, lease);
            let left = watch.lapses_in(lease, jitter, Instant::now());
            // One record wakes all, so that all look at the same moments: only the jitter tells their claims apart.
            look = look.min(left);
            if left.is_zero() {
                if claim(shared, seen.epoch).await == Err(AppendError::Closed) {
                    return;
                }
                watch = Watch::new(&shared.journal.read(|s| s.lease().clone()), Instant::now());
                continue;
            }
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = sleep(look) => {}
        }
    }
}

async fn claim(shared: &Shared, previous: Epoch) -> Result<(), AppendError> {
    log::info!("planner: no renewal of epoch {previous} seen, claiming the lease");
    metrics::counter!("planner_claims_total").increment(1);
    let answer =
        shared.journal.append(Body::Claim { previous }, shared.options.lease_duration).await;
    let applied = answer.inspect_err(|error| log::warn!("planner: claim undecided: {error}"))?;
    if let Some(Verdict::Void(void)) = applied.verdicts.first() {
        log::info!("planner: claim lost: {void}");
    }
    Ok(())
}

async fn renew(shared: &Shared, epoch: Epoch) -> Result<(), AppendError> {
    let limit = shared.options.lease_duration / RENEWALS;
    let answer = shared.journal.append(Body::Renew { epoch }, limit).await;
    answer.map(|_| ()).inspect_err(|error| log::warn!("planner: renewal undecided: {error}"))
}

fn note_change(shared: &Shared, old: Option<Epoch>, new: Option<Epoch>) {
    if let Some(epoch) = old {
        log::info!("planner: lost epoch {epoch}");
        let event = shared.recorder.event(Kind::Deposed).note(format!("epoch {epoch}"));
        shared.recorder.record(event);
    }
    if let Some(epoch) = new {
        log::info!("planner: holding epoch {epoch}");
        let event = shared.recorder.event(Kind::Elected).note(format!("epoch {epoch}"));
        shared.recorder.record(event);
    }
    metrics::gauge!("planner_holding").set(f64::from(u8::from(new.is_some())));
}

#[cfg(test)]
mod tests;
