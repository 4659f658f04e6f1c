//! The state of one endpoint at this router.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use control::{EndpointLoad, EndpointState};
use fleet::{Endpoint, EndpointStage, Holdings};
use origin::ListedEndpoint;
use placement::{Candidate, PromptBacklog, RecentFailures};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use units::{EndpointIncarnation, ModelName, StorePosition};

use crate::guard::wall_clock;
use crate::hints::KnownHints;
use crate::liveness::LivenessState;
use crate::origins::ServiceSoftware;
use crate::pool::ConnectionPool;
use crate::rate_limit::RateLimitState;
use crate::speeds::EndpointSpeed;

/// How long the state that a loader reported takes precedence over the list of endpoints, for a loader that is polled every
/// second.
const STATE_LIFETIME: Duration = Duration::from_secs(5);
/// The same as a multiple of the poll interval, for loaders that are polled less often.
const STATE_LIFETIME_POLLS: u32 = 2;

/// The most ended incarnations that are remembered: more than an older list entry or a late report can name.
const MAX_ENDED: usize = 8;

/// From this number of new requests since the loader's last report on, they count as a burst that other routers have too.
const MIN_BURST: u32 = 3;
/// Each other router is assumed to have sent an endpoint one request for this many of a burst at this router.
const OTHER_ROUTER_BURST_DIVISOR: u32 = 3;

/// Set for an endpoint whose list entry is missing but may only have lapsed while the store was unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MissingEntry {
    /// When the endpoint is removed if its entry has not come back.
    pub(crate) until: Instant,
    /// Whether the endpoint did not answer its last health check as healthy. It gets no requests then.
    pub(crate) unhealthy: bool,
}

/// How this router uses one model of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) begun: u32,
    pub(crate) running: u32,
}

/// Requests to a loader to load a model that it has not answered yet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OpenLoads {
    pub(crate) open: u32,
    /// How many requests waited for the model when the loader was last asked.
    pub(crate) waiting: u32,
    /// When the loader was last asked.
    pub(crate) asked_at: Option<Instant>,
    /// Whether the loader knows that only its endpoint's version of the software may serve requests that wait.
    pub(crate) bound: bool,
}

impl OpenLoads {
    /// Whether the loader need not be told of these requests: it has been asked, and what it knows is about right.
    pub(crate) fn covers(&self, waiting: u32, bound: bool) -> bool {
        self.open > 0 && waiting < self.waiting.max(1) * 2 && (self.bound || !bound)
    }
}

/// When an incarnation started, by this router's wall clock. It may be off by the difference of the clocks.
fn started_at(EndpointIncarnation(started): EndpointIncarnation, now: Instant) -> Instant {
    let age = Duration::from_millis(wall_clock().0.saturating_sub(started));
    now.checked_sub(age).unwrap_or(now)
}

/// An endpoint and what this router knows about it.
#[derive(Debug)]
pub(crate) struct TrackedEndpoint {
    /// The endpoint in the newest incarnation that the list or its loader has reported.
    pub(crate) endpoint: Endpoint,
    /// The incarnation in the last list entry.
    listed_incarnation: Option<EndpointIncarnation>,
    /// The incarnation that its loader reported last, and the version of that state.
    reported: Option<(EndpointIncarnation, u64)>,
    /// Earlier incarnations, the last one at the end. Their order says which one is later; the times of their starts don't, since
    /// the endpoint's clock may have been set back.
    ended: VecDeque<EndpointIncarnation>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) listed_at: Instant,
    /// When this router first saw the incarnation; none if it was in the first list that the router read.
    pub(crate) incarnation_since: Option<Instant>,
    /// The position in the list of the last update of this endpoint's entry.
    pub(crate) list_position: StorePosition,
    /// How long the loader is asked to hold a poll while there is nothing new.
    pub(crate) poll_wait: Duration,
    /// Set while the endpoint's list entry is missing.
    pub(crate) missing: Option<MissingEntry>,
    pub(crate) hints: KnownHints,
    /// Whether the endpoint is being asked whether doubtful hints hold.
    pub(crate) settling_hints: bool,
    pub(crate) limit_state: RateLimitState,
    pub(crate) state: Option<(EndpointState, Instant)>,
    /// The model that is being loaded, and when it is expected to be ready.
    expected_ready: Option<(ModelName, Instant)>,
    /// Requests of this router at the endpoint when its loader last reported the running requests of all routers.
    pub(crate) running_baseline: u32,
    pub(crate) running: u32,
    /// Prompts of this router's requests that the endpoint has yet to process.
    pub(crate) backlog: PromptBacklog,
    pub(crate) uses: HashMap<ModelName, Usage>,
    pub(crate) paused_until: Option<Instant>,
    /// Consecutive failed calls.
    pub(crate) consecutive_failures: u32,
    /// Recent failed calls.
    pub(crate) recent_failures: RecentFailures,
    /// Requests to load a model that the loader has not answered yet.
    pub(crate) open_loads: HashMap<ModelId, OpenLoads>,
    pub(crate) refused_until: HashMap<ModelId, Instant>,
    pub(crate) loader_task: Option<AbortHandle>,
    /// What is known of its speed.
    pub(crate) speed: EndpointSpeed,
}

