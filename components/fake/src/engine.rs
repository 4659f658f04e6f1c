//! A model engine in memory, with faults and the truth of what it did.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use edge::{
    CacheEvent, CacheEvents, CacheTier, Endpoint, EndpointError, Inventory, Loaded, Order,
    OrderKind, ReplicaPhase, Usage,
};
use futures_util::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use units::{AdapterName, Incarnation, ModelName, RequestId, Size, Span};
use web::Body;

/// What is wrong with the engine, and how fast it is.
#[derive(Debug, Clone)]
pub struct Faults {
    /// How long a load takes.
    pub load: Duration,
    /// How long an unload takes.
    pub unload: Duration,
    /// How long a token takes.
    pub token: Duration,
    /// How many tokens an answer has.
    pub tokens: usize,
    /// Orders that take effect, but whose reply is lost.
    pub lost_replies: u32,
    /// Orders that never arrive.
    pub lost_orders: u32,
    /// Orders arrive this much later than their sender gives up.
    pub late_orders: Option<Duration>,
    /// Loads fail with this reason.
    pub fail_loads: Option<String>,
    /// The next answers stop after this many tokens, while the engine goes on.
    pub silent_after: Option<usize>,
    /// Calls run, but no head of an answer comes.
    pub mute_calls: bool,
    /// Orders are refused.
    pub refuse_orders: bool,
    /// Old fencing numbers are ignored.
    pub unfenced: bool,
}

impl Truth {
    /// How many loads of an artifact were carried out.
    pub fn loads(&self, name: &str) -> usize {
        let load = |order: &&Order| matches!(&order.order, OrderKind::Load { artifact, .. } if artifact.as_str() == name);
        self.orders.iter().filter(load).count()
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            load: Duration::from_secs(4),
            unload: Duration::from_millis(100),
            token: Duration::from_millis(50),
            tokens: 4,
            lost_replies: 0,
            lost_orders: 0,
            late_orders: None,
            fail_loads: None,
            silent_after: None,
            mute_calls: false,
            refuse_orders: false,
            unfenced: false,
        }
    }
}

/// What the engine has really done.
#[derive(Debug, Clone, Default)]
pub struct Truth {
    /// How often each request has run, by its id.
    pub executions: BTreeMap<String, u32>,
    /// Requests that were cancelled.
    pub cancelled: BTreeSet<String>,
    /// Orders that were carried out, each once.
    pub orders: Vec<Order>,
    /// Orders that were refused.
    pub refused: u32,
    /// The most memory that was taken at one time.
    pub high_water: Size,
    /// The most artifacts of each model that were in memory at one time.
    pub most_loaded: BTreeMap<String, usize>,
    /// Requests that an unload has cut.
    pub cut_by_unload: u32,
    /// Calls that came, by the model that they named.
    pub calls: Vec<String>,
}

#[derive(Debug)]
struct Held {
    phase: ReplicaPhase,
    base: Size,
    adapters: BTreeMap<AdapterName, (Size, bool)>,
}

impl Held {
    fn memory(&self) -> Size {
        self.base + self.adapters.values().map(|(size, _)| *size).sum()
    }
}

#[derive(Debug, Clone, Default)]
struct Output {
    bytes: Vec<u8>,
    done: bool,
    dead: bool,
}

#[derive(Debug)]
struct Run {
    artifact: ModelName,
    output: watch::Sender<Output>,
}

#[derive(Debug)]
struct Core {
    life: u64,
    version: u64,
    memory: Size,
    fence: Incarnation,
    loaded: BTreeMap<ModelName, Held>,
    cached: BTreeMap<ModelName, CacheTier>,
    failed: Vec<(String, String)>,
    seen: BTreeSet<String>,
    runs: HashMap<RequestId, Arc<Run>>,
    faults: Faults,
    truth: Truth,
    cache_events: Vec<CacheEvent>,
}

#[derive(Debug)]
struct Shared {
    core: Mutex<Core>,
    changed: Notify,
}

/// A model engine in memory; clones share it.
#[derive(Debug, Clone)]
pub struct Engine(Arc<Shared>);

