//! Runs rounds of decisions while this process holds the lease. Each round appends at most one record to the log.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;
use journal::AppendError;
use policy::ClosingDemand;
use record::{Body, Decision};
use state::{Applied, State, Verdict};
use timeline::Kind;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use tree::Leaf;
use units::{Epoch, ModelName};

use crate::DemandLog;
use crate::balance::{MAX_GRANTS_EXAMINED, rebalance};
use crate::decide::{Rules, decide as decide_round};
use crate::forecast::Forecasts;
use crate::membership::Observations;
use crate::round_input::{Model, RoundInput};
use crate::run::Shared;

/// The longest wait for a change before the next round runs anyway.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);
/// The longest pause between rounds whose decisions were all void or whose append found the log frozen.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How long after a takeover no grant is moved to a better endpoint.
const REBALANCE_DELAY: Duration = Duration::from_secs(600);
/// The pause between two searches for better endpoints. Each search moves at most one grant.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(10);

/// What is kept between the rounds of one epoch.
#[derive(Default)]
struct EpochState {
    epoch: Epoch,
    forecasts: Forecasts,
    /// The number of models without an endpoint for a missing replica, in the last round.
    unplaced: usize,
    /// When the next search for better endpoints is due.
    next_rebalance: Option<Instant>,
    /// The position of the grant at which that search begins.
    cursor: usize,
}

impl EpochState {
    /// Whether to search for better endpoints now. No search runs soon after a takeover, when it is not known yet which
    /// models are in use, nor while a revoked grant waits for its release.
    fn is_rebalance_due(&mut self, input: &RoundInput, now: Instant) -> bool {
        let due = *self.next_rebalance.get_or_insert(now + REBALANCE_DELAY);
        let moving = input.grants.iter().any(|grant| grant.revoked);
        if now < due || moving {
            return false;
        }
        self.next_rebalance = Some(now + REBALANCE_INTERVAL);
        true
    }

    /// Returns the position of the grant at which this search begins, and moves on to the next search's.
    fn advance_cursor(&mut self, grants: usize) -> usize {
        let first = if self.cursor < grants { self.cursor } else { 0 };
        self.cursor = first + MAX_GRANTS_EXAMINED;
        first
    }
}

/// Runs rounds until the journal closes, and appends at most once per
/// [`Options::round_interval`](crate::Options::round_interval).
pub(crate) async fn run_rounds(
    shared: &Shared,
    demand: DemandLog,
    mut observations: watch::Receiver<Observations>,
) {
    let mut changes = shared.journal.changes();
    let mut epoch_state = EpochState::default();
    let mut pause = shared.options.round_interval;
    loop {
        let began = Instant::now();
        changes.borrow_and_update();
        let seen = observations.borrow_and_update().clone();
        let outcome = match read_input(shared) {
            Some(input) => run_round(shared, &input, &seen, &demand, &mut epoch_state).await,
            None => Ok(true),
        };
        pause = match outcome {
            Ok(true) | Err(AppendError::Unknown { .. }) => shared.options.round_interval,
            Ok(false) | Err(AppendError::Frozen) => (pause * 2).min(MAX_BACKOFF),
            Err(AppendError::Closed) => return,
        };
        sleep_until(began + pause).await;
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            _ = observations.changed() => {}
            () = demand.changed() => {}
            () = sleep(MAX_IDLE_WAIT) => {}
        }
    }
}

fn read_input(shared: &Shared) -> Option<RoundInput> {
    let epoch = shared.appendable_epoch()?;
    Some(shared.journal.read(|state| RoundInput::from_state(epoch, state)))
}

