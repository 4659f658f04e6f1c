//! The state of an engine: what is in memory, what is cached, which requests are known.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use edge::{CacheTier, Inventory, ReplicaPhase, Usage};
use tokio::time::Instant;
use units::{Incarnation, ModelName, Size, Span};

use super::prefixes::Prefixes;
use super::replica::{Replica, Ticket};
use super::run::Run;
use super::{EngineSettings, EngineTruth, LoadEvent, LoadPhase};
use crate::clock::{millis, wall_ms};

/// How many failed orders the inventory lists.
const FAILED_KEPT: usize = 32;

/// A crash begins again with a version that no reader has seen.
const CRASH_STEP: u64 = 1 << 32;

/// How a load ends.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fate {
    Good,
    Fail,
    Die,
}

#[derive(Debug)]
pub(crate) struct Faults {
    pub(crate) up: Instant,
    pub(crate) die: u32,
    pub(crate) fail: u32,
    pub(crate) cuts: u32,
    pub(crate) slow: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { up: Instant::now(), die: 0, fail: 0, cuts: 0, slow: 1.0 }
    }
}

impl Faults {
    /// How the next load ends; counts it.
    pub(crate) fn fate(&mut self) -> Fate {
        if take(&mut self.die) {
            Fate::Die
        } else if take(&mut self.fail) {
            Fate::Fail
        } else {
            Fate::Good
        }
    }

    pub(crate) fn is_down(&self) -> bool {
        Instant::now() < self.up
    }
}

/// Takes one from a count of faults that are due.
pub(crate) fn take(count: &mut u32) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}

#[derive(Debug)]
struct Sample {
    at: Instant,
    running: u32,
    waiting: u32,
}

/// Checkpoints near the accelerator, the least recently used first.
#[derive(Debug, Default)]
struct Cache {
    memory: VecDeque<ModelName>,
    disk: VecDeque<ModelName>,
}

fn touch(kept: &mut VecDeque<ModelName>, artifact: &ModelName, limit: usize) {
    kept.retain(|other| other != artifact);
    kept.push_back(artifact.clone());
    while kept.len() > limit {
        kept.pop_front();
    }
}

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) version: u64,
    pub(crate) seq: u64,
    pub(crate) fence: Incarnation,
    pub(crate) replicas: BTreeMap<ModelName, Replica>,
    pub(crate) seen: HashSet<String>,
    pub(crate) runs: HashMap<String, Arc<Run>>,
    pub(crate) recent: VecDeque<String>,
    pub(crate) faults: Faults,
    pub(crate) truth: EngineTruth,
    pub(crate) prefixes: Prefixes,
    failed: VecDeque<(String, String)>,
    cache: Cache,
    samples: VecDeque<Sample>,
    usage_lag: Duration,
}

