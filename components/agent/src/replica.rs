//! One artifact at this endpoint: how far it is, who waits for it, what it runs.

use std::collections::BTreeMap;
use std::time::Duration;

use edge::CacheTier;
use record::GrantId;
use serde::Serialize;
use tokio::time::Instant;
use tree::Settings as TreeSettings;
use units::{AdapterName, ModelName, ReplicaIndex, Size, Span};
use wire::{Refusal, Report};

use crate::estimate::{Average, LoadTimes, Wait};
use crate::pending::Pending;
use crate::queue::{Place, Queue, QueueLimits, Waiting};
use crate::warm::Warmth;

/// The next replica is woken when a request would stand behind others for longer than this share of its time left.
const WAKE_SHARE: f64 = 0.5;

/// For how long the next replica counts as awake after it was woken.
const WAKE_HOLD: Duration = Duration::from_secs(10);

/// How far a replica is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Phase {
    /// Not in the endpoint's memory.
    Cold,
    /// Ordered or loading.
    Loading,
    /// Serving.
    Ready,
    /// Serving what it has, but nothing new.
    Draining,
    /// Unload ordered or under way.
    Unloading,
}

/// The grant a replica is loaded under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) id: GrantId,
    pub(crate) index: ReplicaIndex,
    pub(crate) revoked: bool,
}

/// The settings of a replica, from the tree.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Limits {
    pub(crate) weights: Size,
    pub(crate) kv_room: Size,
    pub(crate) batch: usize,
    pub(crate) keep_warm: Duration,
    pub(crate) cold_weight: f64,
    pub(crate) idle_weight: f64,
    pub(crate) drain: Duration,
    pub(crate) queue: QueueLimits,
}

impl Default for Limits {
    fn default() -> Self {
        Self::from(&TreeSettings::default())
    }
}

impl From<&TreeSettings> for Limits {
    fn from(settings: &TreeSettings) -> Self {
        Self {
            weights: settings.weights,
            kv_room: settings.kv_room,
            batch: settings.batch.max(1) as usize,
            keep_warm: settings.keep_warm.0,
            cold_weight: settings.cold_weight,
            idle_weight: settings.idle_weight,
            drain: settings.drain.0,
            queue: QueueLimits {
                count: settings.queue as usize,
                group_share: settings.group_share,
                shed: settings.shed.clone(),
            },
        }
    }
}

/// An adapter next to its model.
#[derive(Debug)]
pub(crate) struct Adapter {
    pub(crate) weights: Size,
    pub(crate) ready: bool,
    pub(crate) running: usize,
    pub(crate) used: Instant,
    pub(crate) retry: Instant,
    pub(crate) pending: Option<Pending>,
}

impl Adapter {
    pub(crate) fn new(weights: Size) -> Self {
        let now = Instant::now();
        Self { weights, ready: false, running: 0, used: now, retry: now, pending: None }
    }
}

/// One artifact at this endpoint.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) artifact: ModelName,
    pub(crate) model: ModelName,
    pub(crate) grant: Option<Held>,
    /// Whether it is a plain service, which needs no grant and is always ready.
    pub(crate) pinned: bool,
    pub(crate) phase: Phase,
    pub(crate) since: Instant,
    pub(crate) source: CacheTier,
    pub(crate) pending: Option<Pending>,
    /// Until when an order whose reply was lost may still take effect.
    pub(crate) doubt: Option<Instant>,
    pub(crate) limits: Limits,
    pub(crate) queue: Queue,
    pub(crate) running: usize,
    pub(crate) woken: bool,
    pub(crate) used: Instant,
    pub(crate) warmth: Warmth,
    pub(crate) service: Average,
    pub(crate) adapters: BTreeMap<AdapterName, Adapter>,
    pub(crate) failures: u32,
    pub(crate) retry: Instant,
    pub(crate) next_awake: Option<Instant>,
}

impl Replica {
    pub(crate) fn new(artifact: ModelName, model: ModelName, limits: Limits) -> Self {
        let now = Instant::now();
        Self {
            artifact,
            model,
            grant: None,
            pinned: false,
            phase: Phase::Cold,
            since: now,
            source: CacheTier::Remote,
            pending: None,
            doubt: None,
            limits,
            queue: Queue::default(),
            running: 0,
            woken: false,
            used: now,
            warmth: Warmth::default(),
            service: Average::default(),
            adapters: BTreeMap::new(),
            failures: 0,
            retry: now,
            next_awake: None,
        }
    }

    /// The stand-in for a plain service.
    pub(crate) fn pinned(name: ModelName, limits: Limits) -> Self {
        Self { pinned: true, phase: Phase::Ready, ..Self::new(name.clone(), name, limits) }
    }