/// Runs one round. Returns `false` if the decisions were all void, so that the caller backs off.
async fn run_round(
    shared: &Shared,
    input: &RoundInput,
    observations: &Observations,
    demand: &DemandLog,
    epoch_state: &mut EpochState,
) -> Result<bool, AppendError> {
    let began = Instant::now();
    if epoch_state.epoch != input.epoch {
        *epoch_state = EpochState { epoch: input.epoch, ..EpochState::default() };
    }
    epoch_state.forecasts.record(&demand.take(), began);
    let wall_time = shared.options.calendar.now();
    let models = size_models(input, &mut epoch_state.forecasts, began, wall_time);
    let rules = Rules {
        observations,
        absence_timeout: shared.options.absence_timeout,
        max_decisions: shared.options.max_decisions,
    };
    let mut round = decide_round(input, &models, &rules);
    if round.decisions.is_empty() && epoch_state.is_rebalance_due(input, began) {
        let first = epoch_state.advance_cursor(input.grants.len());
        round.decisions.extend(rebalance(input, &models, &rules, first));
    }
    metrics::histogram!("planner_round_seconds").record(began.elapsed());
    report_unplaced(epoch_state, round.unplaced);
    if round.decisions.is_empty() {
        return Ok(true);
    }
    append(shared, input.epoch, round.decisions).await
}

/// Computes the target number of replicas of each model.
fn size_models(
    input: &RoundInput,
    forecasts: &mut Forecasts,
    now: Instant,
    wall_time: Timestamp,
) -> Vec<Model> {
    let granted_counts = input.granted_counts();
    let size = |leaf: &Arc<Leaf>| {
        let closing = ClosingDemand::at(&leaf.settings.windows, wall_time);
        let count = granted_counts.get(&leaf.model).copied().unwrap_or_default();
        let target = forecasts.target(leaf, count, &closing, now);
        let idle = forecasts.is_idle(&leaf.model);
        Model { leaf: leaf.clone(), closing, target, idle }
    };
    let models: Vec<Model> = input.leaves.iter().map(size).collect();
    let names: HashSet<&ModelName> = input.leaves.iter().map(|leaf| &leaf.model).collect();
    forecasts.retain(|model| names.contains(model));
    models
}

fn report_unplaced(epoch_state: &mut EpochState, unplaced: usize) {
    metrics::gauge!("planner_unplaced").set(u32::try_from(unplaced).unwrap_or(u32::MAX));
    if unplaced > epoch_state.unplaced {
        log::warn!("planner: no endpoint has room for another replica of {unplaced} models");
    }
    epoch_state.unplaced = unplaced;
}

/// Returns what a planner that has just taken over would decide on a state, at most `batch` decisions.
pub fn preview(state: &State, wall_time: Timestamp, max_decisions: usize) -> Vec<Decision> {
    let input = RoundInput::from_state(state.lease().epoch, state);
    let models = size_models(&input, &mut Forecasts::default(), Instant::now(), wall_time);
    let observations = Observations::default();
    let rules =
        Rules { observations: &observations, absence_timeout: Duration::MAX, max_decisions };
    decide_round(&input, &models, &rules).decisions
}

/// Appends the decisions of one round. Returns `false` if none of them took effect.
async fn append(
    shared: &Shared,
    epoch: Epoch,
    decisions: Vec<Decision>,
) -> Result<bool, AppendError> {
    if shared.appendable_epoch() != Some(epoch) {
        return Ok(true);
    }
    metrics::counter!("planner_decisions_total").increment(decisions.len() as u64);
    let body = Body::Decide { epoch, decisions: decisions.clone() };
    let answer = shared.journal.append(body, shared.options.lease_duration).await;
    let applied = answer.inspect_err(|error| {
        log::warn!("planner: no confirmation that a round was appended: {error}")
    })?;
    record_verdicts(shared, &decisions, &applied);
    Ok(applied.verdicts.contains(&Verdict::Done))
}

fn record_verdicts(shared: &Shared, decisions: &[Decision], applied: &Applied) {
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
            format!("the revocation of grant {}.{}", grant.offset, grant.part)
        }
        Decision::Gone { endpoint, .. } => format!("declaring {endpoint} gone"),
    }
}