impl Core {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let mut cache = Cache::default();
        for (artifact, tier) in &settings.cached {
            match tier {
                CacheTier::Memory => cache.memory.push_back(artifact.clone()),
                CacheTier::Disk => cache.disk.push_back(artifact.clone()),
                CacheTier::Remote => {}
            }
        }
        let truth = EngineTruth { memory: settings.memory, ..EngineTruth::default() };
        Self {
            version: 1,
            seq: 0,
            fence: Incarnation::default(),
            replicas: BTreeMap::new(),
            seen: HashSet::new(),
            runs: HashMap::new(),
            recent: VecDeque::new(),
            faults: Faults::default(),
            truth,
            failed: VecDeque::new(),
            cache,
            samples: VecDeque::new(),
            prefixes: Prefixes::new(settings.prefixes, 0),
            usage_lag: settings.usage_lag.0,
        }
    }

    pub(crate) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    pub(crate) fn taken(&self) -> Size {
        self.replicas.values().map(Replica::memory).sum()
    }

    /// Whether there is no room for so much more; that it was asked for is a violation.
    pub(crate) fn lacks(&mut self, need: Size, memory: Size) -> bool {
        let asked = self.taken() + need;
        let lacks = asked > memory;
        if lacks {
            self.truth.overcommits += 1;
            self.truth.high_water = self.truth.high_water.max(asked);
        }
        lacks
    }

    /// The replica of a ticket, unless it is gone.
    pub(crate) fn replica(&mut self, ticket: &Ticket) -> Option<&mut Replica> {
        let replica = self.replicas.get_mut(&ticket.artifact)?;
        (replica.serial == ticket.serial).then_some(replica)
    }

    pub(crate) fn tier(&self, artifact: &ModelName) -> CacheTier {
        if self.cache.memory.contains(artifact) {
            CacheTier::Memory
        } else if self.cache.disk.contains(artifact) {
            CacheTier::Disk
        } else {
            CacheTier::Remote
        }
    }

    /// A checkpoint that was loaded stays near.
    pub(crate) fn cache(&mut self, artifact: &ModelName, settings: &EngineSettings) {
        touch(&mut self.cache.memory, artifact, settings.memory_kept);
        touch(&mut self.cache.disk, artifact, settings.disk_kept);
    }

    pub(crate) fn fail(&mut self, order: &str, reason: impl Into<String>) {
        if self.failed.len() == FAILED_KEPT {
            self.failed.pop_front();
        }
        self.failed.push_back((order.to_owned(), reason.into()));
        self.version += 1;
    }

    /// Notes a step of a replica; it changes the inventory.
    pub(crate) fn note(&mut self, artifact: &ModelName, phase: LoadPhase, fence: Incarnation) {
        let memory = self.taken();
        self.truth.high_water = self.truth.high_water.max(memory);
        let artifact = artifact.clone();
        self.truth.events.push(LoadEvent { wall_ms: wall_ms(), artifact, phase, memory, fence });
        self.version += 1;
    }

    /// Takes a replica out of memory.
    pub(crate) fn remove(&mut self, ticket: &Ticket, phase: LoadPhase) {
        if self.replica(ticket).is_none() {
            return;
        }
        if let Some(replica) = self.replicas.remove(&ticket.artifact) {
            self.add_busy(&ticket.artifact, replica.busy);
            self.prefixes.evict(&ticket.artifact);
            self.note(&ticket.artifact, phase, replica.fence);
        }
        self.sample();
    }

    pub(crate) fn add_busy(&mut self, artifact: &ModelName, since: Option<Instant>) {
        let Some(since) = since else { return };
        let spent = millis(since.elapsed());
        *self.truth.busy_ms.entry(artifact.clone()).or_default() += spent;
    }

    /// Cuts the requests of a replica, or of all.
    pub(crate) fn cut(&mut self, serial: Option<u64>) {
        for run in self.runs.values() {
            if serial.is_none_or(|serial| run.ticket.serial == serial) && run.stop() {
                self.truth.cut += 1;
            }
        }
    }

    pub(crate) fn crash(&mut self, down: Duration, settings: &EngineSettings) {
        self.cut(None);
        let tickets: Vec<Ticket> = self
            .replicas
            .iter()
            .map(|(artifact, replica)| Ticket {
                artifact: artifact.clone(),
                serial: replica.serial,
            })
            .collect();
        for ticket in tickets {
            self.remove(&ticket, LoadPhase::Gone);
        }
        let mut truth = std::mem::take(&mut self.truth);
        truth.crashes += 1;
        let disk = std::mem::take(&mut self.cache.disk);
        let (version, seq) = (self.version, self.seq);
        let prefixes = self.prefixes.lost();
        *self = Self::new(settings);
        self.truth = truth;
        self.cache = Cache { memory: VecDeque::new(), disk };
        self.version = (version / CRASH_STEP + 1) * CRASH_STEP;
        self.seq = seq;
        self.prefixes = prefixes;
        self.faults.up = Instant::now() + down;
    }

    pub(crate) fn inventory(&self, memory: Size) -> Inventory {
        let loaded = self.replicas.iter().map(|(artifact, replica)| replica.loaded(artifact));
        let near = self.cache.memory.iter().map(|artifact| (artifact.clone(), CacheTier::Memory));
        let far = self.cache.disk.iter().filter(|artifact| !self.cache.memory.contains(artifact));
        let far = far.map(|artifact| (artifact.clone(), CacheTier::Disk));
        Inventory {
            version: self.version,
            memory,
            fence: self.fence,
            loaded: loaded.collect(),
            cached: near.chain(far).collect(),
            failed: self.failed.iter().cloned().collect(),
        }
    }

    /// Keeps the load of this moment for the lagging report.
    pub(crate) fn sample(&mut self) {
        let running = self.replicas.values().map(|replica| replica.running).sum();
        let waiting = self.replicas.values().map(|replica| replica.waiting.len()).sum::<usize>();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        self.samples.push_back(Sample { at: Instant::now(), running, waiting });
        self.trim_samples();
    }

    pub(crate) fn usage(&mut self) -> Usage {
        self.trim_samples();
        let lag = self.usage_lag;
        let front = self.samples.front().filter(|sample| sample.at.elapsed() >= lag);
        let (running, waiting) = front.map_or((0, 0), |sample| (sample.running, sample.waiting));
        Usage { running, waiting, age: Span(lag) }
    }

    fn trim_samples(&mut self) {
        while self.samples.get(1).is_some_and(|next| next.at.elapsed() >= self.usage_lag) {
            self.samples.pop_front();
        }
    }

    pub(crate) fn truth(&self) -> EngineTruth {
        let mut truth = self.truth.clone();
        for (artifact, replica) in &self.replicas {
            let Some(since) = replica.busy else { continue };
            let spent = millis(since.elapsed());
            *truth.busy_ms.entry(artifact.clone()).or_default() += spent;
        }
        truth
    }

    pub(crate) fn is_ready(&self, artifact: &ModelName) -> Option<&Replica> {
        self.replicas.get(artifact).filter(|replica| replica.phase == ReplicaPhase::Ready)
    }
}