impl TrackedEndpoint {
    pub(crate) fn new(endpoint: Endpoint, now: Instant) -> Self {
        let pool = Arc::new(ConnectionPool::new(endpoint.addr));
        let listed_incarnation = endpoint.incarnation;
        Self {
            endpoint,
            listed_incarnation,
            reported: None,
            ended: VecDeque::new(),
            pool,
            listed_at: now,
            incarnation_since: Some(now),
            list_position: StorePosition::default(),
            poll_wait: Duration::ZERO,
            missing: None,
            hints: KnownHints::default(),
            settling_hints: false,
            limit_state: RateLimitState::default(),
            state: None,
            expected_ready: None,
            running_baseline: 0,
            running: 0,
            backlog: PromptBacklog::default(),
            uses: HashMap::new(),
            paused_until: None,
            consecutive_failures: 0,
            recent_failures: RecentFailures::default(),
            open_loads: HashMap::new(),
            refused_until: HashMap::new(),
            loader_task: None,
            speed: EndpointSpeed::default(),
        }
    }

    /// Applies a list entry. Returns true if it shows an incarnation that was not known before, or a new address.
    pub(crate) fn apply_entry(&mut self, endpoint: Endpoint, now: Instant) -> bool {
        self.missing = None;
        let repeated = endpoint.incarnation == self.listed_incarnation;
        let different = !self.same_incarnation(endpoint.incarnation);
        if different && (repeated || self.has_ended(endpoint.incarnation)) {
            // The loader has reported a later incarnation already, or the store has been restored from an older copy.
            self.listed_incarnation = endpoint.incarnation;
            return false;
        }
        self.listed_incarnation = endpoint.incarnation;
        self.listed_at = now;
        // An endpoint that reports no incarnation has restarted if it runs other software.
        let upgraded = endpoint.software.is_some()
            && self.endpoint.software.is_some()
            && endpoint.software != self.endpoint.software;
        let different = different || upgraded;
        if different || endpoint.addr != self.endpoint.addr {
            // An endpoint that has only moved to another address is still draining if it was before.
            let hints = if different { self.hints.after_restart(now) } else { self.hints };
            self.restart(endpoint, now);
            self.hints = hints;
            return true;
        }
        let incarnation = endpoint.incarnation.or(self.endpoint.incarnation);
        // A router of an earlier release passes entries on without the version.
        let software = endpoint.software.clone().or(self.endpoint.software.take());
        self.endpoint = Endpoint { incarnation, software, ..endpoint };
        false
    }

    /// Applies the state that the loader reported. Returns true if it shows an incarnation that was not known before.
    pub(crate) fn apply_state(&mut self, state: EndpointState, now: Instant) -> bool {
        if self.is_outdated(&state) {
            // The loader has not asked the endpoint since the endpoint restarted.
            return false;
        }
        let different = !self.same_incarnation(state.incarnation);
        let incarnation = state.incarnation.or(self.endpoint.incarnation);
        if different {
            let (hints, holdings) = (self.hints.after_restart(now), Some(state.holdings.clone()));
            // Only the next list entry shows which software the new incarnation runs.
            let endpoint =
                Endpoint { incarnation, software: None, holdings, ..self.endpoint.clone() };
            self.restart(endpoint, now);
            self.hints = hints;
        }
        self.endpoint.incarnation = incarnation;
        self.reported = state.incarnation.map(|incarnation| (incarnation, state.version));
        self.hints.own.draining |= state.draining;
        self.update_expected_ready(&state, now);
        self.state = Some((state, now));
        self.running_baseline = self.running;
        different
    }

    /// Whether a loader's state is of an incarnation before the known one.
    fn is_outdated(&self, state: &EndpointState) -> bool {
        if self.same_incarnation(state.incarnation) {
            return false;
        }
        match self.reported {
            // The loader has seen its endpoint restart since, unless a later answer has overtaken this one.
            Some((reported, version)) if self.endpoint.incarnation == Some(reported) => {
                self.has_ended(state.incarnation) && state.version <= version
            }
            // Nothing but the times of their starts shows whether an incarnation that was never seen here is later.
            _ => self.has_ended(state.incarnation) || state.incarnation < self.endpoint.incarnation,
        }
    }

