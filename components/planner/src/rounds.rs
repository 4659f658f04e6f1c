//! Rounds of decisions while the lease is held, one append each at most.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;
use journal::AppendError;
use policy::Closing;
use record::{Body, Decision};
use state::{Applied, State, Verdict};
use timeline::Kind;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use tree::Leaf;
use units::{Epoch, ModelName};

use crate::DemandLog;
use crate::balance::{LOOKED_AT, rebalance};
use crate::decide::{Rules, decide as decide_round};
use crate::forecast::Forecasts;
use crate::membership::Sightings;
use crate::picture::{Model, Picture};
use crate::run::Shared;

/// The longest pause between two looks when nothing changes.
const IDLE: Duration = Duration::from_secs(1);
/// The longest pause after rounds whose decisions were all void.
const BACKOFF_MOST: Duration = Duration::from_secs(5);

/// How long after a takeover nothing is moved to a better place.
const SETTLE: Duration = Duration::from_secs(600);
/// The pause between two searches for better places, each of which moves one grant at most.
const SEARCH: Duration = Duration::from_secs(10);

/// What the rounds of one epoch remember.
#[derive(Default)]
struct Memory {
    epoch: Epoch,
    forecasts: Forecasts,
    unplaced: usize,
    /// When the next search for better places is due, and the grant it begins with.
    search: Option<Instant>,
    cursor: usize,
}

impl Memory {
    /// Whether to look for better places: not soon after a takeover, when it is not known yet which models
    /// are in use, and not while a grant is moving.
    fn is_search_due(&mut self, picture: &Picture, now: Instant) -> bool {
        let due = *self.search.get_or_insert(now + SETTLE);
        let moving = picture.grants.iter().any(|grant| grant.revoked);
        if now < due || moving {
            return false;
        }
        self.search = Some(now + SEARCH);
        true
    }

    /// The grant with which this search begins.
    fn advance(&mut self, grants: usize) -> usize {
        let first = if self.cursor < grants { self.cursor } else { 0 };
        self.cursor = first + LOOKED_AT;
        first
    }
}

/// Decides round by round until the journal ends; at most one append in [`Options::round`](crate::Options).
pub(crate) async fn decide(
    shared: &Shared,
    demand: DemandLog,
    mut sightings: watch::Receiver<Sightings>,
) {
    let mut changes = shared.journal.changes();
    let mut memory = Memory::default();
    let mut pause = shared.options.round_interval;
    loop {
        let began = Instant::now();
        changes.borrow_and_update();
        let seen = sightings.borrow_and_update().clone();
        let outcome = match picture(shared) {
            Some(picture) => one_round(shared, &picture, &seen, &demand, &mut memory).await,
            None => Ok(true),
        };
        pause = match outcome {
            Ok(true) | Err(AppendError::Unknown { .. }) => shared.options.round_interval,
            Ok(false) | Err(AppendError::Frozen) => (pause * 2).min(BACKOFF_MOST),
            Err(AppendError::Closed) => return,
        };
        sleep_until(began + pause).await;
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            _ = sightings.changed() => {}
            () = demand.news() => {}
            () = sleep(IDLE) => {}
        }
    }
}

fn picture(shared: &Shared) -> Option<Picture> {
    let epoch = shared.may_append()?;
    Some(shared.journal.read(|state| Picture::take(epoch, state)))
}

/// Decides and appends once; whether there is no cause to slow down.
async fn one_round(
    shared: &Shared,
    picture: &Picture,
    sightings: &Sightings,
    demand: &DemandLog,
    memory: &mut Memory,
) -> Result<bool, AppendError> {
    let began = Instant::now();
    if memory.epoch != picture.epoch {
        *memory = Memory { epoch: picture.epoch, ..Memory::default() };
    }
    memory.forecasts.note(&demand.take(), began);
    let today = shared.options.calendar.now();
    let models = sized(picture, &mut memory.forecasts, began, today);
    let rules = Rules {
        sightings,
        guard: shared.options.absence_timeout,
        batch: shared.options.max_decisions,
    };
    let mut round = decide_round(picture, &models, &rules);
    if round.decisions.is_empty() && memory.is_search_due(picture, began) {
        let first = memory.advance(picture.grants.len());
        round.decisions.extend(rebalance(picture, &models, &rules, first));
    }
    metrics::histogram!("planner_round_seconds").record(began.elapsed());
    note_unplaced(memory, round.unplaced);
    if round.decisions.is_empty() {
        return Ok(true);
    }
    append(shared, picture.epoch, round.decisions).await
}

/// Works out how many replicas each model is to have.
fn sized(
    picture: &Picture,
    forecasts: &mut Forecasts,
    now: Instant,
    today: Timestamp,
) -> Vec<Model> {
    let granted = picture.granted();
    let size = |leaf: &Arc<Leaf>| {
        let closing = Closing::at(&leaf.settings.windows, today);
        let count = granted.get(&leaf.model).copied().unwrap_or_default();
        let wanted = forecasts.size(leaf, count, &closing, now);
        let idle = forecasts.is_idle(&leaf.model);
        Model { leaf: leaf.clone(), closing, wanted, idle }
    };
    let models: Vec<Model> = picture.leaves.iter().map(size).collect();
    let names: HashSet<&ModelName> = picture.leaves.iter().map(|leaf| &leaf.model).collect();
    forecasts.retain(|model| names.contains(model));
    models
}

fn note_unplaced(memory: &mut Memory, unplaced: usize) {
    metrics::gauge!("planner_unplaced").set(u32::try_from(unplaced).unwrap_or(u32::MAX));
    if unplaced > memory.unplaced {
        log::warn!("planner: no endpoint has room for another replica of {unplaced} models");
    }
    memory.unplaced = unplaced;
}

/// What a planner that has just taken over would decide on a state: at most `batch` decisions.
pub fn preview(state: &State, today: Timestamp, batch: usize) -> Vec<Decision> {
    let picture = Picture::take(state.lease().epoch, state);
    let models = sized(&picture, &mut Forecasts::default(), Instant::now(), today);
    let sightings = Sightings::default();
    let rules = Rules { sightings: &sightings, guard: Duration::MAX, batch };
    decide_round(&picture, &models, &rules).decisions
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
    let answer = shared.journal.append(body, shared.options.lease_duration).await;
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
