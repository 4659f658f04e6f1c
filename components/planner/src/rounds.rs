//! Rounds of decisions while the lease is held, one append each at most.

use std::time::Duration;

use journal::AppendError;
use policy::{Bounds, Forecast, Wanted, wanted};
use record::{Body, Decision};
use state::{Applied, Verdict};
use timeline::Kind;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use tree::Leaf;
use units::Epoch;

use crate::DemandLog;
use crate::decide::{Rules, decide as decide_round};
use crate::membership::Sightings;
use crate::picture::{Models, Picture};
use crate::run::Shared;

/// The longest pause between two looks when nothing changes.
const IDLE: Duration = Duration::from_secs(1);
/// The longest pause after rounds whose decisions were all void.
const BACKOFF_MOST: Duration = Duration::from_secs(5);

/// Decides round by round until the journal ends; at most one append in [`Options::round`](crate::Options).
pub(crate) async fn decide(
    shared: &Shared,
    demand: DemandLog,
    mut sightings: watch::Receiver<Sightings>,
) {
    let mut changes = shared.journal.changes();
    let mut models = Models::default();
    let mut pause = shared.options.round;
    loop {
        let began = Instant::now();
        changes.borrow_and_update();
        let seen = sightings.borrow_and_update().clone();
        demand.take();
        let decisions = match picture(shared, &mut models) {
            Some(picture) => (picture.epoch, decide_at(shared, &picture, &seen)),
            None => (Epoch::default(), Vec::new()),
        };
        metrics::histogram!("planner_round_seconds").record(began.elapsed());
        let (epoch, decisions) = decisions;
        if !decisions.is_empty() {
            match append(shared, epoch, decisions).await {
                Ok(true) => pause = shared.options.round,
                Ok(false) => pause = (pause * 2).min(BACKOFF_MOST),
                Err(AppendError::Unknown { .. }) => pause = shared.options.round,
                Err(AppendError::Closed) => return,
            }
        }
        sleep_until(began + pause).await;
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            _ = sightings.changed() => {}
            () = sleep(IDLE) => {}
        }
    }
}

fn picture(shared: &Shared, models: &mut Models) -> Option<Picture> {
    let epoch = shared.may_append()?;
    Some(shared.journal.read(|state| Picture::take(epoch, state, models)))
}

fn decide_at(shared: &Shared, picture: &Picture, sightings: &Sightings) -> Vec<Decision> {
    let rules = Rules {
        sightings,
        guard: shared.options.guard,
        batch: shared.options.batch,
        sizes: &sizes,
        opens: &|_| None,
    };
    decide_round(picture, &rules)
}

fn sizes(leaf: &Leaf, now: u32) -> Wanted {
    let bounds = Bounds {
        least: leaf.settings.replicas_least,
        most: leaf.settings.replicas_most,
        batch: leaf.settings.batch,
        now,
    };
    wanted(&bounds, &Forecast::default())
}

/// Appends one batch; whether any decision of it took effect.
async fn append(
    shared: &Shared,
    epoch: Epoch,
    decisions: Vec<Decision>,
) -> Result<bool, AppendError> {
    if shared.may_append() != Some(epoch) {
        return Ok(true);
    }
    metrics::counter!("planner_decisions_total").increment(decisions.len() as u64);
    let body = Body::Decide { epoch, decisions: decisions.clone() };
    let answer = shared.journal.append(body, shared.options.lease).await;
    let applied = answer.inspect_err(|error| log::warn!("planner: round undecided: {error}"))?;
    note_outcome(shared, &decisions, &applied);
    Ok(applied.verdicts.contains(&Verdict::Done))
}

fn note_outcome(shared: &Shared, decisions: &[Decision], applied: &Applied) {
    for (decision, verdict) in decisions.iter().zip(&applied.verdicts) {
        if let Verdict::Void(void) = verdict {
            metrics::counter!("planner_void_total").increment(1);
            log::warn!("planner: {} is void: {void}", describe(decision));
        } else if let Decision::Gone { endpoint, incarnation } = decision {
            log::info!("planner: {endpoint} incarnation {incarnation} is gone");
            let event = shared.recorder.event(Kind::Gone).endpoint(endpoint);
            shared.recorder.record(event);
        }
    }
}

fn describe(decision: &Decision) -> String {
    match decision {
        Decision::Grant { model, index, endpoint, .. } => {
            format!("the grant of {model}#{index} to {endpoint}")
        }
        Decision::Revoke { grant, .. } => {
            format!("the end of grant {}.{}", grant.offset, grant.part)
        }
        Decision::Gone { endpoint, .. } => format!("dropping {endpoint}"),
    }
}