    /// Whether a later incarnation is known to have replaced this one.
    pub(crate) fn has_ended(&self, incarnation: Option<EndpointIncarnation>) -> bool {
        incarnation.is_some_and(|incarnation| self.ended.contains(&incarnation))
    }

    /// A loader reports the remaining time of a load once, when the load begins, and repeats it unchanged later.
    fn update_expected_ready(&mut self, state: &EndpointState, now: Instant) {
        let known = self.expected_ready.take();
        let Some(loading) = &state.holdings.loading else { return };
        let known = known.filter(|(model, _)| *model == loading.model).map(|(_, at)| at);
        let reported = now + loading.remaining;
        let ready = known.map_or(reported, |known| known.min(reported));
        self.expected_ready = Some((loading.model.clone(), ready));
    }

    /// How much of the reported remaining time of the load in progress has passed since.
    pub(crate) fn load_progress(&self, now: Instant) -> Duration {
        let Some((state, _)) = &self.state else { return Duration::ZERO };
        let (Some(loading), Some((_, ready))) = (&state.holdings.loading, &self.expected_ready)
        else {
            return Duration::ZERO;
        };
        loading.remaining.saturating_sub(ready.saturating_duration_since(now))
    }

    /// Applies a loader's response that only the load has changed. Returns false if the loader has reported nothing for this
    /// incarnation.
    pub(crate) fn refresh_load(&mut self, load: EndpointLoad, now: Instant) -> bool {
        let Some((state, heard)) = &mut self.state else { return false };
        state.load = load;
        *heard = now;
        self.running_baseline = self.running;
        true
    }

    /// Whether this is the known incarnation, or may be it because either is unknown.
    pub(crate) fn same_incarnation(&self, incarnation: Option<EndpointIncarnation>) -> bool {
        !EndpointIncarnation::differ(incarnation, self.endpoint.incarnation)
    }

    /// Discards what belongs to an earlier incarnation: held models, running requests, connections, pauses and open loads.
    fn restart(&mut self, endpoint: Endpoint, now: Instant) {
        let (listed_incarnation, missing, list_position) =
            (self.listed_incarnation, self.missing, self.list_position);
        let (reported, ended) = (self.reported, self.ended_before(endpoint.incarnation));
        // The loader is reached at the endpoint's address, so its task ends if that has changed.
        let task = self.loader_task.take().filter(|task| {
            let moved = endpoint.addr != self.endpoint.addr;
            if moved {
                task.abort();
            }
            !moved
        });
        *self = Self {
            listed_incarnation,
            missing,
            list_position,
            reported,
            ended,
            loader_task: task,
            speed: self.speed.restarted(),
            ..Self::new(endpoint, now)
        };
    }

    /// The incarnations that have ended once the endpoint is known to run in this one.
    fn ended_before(
        &mut self,
        incarnation: Option<EndpointIncarnation>,
    ) -> VecDeque<EndpointIncarnation> {
        let mut ended = std::mem::take(&mut self.ended);
        if EndpointIncarnation::differ(self.endpoint.incarnation, incarnation) {
            ended.extend(self.endpoint.incarnation);
        }
        ended.retain(|one| Some(*one) != incarnation);
        if ended.len() > MAX_ENDED {
            ended.pop_front();
        }
        ended
    }

    /// The version of the endpoint's software; empty if it is not known.
    pub(crate) fn software(&self) -> &str {
        self.endpoint.software.as_ref().map_or("", |software| software.as_str())
    }

    /// Adds the endpoint's software to that of its service. An endpoint that has restarted counts once the list shows its software;
    /// until then this router lets no stream that began there go on elsewhere.
    pub(crate) fn add_software(&self, service: &mut ServiceSoftware) {
        match &self.endpoint.software {
            Some(software) => {
                service.versions.insert(software.clone());
            }
            None => service.unknown |= !self.awaits_software(),
        }
    }

    /// What the list says of the endpoint's software. Whether the endpoint has restarted since the list was read is asked of the
    /// endpoint itself.
    pub(crate) fn as_listed(&self, now: Instant) -> ListedEndpoint {
        let started = self.endpoint.incarnation.map(|incarnation| started_at(incarnation, now));
        let since = [self.incarnation_since, started].into_iter().flatten().min();
        ListedEndpoint { software: self.endpoint.software.clone(), since, confirmed: now }
    }

    /// Whether the list does not show yet which software the endpoint runs since it restarted.
    pub(crate) fn awaits_software(&self) -> bool {
        self.endpoint.software.is_none()
            && EndpointIncarnation::differ(self.endpoint.incarnation, self.listed_incarnation)
    }

