//! One endpoint, as this router knows it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use control::{EndpointLoad, EndpointState};
use fleet::{Endpoint, EndpointStage, Holdings};
use placement::{Candidate, PromptBacklog, RecentFailures};
use quarantine::UnixMillis;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use units::{EndpointIncarnation, ModelName, StorePosition};

use crate::liveness::LivenessState;
use crate::pool::ConnectionPool;

/// What a loader said is believed before the platform's list for this time, where it is asked each second.
const FRESH: Duration = Duration::from_secs(5);
/// The same, as so many times the time between two questions.
const FRESH_WAITS: u32 = 2;

/// Requests since its loader's last news that are a burst.
const BURST: u32 = 3;
/// Each other router is taken to have sent one for so many of a burst.
const ALIKE: u32 = 3;

/// What is known of an endpoint whose entry is missing and may only have lapsed while the store was away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MissingEntry {
    /// Until when its entry may come back; then it is gone.
    pub(crate) until: Instant,
    /// Whether it gave no sign when it was asked: it gets no requests.
    pub(crate) silent: bool,
}

/// What an endpoint has said of itself in one of its lives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReceivedHints {
    /// It leaves. Nothing takes that back within this life: neither the list, which may be older, nor a loader or
    /// another router, who may know less.
    pub(crate) leaving: bool,
    /// It wants nothing from this router until then.
    pub(crate) until: Option<Instant>,
    /// When it said so last, by this router's time of day.
    pub(crate) heard: UnixMillis,
}

impl ReceivedHints {
    /// What it has said in all, after it has said something more.
    pub(crate) fn merge(self, new: Self) -> Self {
        Self {
            leaving: self.leaving || new.leaving,
            until: self.until.max(new.until),
            heard: new.heard,
        }
    }

    /// Whether it was said in a life that is known to be another one than the one to which it was put down. Answers don't tell
    /// which life gives them, and an endpoint that has just started again speaks before the list tells of its life.
    pub(crate) fn is_from_incarnation(self, life: Option<EndpointIncarnation>) -> bool {
        life.is_some_and(|EndpointIncarnation(born)| self.heard.0 > born)
    }
}

/// How this router uses one model of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) begun: u32,
    pub(crate) running: u32,
}

/// Calls to a loader for a model that have no answer yet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct OpenLoads {
    pub(crate) open: u32,
    /// Requests that waited when it was last asked.
    pub(crate) waiting: u32,
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct TrackedEndpoint {
    /// It, in the newest of its lives that the list or its loader tells of.
    pub(crate) endpoint: Endpoint,
    /// The life that the list last told of.
    listed_incarnation: Option<EndpointIncarnation>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) listed_at: Instant,
    /// How far the list had been read when it last told of it.
    pub(crate) list_position: StorePosition,
    /// How long its loader is asked to wait for news.
    pub(crate) poll_wait: Duration,
    /// Set while its entry is missing.
    pub(crate) missing: Option<MissingEntry>,
    pub(crate) hints: ReceivedHints,
    pub(crate) state: Option<(EndpointState, Instant)>,
    /// Requests of this router when its loader last said how many there are of all.
    pub(crate) running_baseline: u32,
    pub(crate) running: u32,
    /// Prompts of this router's requests that it has still to read.
    pub(crate) backlog: PromptBacklog,
    pub(crate) uses: HashMap<ModelName, Usage>,
    pub(crate) paused_until: Option<Instant>,
    /// Failures in a row.
    pub(crate) consecutive_failures: u32,
    /// Failures of late.
    pub(crate) recent_failures: RecentFailures,
    /// What its loader has been asked for.
    pub(crate) open_loads: HashMap<ModelId, OpenLoads>,
    pub(crate) refused_until: HashMap<ModelId, Instant>,
    pub(crate) loader_task: Option<AbortHandle>,
}

impl TrackedEndpoint {
    pub(crate) fn new(endpoint: Endpoint, now: Instant) -> Self {
        let pool = Arc::new(ConnectionPool::new(endpoint.addr));
        let listed_incarnation = endpoint.incarnation;
        Self {
            endpoint,
            listed_incarnation,
            pool,
            listed_at: now,
            list_position: StorePosition::default(),
            poll_wait: Duration::ZERO,
            missing: None,
            hints: ReceivedHints::default(),
            state: None,
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
        }
    }

    /// Takes what the list says; true if that is about another life, of which nothing was known.
    pub(crate) fn apply_entry(&mut self, endpoint: Endpoint, now: Instant) -> bool {
        self.missing = None;
        let repeated = endpoint.incarnation == self.listed_incarnation;
        let other = !self.same_incarnation(endpoint.incarnation);
        if other && repeated {
            // Its loader has told of a later life already.
            return false;
        }
        self.listed_incarnation = endpoint.incarnation;
        self.listed_at = now;
        if other || endpoint.addr != self.endpoint.addr {
            // One that has only moved is as much about to leave as before.
            let said = if other { self.hints_in(endpoint.incarnation) } else { self.hints };
            self.restart(endpoint, now);
            self.hints = said;
            return true;
        }
        let life = endpoint.incarnation.or(self.endpoint.incarnation);
        self.endpoint = Endpoint { incarnation: life, ..endpoint };
        false
    }