impl Engine {
    /// An engine with nothing loaded.
    pub fn new(memory: Size) -> Self {
        let core = Core {
            life: 0,
            version: 1,
            memory,
            fence: Incarnation(0),
            loaded: BTreeMap::new(),
            cached: BTreeMap::new(),
            failed: Vec::new(),
            seen: BTreeSet::new(),
            runs: HashMap::new(),
            faults: Faults::default(),
            truth: Truth::default(),
            cache_events: Vec::new(),
        };
        Self(Arc::new(Shared { core: Mutex::new(core), changed: Notify::new() }))
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what is wrong with it.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.core().faults);
    }

    /// Tells of more cache events from now on.
    pub fn tell(&self, events: Vec<CacheEvent>) {
        self.core().cache_events.extend(events);
    }

    /// What it has really done so far.
    pub fn truth(&self) -> Truth {
        self.core().truth.clone()
    }

    /// What is in memory now.
    pub fn loaded(&self) -> Vec<String> {
        self.core().loaded.keys().map(ToString::to_string).collect()
    }

    /// Dies and starts again with nothing in memory.
    pub fn crash(&self) {
        let mut core = self.core();
        core.life += 1;
        core.version = 1;
        core.loaded.clear();
        core.failed.clear();
        core.seen.clear();
        for (_, run) in core.runs.drain() {
            run.output.send_modify(|output| output.dead = true);
        }
        drop(core);
        self.0.changed.notify_waiters();
    }

    /// Loses its cached checkpoints.
    pub fn forget_caches(&self) {
        self.core().cached.clear();
        self.touch();
    }

    /// Puts an artifact into memory behind everybody's back.
    pub fn plant(&self, artifact: &str, memory: Size) {
        let held = Held { phase: ReplicaPhase::Ready, base: memory, adapters: BTreeMap::default() };
        self.core().loaded.insert(artifact.parse().expect("a name"), held);
        self.touch();
    }

    fn touch(&self) {
        let mut core = self.core();
        core.version += 1;
        let taken = core.loaded.values().map(Held::memory).sum();
        core.truth.high_water = core.truth.high_water.max(taken);
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for artifact in core.loaded.keys() {
            let model = artifact.as_str().split('@').next().unwrap_or_default();
            *counts.entry(model.to_owned()).or_default() += 1;
        }
        for (model, count) in counts {
            let most = core.truth.most_loaded.entry(model).or_default();
            *most = count.max(*most);
        }
        drop(core);
        self.0.changed.notify_waiters();
    }

    /// Carries an order out, once for each id.
    fn take(&self, order: &Order) -> Result<(), EndpointError> {
        let mut core = self.core();
        if !core.faults.unfenced && order.fence < core.fence {
            return Err(EndpointError::Fenced { seen: core.fence });
        }
        core.fence = core.fence.max(order.fence);
        if core.faults.refuse_orders {
            core.truth.refused += 1;
            return Err(EndpointError::Refused("not now".to_owned()));
        }
        if !core.seen.insert(order.id.clone()) {
            return Ok(());
        }
        core.truth.orders.push(order.clone());
        let (life, load, unload) = (core.life, core.faults.load, core.faults.unload);
        drop(core);
        match order.order.clone() {
            OrderKind::Load { artifact, weights, kv_room } => {
                let held = Held {
                    phase: ReplicaPhase::Loading,
                    base: weights + kv_room,
                    adapters: BTreeMap::new(),
                };
                self.core().loaded.entry(artifact.clone()).or_insert(held);
                self.touch();
                self.later(load, life, move |engine| engine.loaded_now(&artifact));
            }
            OrderKind::Unload { artifact } => {
                if let Some(held) = self.core().loaded.get_mut(&artifact) {
                    held.phase = ReplicaPhase::Unloading;
                }
                self.cut(&artifact);
                self.touch();
                self.later(unload, life, move |engine| {
                    engine.core().loaded.remove(&artifact);
                    engine.touch();
                });
            }
            OrderKind::LoadAdapter { artifact, adapter, weights } => {
                if let Some(held) = self.core().loaded.get_mut(&artifact) {
                    held.adapters.insert(adapter.clone(), (weights, false));
                }
                self.touch();
                self.later(load / 4, life, move |engine| {
                    if let Some(held) = engine.core().loaded.get_mut(&artifact) {
                        held.adapters.insert(adapter, (weights, true));
                    }
                    engine.touch();
                });
            }
            OrderKind::UnloadAdapter { artifact, adapter } => {
                if let Some(held) = self.core().loaded.get_mut(&artifact) {
                    held.adapters.remove(&adapter);
                }
                self.touch();
            }
            OrderKind::Role { .. } => {}
        }
        Ok(())
    }

    fn loaded_now(&self, artifact: &ModelName) {
        let mut core = self.core();
        if let Some(cause) = core.faults.fail_loads.clone() {
            core.loaded.remove(artifact);
            let order = core.truth.orders.iter().rev().find(
                |order| matches!(&order.order, OrderKind::Load { artifact: a, .. } if a == artifact),
            );
            let id = order.map(|order| order.id.clone()).unwrap_or_default();
            core.failed.push((id, cause));
        } else if let Some(held) = core.loaded.get_mut(artifact) {
            held.phase = ReplicaPhase::Ready;
            core.cached.insert(artifact.clone(), CacheTier::Memory);
        }
        drop(core);
        self.touch();
    }

    /// Cuts what runs on an artifact.
    fn cut(&self, artifact: &ModelName) {
        let mut core = self.core();
        let mut cut = 0;
        for run in core.runs.values().filter(|run| run.artifact == *artifact) {
            run.output.send_modify(|output| {
                if !output.done && !output.dead {
                    cut += 1;
                    output.dead = true;
                }
            });
        }
        core.truth.cut_by_unload += cut;
    }

    fn later(&self, after: Duration, life: u64, work: impl FnOnce(Self) + Send + 'static) {
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            if engine.core().life == life {
                work(engine.clone());
            }
        });
    }

    fn begin(&self, id: &RequestId, artifact: &ModelName) -> Arc<Run> {
        let mut core = self.core();
        *core.truth.executions.entry(id.to_string()).or_default() += 1;
        let run = Arc::new(Run {
            artifact: artifact.clone(),
            output: watch::Sender::new(Output::default()),
        });
        core.runs.insert(id.clone(), run.clone());
        let (token, tokens) = (core.faults.token, core.faults.tokens);
        drop(core);
        let running = run.clone();
        tokio::spawn(async move {
            for number in 0..tokens {
                tokio::time::sleep(token).await;
                if running.output.borrow().dead {
                    return;
                }
                let text = format!("t{number} ");
                running.output.send_modify(|output| output.bytes.extend(text.as_bytes()));
            }
            running.output.send_modify(|output| output.done = true);
        });
        run
    }

    /// The output of a run from a byte on; it falls silent after `silent` bytes.
    fn body(run: &Run, from: usize, silent: Option<usize>) -> Body {
        let start = (run.output.subscribe(), from);
        let frames = stream::unfold(Some(start), move |state| async move {
            let (mut output, at) = state?;
            if silent.is_some_and(|silent| at >= silent) {
                std::future::pending::<()>().await;
            }
            let seen = output.wait_for(|o| o.bytes.len() > at || o.done || o.dead).await;
            let seen = seen.map(|seen| seen.clone()).unwrap_or_default();
            if seen.bytes.len() > at {
                let upto = silent.map_or(seen.bytes.len(), |silent| silent.min(seen.bytes.len()));
                let bytes = Bytes::copy_from_slice(&seen.bytes[at..upto]);
                return Some((Ok(Frame::data(bytes)), Some((output, upto))));
            }
            if seen.done {
                return None;
            }
            Some((Err(std::io::Error::other("cut")), None))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }
}

#[async_trait]
impl Endpoint for Engine {
    async fn order(&self, order: Order) -> Result<(), EndpointError> {
        let faults = self.core().faults.clone();
        if let Some(late) = faults.late_orders {
            let engine = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                let _ = engine.take(&order);
            });
            return Err(EndpointError::Unknown("late".to_owned()));
        }
        if faults.lost_orders > 0 {
            self.set(|faults| faults.lost_orders -= 1);
            return Err(EndpointError::Unknown("lost".to_owned()));
        }
        self.take(&order)?;
        if faults.lost_replies > 0 {
            self.set(|faults| faults.lost_replies -= 1);
            return Err(EndpointError::Unknown("reply lost".to_owned()));
        }
        Ok(())
    }

    async fn inventory(&self, after: u64, wait: Duration) -> Result<Inventory, EndpointError> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.0.changed.notified();
            if self.core().version > after {
                break;
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                break;
            }
        }
        let core = self.core();
        let loaded = core.loaded.iter().map(|(artifact, held)| Loaded {
            artifact: artifact.clone(),
            phase: held.phase,
            memory: held.memory(),
            adapters: held.adapters.iter().filter(|(_, a)| a.1).map(|(n, _)| n.clone()).collect(),
        });
        Ok(Inventory {
            version: core.version,
            memory: core.memory,
            fence: core.fence,
            loaded: loaded.collect(),
            cached: core.cached.iter().map(|(name, tier)| (name.clone(), *tier)).collect(),
            failed: core.failed.clone(),
        })
    }

    async fn usage(&self) -> Result<Usage, EndpointError> {
        Ok(Usage { running: 0, waiting: 0, age: Span::secs(0) })
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EndpointError> {
        let events = self.core().cache_events.clone();
        let told = events.into_iter().filter(|event| event.seq >= from).collect::<Vec<_>>();
        let next = told.last().map_or(from, |event| event.seq + 1);
        Ok(CacheEvents { next, events: told })
    }

    async fn call(
        &self,
        id: &RequestId,
        request: Request<Body>,
    ) -> Result<Response<Body>, EndpointError> {
        let body = web::read(request.into_body(), 1 << 20).await.expect("a whole call");
        let call: serde_json::Value = serde_json::from_slice(&body).expect("a JSON call");
        let name = call["model"].as_str().unwrap_or_default().to_owned();
        let (artifact, adapter) = match name.split_once(':') {
            Some((artifact, adapter)) => (artifact.to_owned(), Some(adapter.to_owned())),
            None => (name.clone(), None),
        };
        let artifact: ModelName = artifact.parse().expect("a name");
        {
            let mut core = self.core();
            core.truth.calls.push(name);
            let ready = core.loaded.get(&artifact).is_some_and(|held| {
                let adapter = adapter.as_ref().map(|a| a.parse::<AdapterName>().expect("a name"));
                let has = adapter.is_none_or(|a| held.adapters.get(&a).is_some_and(|a| a.1));
                held.phase == ReplicaPhase::Ready && has
            });
            if !ready {
                return Err(EndpointError::Refused(format!("{artifact} is not ready")));
            }
        }
        let run = self.begin(id, &artifact);
        let (silent, mute) = {
            let mut core = self.core();
            (core.faults.silent_after.take(), core.faults.mute_calls)
        };
        if mute {
            std::future::pending::<()>().await;
        }
        let mut response = Response::new(Self::body(&run, 0, silent.map(|tokens| tokens * 3)));
        *response.status_mut() = StatusCode::OK;
        Ok(response)
    }

    async fn resume(&self, id: &RequestId, from: u64) -> Result<Response<Body>, EndpointError> {
        let run = self.core().runs.get(id).cloned();
        let run = run.ok_or_else(|| EndpointError::Unknown("404: not known".to_owned()))?;
        let from = usize::try_from(from).expect("a small answer");
        Ok(Response::new(Self::body(&run, from, None)))
    }

    async fn cancel(&self, id: &RequestId) -> Result<(), EndpointError> {
        let mut core = self.core();
        core.truth.cancelled.insert(id.to_string());
        if let Some(run) = core.runs.get(id) {
            run.output.send_modify(|output| output.dead |= !output.done);
        }
        Ok(())
    }
}