    /// Whether the endpoint takes new requests, according to the list, its loader and its own hints.
    pub(crate) fn accepts_work(&self) -> bool {
        self.endpoint.stage == EndpointStage::Ready && !self.hints.draining()
    }

    /// How much longer the endpoint wants no requests from this router, if it asked for back-off.
    pub(crate) fn backoff_left(&self, now: Instant) -> Option<Duration> {
        let left = self.hints.backoff_until()?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// The endpoint's entry, as it is passed on to other routers.
    pub(crate) fn announced_entry(&self) -> Endpoint {
        let draining = self.hints.own.draining && self.endpoint.stage == EndpointStage::Ready;
        let stage = if draining { EndpointStage::Draining(None) } else { self.endpoint.stage };
        Endpoint { stage, ..self.endpoint.clone() }
    }

    /// Whether the endpoint may get requests now.
    pub(crate) fn usable(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| until > now);
        let missing = self.missing.is_some_and(|missing| missing.unhealthy);
        self.accepts_work()
            && self.pause_left(now).is_none()
            && !missing
            && !paused
            && !self.unresponsive(now)
    }

    /// Whether the endpoint has had requests of this router and sends nothing: it hangs or is unreachable.
    pub(crate) fn unresponsive(&self, now: Instant) -> bool {
        // An endpoint without models can't be probed: single requests find out whether it responds again.
        let has_models = self.endpoint.holdings.is_some();
        (has_models || self.running > 0)
            && self.pool.liveness().state(now) == LivenessState::Unresponsive
    }

    /// Whether the endpoint must answer a probe before it gets requests.
    pub(crate) fn needs_probe(&self, now: Instant) -> bool {
        let liveness = self.pool.liveness();
        self.endpoint.holdings.is_some()
            && match liveness.state(now) {
                LivenessState::Responsive => false,
                // The loader's permission to send a request shows that its instance responds.
                LivenessState::Doubtful => self.rate_limit(now).is_none(),
                LivenessState::Unresponsive => self.running == 0 || liveness.probe_due(now),
            }
    }

    /// The models that the endpoint holds, by its loader's state while that is recent, else by the list.
    pub(crate) fn holdings(&self, now: Instant) -> Option<&Holdings> {
        match &self.state {
            Some((state, heard)) if now - *heard < self.state_lifetime() => Some(&state.holdings),
            _ => self.endpoint.holdings.as_ref(),
        }
    }

    /// The estimated number of requests that the endpoint has from all routers. The loader's report is up to a second old.
    /// Since callers are spread over the routers, a burst from this router since then suggests that each other router has
    /// sent a third as many; only a third, because callers are spread unevenly. Fewer new requests suggest nothing: among
    /// thirty routers, one request each would seem to fill the endpoint.
    pub(crate) fn total_running(&self) -> u32 {
        let Some((state, _)) = &self.state else { return self.running };
        let others = state.load.running.saturating_sub(self.running_baseline);
        let new = self.running.saturating_sub(self.running_baseline);
        let assumed = if new >= MIN_BURST {
            new.saturating_mul(state.load.routers.saturating_sub(1)) / OTHER_ROUTER_BURST_DIVISOR
        } else {
            0
        };
        others.saturating_add(self.running).saturating_add(assumed)
    }

    /// The number of routers that send requests to the endpoint, this one included.
    pub(crate) fn routers(&self) -> u32 {
        self.state.as_ref().map_or(1, |(state, _)| state.load.routers.max(1))
    }

    /// The endpoint as the placement sees it; `can_load` says whether its loader may be asked for the model.
    pub(crate) fn candidate(&self, can_load: bool, now: Instant) -> Candidate<'_> {
        let state = self.state.as_ref().map(|(state, _)| state);
        Candidate {
            endpoint: &self.endpoint,
            holdings: self.holdings(now),
            running: self.running,
            total_running: self.total_running(),
            backlog: self.backlog.total(self.routers(), now),
            failures: self.recent_failures.count(now),
            room_wait: state.map_or(Duration::ZERO, |state| state.room_wait),
            queued_models: state.map_or(0, |state| state.load.waiting),
            can_load,
            time_factor: self.speed.used_factor(),
            balanced: self.speed.balanced(),
        }
    }

    /// How long the state that the loader reported takes precedence over the list.
    pub(crate) fn state_lifetime(&self) -> Duration {
        STATE_LIFETIME.max(self.poll_wait * STATE_LIFETIME_POLLS)
    }

    /// Whether the loader can be asked to load models.
    pub(crate) fn can_load(&self, now: Instant) -> bool {
        self.state
            .as_ref()
            .is_some_and(|(state, heard)| state.can_order && now - *heard < self.state_lifetime())
    }
}

#[cfg(test)]
mod tests;