    /// Takes what its loader says; true if that is about a life of which nothing was known.
    pub(crate) fn apply_state(&mut self, state: EndpointState, now: Instant) -> bool {
        let other = !self.same_incarnation(state.incarnation);
        if other && state.incarnation < self.endpoint.incarnation {
            // The loader has not asked its endpoint since it started again.
            return false;
        }
        let life = state.incarnation.or(self.endpoint.incarnation);
        if other {
            let (said, holdings) = (self.hints_in(life), Some(state.holdings.clone()));
            self.restart(Endpoint { incarnation: life, holdings, ..self.endpoint.clone() }, now);
            self.hints = said;
        }
        self.endpoint.incarnation = life;
        self.hints.leaving |= state.draining;
        self.state = Some((state, now));
        self.running_baseline = self.running;
        other
    }

    /// Takes that its loader has nothing new to say but how busy it is; false if it has said nothing in this life.
    pub(crate) fn refresh_load(&mut self, load: EndpointLoad, now: Instant) -> bool {
        let Some((state, heard)) = &mut self.state else { return false };
        state.load = load;
        *heard = now;
        self.running_baseline = self.running;
        true
    }

    /// What it has said in a life that begins to be known.
    fn hints_in(&self, life: Option<EndpointIncarnation>) -> ReceivedHints {
        if self.hints.is_from_incarnation(life) { self.hints } else { ReceivedHints::default() }
    }

    /// Whether it is in this life, as far as anybody says.
    pub(crate) fn same_incarnation(&self, life: Option<EndpointIncarnation>) -> bool {
        !EndpointIncarnation::differ(life, self.endpoint.incarnation)
    }

    /// Drops what was known of an earlier life: what it held and ran, connections, pauses, questions.
    fn restart(&mut self, endpoint: Endpoint, now: Instant) {
        let (listed_incarnation, missing, list_position) =
            (self.listed_incarnation, self.missing, self.list_position);
        // A loader is asked at the endpoint's address.
        let kept = self.loader_task.take().filter(|task| {
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
            loader_task: kept,
            ..Self::new(endpoint, now)
        };
    }

    /// Whether it takes new work, as far as the list, its loader and it itself say.
    pub(crate) fn accepts_work(&self) -> bool {
        self.endpoint.stage == EndpointStage::Ready && !self.hints.leaving
    }

    /// For how long it wants nothing from this router, if it said so.
    pub(crate) fn backoff_left(&self, now: Instant) -> Option<Duration> {
        let left = self.hints.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// The endpoint, as other routers are told of it.
    pub(crate) fn announced_entry(&self) -> Endpoint {
        let leaves = self.hints.leaving && self.endpoint.stage == EndpointStage::Ready;
        let stage = if leaves { EndpointStage::Draining(None) } else { self.endpoint.stage };
        Endpoint { stage, ..self.endpoint.clone() }
    }

    /// Whether it may get requests.
    pub(crate) fn usable(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| until > now);
        let missing = self.missing.is_some_and(|missing| missing.silent);
        self.accepts_work()
            && self.backoff_left(now).is_none()
            && !missing
            && !paused
            && !self.unresponsive(now)
    }

    /// Whether it has had requests of this router and sends nothing: it stands still or is cut off.
    fn unresponsive(&self, now: Instant) -> bool {
        // One without models can't be asked for a sign: it is found again by one request at a time.
        let askable = self.endpoint.holdings.is_some();
        (askable || self.running > 0)
            && self.pool.liveness().state(now) == LivenessState::Unresponsive
    }

    /// Whether it is to be asked for a sign of life before it gets requests.
    pub(crate) fn needs_probe(&self, now: Instant) -> bool {
        let signs = self.pool.liveness();
        self.endpoint.holdings.is_some()
            && match signs.state(now) {
                LivenessState::Responsive => false,
                LivenessState::Doubtful => true,
                LivenessState::Unresponsive => self.running == 0 || signs.silent(now),
            }
    }

    /// What it holds, from whoever knows best.
    pub(crate) fn holdings(&self, now: Instant) -> Option<&Holdings> {
        match &self.state {
            Some((state, heard)) if now - *heard < self.state_lifetime() => Some(&state.holdings),
            _ => self.endpoint.holdings.as_ref(),
        }
    }

    /// Requests that it is likely to have of all routers. What its loader says is up to a second old; since callers
    /// are spread over the routers, a burst that this one has sent there since stands for what the others have sent, or
    /// for a third of it, since they are spread unevenly. Fewer say nothing: among thirty routers one request each would
    /// seem to fill the endpoint.
    pub(crate) fn total_running(&self) -> u32 {
        let Some((state, _)) = &self.state else { return self.running };
        let others = state.load.running.saturating_sub(self.running_baseline);
        let new = self.running.saturating_sub(self.running_baseline);
        let alike =
            if new >= BURST { new * state.load.routers.saturating_sub(1) / ALIKE } else { 0 };
        others + self.running + alike
    }

    /// Routers that send requests there, this one included.
    pub(crate) fn routers(&self) -> u32 {
        self.state.as_ref().map_or(1, |(state, _)| state.load.routers.max(1))
    }

    /// What decisions see of it.
    pub(crate) fn candidate(&self, able: bool, now: Instant) -> Candidate<'_> {
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
            can_load: able,
        }
    }

    /// For how long what its loader said is believed.
    fn state_lifetime(&self) -> Duration {
        FRESH.max(self.poll_wait * FRESH_WAITS)
    }

    /// Whether its loader can be asked for models.
    pub(crate) fn can_load(&self, now: Instant) -> bool {
        self.state
            .as_ref()
            .is_some_and(|(state, heard)| state.can_order && now - *heard < self.state_lifetime())
    }
}

#[cfg(test)]
mod tests;