    /// Moves on to a phase.
    pub(crate) fn enter(&mut self, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            self.since = Instant::now();
        }
    }

    /// Whether a grant in force covers it.
    pub(crate) fn granted(&self) -> bool {
        self.pinned || self.grant.as_ref().is_some_and(|grant| !grant.revoked)
    }

    /// Whether nothing waits or runs.
    pub(crate) fn idle(&self) -> bool {
        self.running == 0 && self.queue.len() == 0
    }

    /// Whether no order is open.
    pub(crate) fn quiet(&self) -> bool {
        self.pending.is_none() && self.adapters.values().all(|adapter| adapter.pending.is_none())
    }

    /// Whether it certainly takes no memory, nor will by an order under way.
    pub(crate) fn unloaded(&self) -> bool {
        self.phase == Phase::Cold && self.pending.is_none()
    }

    /// Whether it is unloaded and every request that ran on it has its outcome.
    pub(crate) fn gone(&self) -> bool {
        self.unloaded() && self.running == 0
    }

    /// Whether nothing is lost by forgetting it.
    pub(crate) fn forgettable(&self) -> bool {
        self.gone() && self.grant.is_none() && self.queue.len() == 0
    }

    /// Whether somebody wants it loaded.
    pub(crate) fn wanted(&self) -> bool {
        self.woken || self.warmth.is_due() || self.queue.len() > 0
    }

    /// What a new request would wait for until it starts, behind `ahead` others.
    pub(crate) fn wait(&self, ahead: usize, times: &LoadTimes, tier: CacheTier) -> Wait {
        let now = Instant::now();
        let load = times.get(tier, self.limits.weights);
        let load = match self.phase {
            Phase::Ready | Phase::Draining => Duration::ZERO,
            Phase::Loading => {
                let since = self.pending.as_ref().map_or(now, |pending| pending.first);
                load.saturating_sub(now.saturating_duration_since(since))
            }
            Phase::Cold | Phase::Unloading => load + self.retry.saturating_duration_since(now),
        };
        let running = if load.is_zero() { self.running } else { 0 };
        Wait { load, ahead, running, batch: self.limits.batch, service: self.service.get() }
    }

    /// Lets a request wait here, or says why not; others that must make room are refused.
    pub(crate) fn admit(&mut self, waiting: Waiting, wait: Duration) -> Result<(), Refusal> {
        let left = waiting.deadline.saturating_duration_since(Instant::now());
        if wait > left {
            // A caller who comes back should find it loaded.
            self.woken |= self.unloaded();
            return Err(Refusal::Hopeless { wait: round(wait) });
        }
        self.used = Instant::now();
        self.warmth.came();
        match self.queue.push(waiting, &self.limits.queue) {
            Place::Taken => Ok(()),
            Place::Instead(other) => {
                other.slot.refuse(Refusal::Full { retry: retry_after(wait) });
                Ok(())
            }
            Place::Full => Err(Refusal::Full { retry: retry_after(wait) }),
        }
    }

    /// The next replica to wake, if a request with `left` until its deadline would stand too long behind others
    /// here and the next was not woken lately. What is left of the load does not count: the next one would have
    /// to load as well.
    pub(crate) fn overdue(&mut self, wait: Wait, left: Duration) -> Option<ReplicaIndex> {
        let now = Instant::now();
        let woken = self.next_awake.is_some_and(|until| until > now);
        let room = left.saturating_sub(wait.load);
        if woken || wait.behind() <= room.mul_f64(WAKE_SHARE) {
            return None;
        }
        let index = self.grant.as_ref()?.index;
        self.next_awake = Some(now + WAKE_HOLD);
        Some(index.next())
    }

    /// Starts waiting requests while the batch has room.
    pub(crate) fn pump(&mut self) {
        if !matches!(self.phase, Phase::Ready | Phase::Draining) {
            return;
        }
        while self.running < self.limits.batch {
            let adapters = &self.adapters;
            let can = |waiting: &Waiting| match &waiting.adapter {
                None => true,
                Some(need) => adapters.get(&need.name).is_some_and(|adapter| adapter.ready),
            };
            let Some(waiting) = self.queue.pop(can) else { return };
            if waiting.slot.start() {
                self.began(waiting.adapter.as_ref().map(|need| &need.name));
            }
        }
    }

    fn began(&mut self, adapter: Option<&AdapterName>) {
        self.used = Instant::now();
        self.running += 1;
        if let Some(adapter) = adapter.and_then(|name| self.adapters.get_mut(name)) {
            adapter.used = self.used;
            adapter.running += 1;
        }
    }

    /// Notes that a running request has ended.
    pub(crate) fn finish(&mut self, adapter: Option<&AdapterName>, took: Option<Duration>) {
        self.used = Instant::now();
        self.running = self.running.saturating_sub(1);
        if let Some(adapter) = adapter.and_then(|name| self.adapters.get_mut(name)) {
            adapter.used = self.used;
            adapter.running = adapter.running.saturating_sub(1);
        }
        if let Some(took) = took {
            self.service.add(took);
        }
        if self.idle() {
            self.warmth.rests();
        }
    }

    /// Refuses all that waits.
    pub(crate) fn refuse_all(&mut self, refusal: &Refusal) {
        for waiting in self.queue.take(|_| true) {
            waiting.slot.refuse(refusal.clone());
        }
    }

    /// What the agent says of the replica on an answer; `wait` is a new request's.
    pub(crate) fn report(&self, wait: Duration) -> Report {
        let up = matches!(self.phase, Phase::Loading | Phase::Ready);
        let index = self.grant.as_ref().map_or(0, |grant| grant.index.0);
        let next = self.next_awake.is_some_and(|until| until > Instant::now());
        let awake = if next { index + 2 } else { index + u32::from(up || self.wanted()) };
        Report {
            waiting: count(self.queue.len()),
            running: count(self.running),
            warm: self.phase == Phase::Ready,
            awake,
            wait: round(wait),
            tick: timeline::Tick::default(),
            prefixes: None,
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// A span in whole milliseconds, as it is written.
fn round(span: Duration) -> Span {
    Span::millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// When a refused caller may come back: once what waits now is through, and not at once.
fn retry_after(wait: Duration) -> Span {
    round(wait.max(Duration::from_secs(1)))
}
