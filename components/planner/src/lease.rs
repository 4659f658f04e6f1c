//! Claims and renews the planner lease.
//!
//! A process claims the lease when it has seen no renewal for
//! [`Options::lease_duration`](crate::Options::lease_duration) and some jitter, measured by its own clock. The time
//! counts only while the log can be read: after an outage every process waits a full lease duration again, in which the
//! holder renews, so that the processes do not all claim the lease when the log returns.

use std::time::Duration;

use journal::AppendError;
use record::Body;
use state::{Lease, Verdict};
use timeline::Kind;
use tokio::time::{Instant, sleep};
use units::{Epoch, InstanceId, Offset};
use xxhash_rust::xxh3::xxh3_64;

use crate::run::Shared;

/// How many times the holder renews within one lease duration.
const RENEWALS_PER_LEASE: u32 = 3;
/// How many times within one lease duration a process checks whether it must renew or claim.
const CHECKS_PER_LEASE: u32 = 20;
/// The jitter is less than the lease duration divided by this.
const JITTER_DIVISOR: u32 = 2;

/// The last change of the lease that this process has seen, timed by its own clock.
#[derive(Debug)]
pub(crate) struct LeaseWatch {
    renewed: Offset,
    epoch: Epoch,
    vacant: bool,
    since: Instant,
}

impl LeaseWatch {
    pub(crate) fn new(lease: &Lease, now: Instant) -> Self {
        let vacant = lease.holder.is_none();
        Self { renewed: lease.renewed, epoch: lease.epoch, vacant, since: now }
    }

    /// Records the lease as the folded state shows it. The wait starts again when the lease has changed or the log is
    /// down.
    pub(crate) fn observe(&mut self, lease: &Lease, log_up: bool, now: Instant) {
        let renewed = lease.renewed != self.renewed || lease.epoch != self.epoch;
        if renewed || !log_up || lease.holder.is_none() != self.vacant {
            *self = Self::new(lease, now);
        }
    }

    /// How long until a process may claim: `lease` and `jitter` after the last change, or only `jitter` if the lease was
    /// given up. Zero if it may claim now.
    pub(crate) fn lapses_in(&self, lease: Duration, jitter: Duration, now: Instant) -> Duration {
        let wait = if self.vacant { jitter } else { lease + jitter };
        wait.saturating_sub(now.duration_since(self.since))
    }
}

/// The jitter of a process, which spreads the claims of several processes. It differs from epoch to epoch.
pub(crate) fn jitter(instance: &InstanceId, epoch: Epoch, lease: Duration) -> Duration {
    let hash = xxh3_64(format!("{instance} {epoch}").as_bytes());
    let most = u64::try_from((lease / JITTER_DIVISOR).as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(hash % most.max(1))
}

/// Claims the lease when it lapses and renews it while this process holds it. Returns when the journal closes.
pub(crate) async fn maintain(shared: &Shared) {
    let lease = shared.options.lease_duration;
    let mut changes = shared.journal.changes();
    let mut watch = LeaseWatch::new(&shared.journal.read(|s| s.lease().clone()), Instant::now());
    let mut held = None;
    let mut renew_at = Instant::now();
    loop {
        let mut wait = lease / CHECKS_PER_LEASE;
        changes.borrow_and_update();
        let frozen = shared.journal.read(|state| state.frozen().is_some());
        let log_up = shared.journal.log_up() && !frozen;
        let seen = shared.journal.read(|state| state.lease().clone());
        watch.observe(&seen, log_up, Instant::now());
        let epoch = shared.journal.read(|state| shared.held_epoch(state));
        if epoch != held {
            record_change(shared, held, epoch);
            held = epoch;
            renew_at = Instant::now() + lease / RENEWALS_PER_LEASE;
        }
        if log_up && let Some(epoch) = epoch {
            if Instant::now() >= renew_at {
                renew_at = Instant::now() + lease / RENEWALS_PER_LEASE;
                if renew(shared, epoch).await == Err(AppendError::Closed) {
                    return;
                }
                continue;
            }
        } else if log_up {
            let jitter = jitter(&shared.instance, seen.epoch, lease);
            let left = watch.lapses_in(lease, jitter, Instant::now());
            // A record wakes all processes at the same time, so only the jitter separates their claims.
            wait = wait.min(left);
            if left.is_zero() {
                if claim(shared, seen.epoch).await == Err(AppendError::Closed) {
                    return;
                }
                watch =
                    LeaseWatch::new(&shared.journal.read(|s| s.lease().clone()), Instant::now());
                continue;
            }
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = sleep(wait) => {}
        }
    }
}

async fn claim(shared: &Shared, previous: Epoch) -> Result<(), AppendError> {
    log::info!("planner: lease of epoch {previous} has lapsed or was given up, claiming it");
    metrics::counter!("planner_claims_total").increment(1);
    let answer =
        shared.journal.append(Body::Claim { previous }, shared.options.lease_duration).await;
    let applied = answer.inspect_err(|error| {
        log::warn!("planner: no confirmation that the claim was appended: {error}")
    })?;
    if let Some(Verdict::Void(void)) = applied.verdicts.first() {
        log::info!("planner: claim did not take effect: {void}");
    }
    Ok(())
}

async fn renew(shared: &Shared, epoch: Epoch) -> Result<(), AppendError> {
    let limit = shared.options.lease_duration / RENEWALS_PER_LEASE;
    let answer = shared.journal.append(Body::Renew { epoch }, limit).await;
    answer.map(|_| ()).inspect_err(|error| {
        log::warn!("planner: no confirmation that the renewal was appended: {error}")
    })
}

fn record_change(shared: &Shared, old: Option<Epoch>, new: Option<Epoch>) {
    if let Some(epoch) = old {
        log::info!("planner: lost the lease of epoch {epoch}");
        let event = shared.recorder.event(Kind::Deposed).note(format!("epoch {epoch}"));
        shared.recorder.record(event);
    }
    if let Some(epoch) = new {
        log::info!("planner: holding the lease of epoch {epoch}");
        let event = shared.recorder.event(Kind::Elected).note(format!("epoch {epoch}"));
        shared.recorder.record(event);
    }
    metrics::gauge!("planner_holding").set(f64::from(u8::from(new.is_some())));
}

#[cfg(test)]
mod tests;
