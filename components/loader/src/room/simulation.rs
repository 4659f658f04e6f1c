//! One endpoint, its loader's decisions and the routers that ask it, in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use catalog::{Engine, ModelId, ModelSpec};
use fleet::{LoadedModel, WeightCopies};
use platform::{EndpointHints, Operation, Report};
use tokio::time::Instant;
use units::{ModelName, Size};

use crate::plan::{Action, next_action};
use crate::room::{self, MAX_ROOM_WAIT};
use crate::view::{EndpointView, Eviction, LastPoll, RequestedModel};

mod callers;

pub(crate) use callers::CallerRequest;
use callers::{RouterQueue, summarize};

/// The time between two steps of the simulation.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// How long the endpoint takes to unload a model.
const UNLOAD_TIME: Duration = Duration::from_millis(40);
/// A router sends its summary again after this time while requests wait.
const RENEWAL: Duration = Duration::from_secs(1);
/// A router that returns this much later than told has other reasons.
const RETURN_TIME: Duration = Duration::from_millis(50);

pub(crate) fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

pub(crate) fn id(text: &str) -> ModelId {
    text.parse().expect("an id")
}

/// What became of requests and refusals.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) served: Vec<CallerRequest>,
    pub(crate) lost: Vec<CallerRequest>,
    /// The models that were loaded, in order.
    pub(crate) given: Vec<ModelName>,
    /// Routers that had been refused, and whose requests were served.
    pub(crate) kept: u32,
    /// Routers that returned when told and were refused again.
    pub(crate) broken: u32,
    /// Models that were chosen to be evicted, or were unloaded, while requests waited for them.
    pub(crate) awaited_evictions: Vec<ModelName>,
}

/// The simulation.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) view: EndpointView,
    pub(crate) now: Instant,
    pub(crate) outcome: Outcome,
    /// Whether a router sends queue summaries.
    pub(crate) summaries: fn(&str) -> bool,
    /// A router that is cut off from the loader.
    pub(crate) cut_off: Option<&'static str>,
    queues: BTreeMap<(String, ModelName), RouterQueue>,
    running: Vec<(ModelName, String, Instant)>,
    order: Option<(Operation, ModelName, Instant)>,
}

impl Simulation {
    /// An endpoint with room for three of `models`, of which every third has a copy in host memory and the others on
    /// disk.
    pub(crate) fn new(models: &[String]) -> Self {
        let spec = ModelSpec {
            weights: Size(30),
            adapter: Size(0),
            store_load: Duration::from_millis(10_200),
            disk_load: Duration::from_millis(900),
            memory_load: Duration::from_millis(400),
        };
        let engine = Engine {
            slots: 64,
            cache_tokens: 1_000,
            models: models.iter().map(|text| (name(text), spec.clone())).collect(),
            memory: Size(100),
            adapters: 0,
            host_memory: Size(600),
            disk: Size(5_000),
            load_rate: 7.0,
        };
        let memory = models.iter().step_by(3).map(|text| name(text)).collect();
        let report = Report {
            incarnation: None,
            models: Vec::new(),
            loading_adapters: Vec::new(),
            copies: WeightCopies { memory, disk: models.iter().map(|text| name(text)).collect() },
            busy: false,
            sequence: 1,
            running: 0,
            queued: 0,
            draining: false,
            hints: EndpointHints::default(),
        };
        Self {
            view: EndpointView {
                engine: Some(engine),
                report: Some(report),
                ..EndpointView::default()
            },
            now: Instant::now(),
            outcome: Outcome::default(),
            summaries: |_| true,
            cut_off: None,
            queues: BTreeMap::new(),
            running: Vec::new(),
            order: None,
        }
    }

    /// Runs until `end`, with requests in the order of their arrival.
    pub(crate) async fn run(&mut self, requests: &[CallerRequest], end: Instant) {
        let start = self.now;
        let mut next = requests.iter().skip_while(|one| one.arrival < start).peekable();
        while self.now < end {
            let now = self.now;
            while let Some(request) = next.next_if(|one| one.arrival <= now) {
                let key = (request.router.clone(), request.model.clone());
                self.queues.entry(key).or_default().waiting.push(request.clone());
            }
            self.finish_order();
            self.send_requests();
            self.ask_loader();
            self.decide();
            tokio::time::advance(STEP).await;
            self.now = Instant::now();
        }
    }

    /// Restarts the loader: it knows what the endpoint reports and nothing else.
    pub(crate) fn restart_loader(&mut self) {
        let engine = self.view.engine.take();
        let report = self.view.report.take();
        self.view = EndpointView { engine, report, ..EndpointView::default() };
        let models = self.view.report.iter().flat_map(|report| &report.models);
        let held = models.map(|held| &held.model);
        self.view.rooms.residences.update(held, self.now);
    }

    /// The models that routers have asked for and got no answer yet.
    pub(crate) fn asked(&self) -> impl Iterator<Item = &ModelName> {
        self.queues.iter().filter(|(_, queue)| queue.open).map(|((_, model), _)| model)
    }

    pub(crate) fn holds(&self, model: &ModelName) -> bool {
        self.view.holds(&ModelId { model: model.clone(), adapter: None })
    }

    /// Whether routers may send requests to a model.
    fn accepts(&self, model: &ModelName) -> bool {
        let evicting = self.view.eviction.as_ref().is_some_and(|one| one.model == *model);
        let ordered = self.order.as_ref().is_some_and(|(_, target, _)| target == model);
        self.holds(model) && !evicting && !ordered
    }

    fn finish_order(&mut self) {
        let now = self.now;
        let Some((operation, model, _)) = self.order.take_if(|(_, _, end)| *end <= now) else {
            return;
        };
        let report = self.view.report.as_mut().expect("a report");
        report.busy = false;
        match operation {
            Operation::Load => {
                let (model, adapters) = (model.clone(), Vec::new());
                report.models.push(LoadedModel { model, adapters });
            }
            Operation::Unload => report.models.retain(|held| held.model != model),
        }
        let held = report.models.iter().map(|held| &held.model);
        self.view.rooms.residences.update(held, now);
        if operation == Operation::Load {
            let took = room::load_time(&self.view, &model);
            self.view.rooms.residences.record_load(&model, took, now);
            self.view.mark_used(&model, now);
        }
    }

    fn send_requests(&mut self) {
        let now = self.now;
        self.running.retain(|(_, _, end)| *end > now);
        let mut queues = std::mem::take(&mut self.queues);
        for ((router, model), queue) in &mut queues {
            let (lost, waiting) = queue.waiting.drain(..).partition(|one| one.deadline <= now);
            queue.waiting = waiting;
            self.outcome.lost.extend::<Vec<_>>(lost);
            if queue.waiting.is_empty() || !self.accepts(model) || self.is_cut_off(router) {
                continue;
            }
            let begun = u32::try_from(queue.waiting.len()).expect("few requests");
            self.view.usage.entry(model.clone()).or_default().record_requests(begun, now);
            self.view.rooms.residences.record_use(model);
            self.view.rooms.queues.remove_all(model, router);
            self.outcome.kept += u32::from(queue.told.is_some());
            for request in queue.waiting.drain(..) {
                self.running.push((model.clone(), router.clone(), now + request.runs));
                self.outcome.served.push(request);
            }
            *queue = RouterQueue::default();
        }
        queues.retain(|_, queue| !queue.waiting.is_empty());
        self.queues = queues;
        self.report_running();
    }

    fn report_running(&mut self) {
        self.view.usage.values_mut().for_each(|usage| usage.running.clear());
        let poll = LastPoll { at: self.now, wait: Duration::ZERO };
        for (model, router, _) in &self.running {
            let usage = self.view.usage.entry(model.clone()).or_default();
            usage.running.entry(router.clone()).or_insert((0, poll)).0 += 1;
        }
    }

    fn is_cut_off(&self, router: &str) -> bool {
        self.cut_off == Some(router)
    }

    fn ask_loader(&mut self) {
        let now = self.now;
        for ((router, model), queue) in &mut self.queues {
            let renew = queue.asked.is_none_or(|(waiting, at)| {
                queue.waiting.len() >= waiting * 2 || now - at >= RENEWAL
            });
            let refused = queue.told.is_some_and(|told| told > now);
            let cut_off = self.cut_off == Some(router.as_str());
            if cut_off || refused || queue.open && !renew {
                continue;
            }
            queue.asked = Some((queue.waiting.len(), now));
            queue.open = true;
            let waiting = u32::try_from(queue.waiting.len()).expect("few requests");
            let deadline = queue.waiting.iter().map(|one| one.deadline).max().unwrap_or(now);
            let target = ModelId { model: model.clone(), adapter: None };
            self.view.rooms.promises.remove(model);
            if (self.summaries)(router) {
                let summary = summarize(&queue.waiting, now);
                self.view.rooms.queues.record(&target, router, summary, now);
            }
            self.view.mark_used(model, now);
            let requested = self.view.requested.entry(target).or_insert_with(|| RequestedModel {
                waiting: BTreeMap::new(),
                request_rates: BTreeMap::new(),
                software: None,
                deadline,
                since: now,
                replies: Vec::new(),
            });
            requested.waiting.insert(router.clone(), waiting);
            requested.deadline = requested.deadline.max(deadline);
        }
    }

    fn decide(&mut self) {
        let now = self.now;
        loop {
            let view = &self.view;
            let ready: Vec<ModelId> =
                view.requested.keys().filter(|id| view.holds(id)).cloned().collect();
            for id in ready {
                self.answer(&id.model, None);
            }
            self.view.requested.retain(|_, requested| requested.deadline > now);
            self.view.rooms.expire(now);
            if self.order.is_some() {
                return;
            }
            match next_action(&self.view, now) {
                Action::Wait => return,
                Action::CancelEviction => self.view.eviction = None,
                Action::Evict(model) => {
                    self.check_awaited(&model);
                    self.view.eviction = Some(Eviction { model, since: now });
                }
                Action::Refuse(id, after) => self.refuse(&id, after),
                Action::Order(operation, target) => self.order(operation, &target.model),
            }
        }
    }

    fn order(&mut self, operation: Operation, model: &ModelName) {
        let duration = match operation {
            Operation::Load => room::load_time(&self.view, model),
            Operation::Unload => {
                // The endpoint waits for running requests.
                let running = self.running.iter().filter(|(name, _, _)| name == model);
                let last = running.map(|(_, _, end)| *end - self.now).max();
                UNLOAD_TIME.max(last.unwrap_or_default())
            }
        };
        match operation {
            Operation::Load => {
                if let Some(grant) = room::grant(&self.view, model, self.now) {
                    self.view.rooms.loads.record(grant.workspaces, self.now);
                }
                self.outcome.given.push(model.clone());
            }
            Operation::Unload => {
                self.check_awaited(model);
                self.view.eviction = None;
            }
        }
        self.view.report.as_mut().expect("a report").busy = true;
        self.order = Some((operation, model.clone(), self.now + duration));
    }

    /// Notes whether requests wait for a model that is evicted, at a router that has told the loader so.
    fn check_awaited(&mut self, model: &ModelName) {
        let mut queues = self.queues.iter().filter(|((_, name), _)| name == model);
        let awaited = queues.any(|((router, _), queue)| {
            let told = (self.summaries)(router) && !self.is_cut_off(router);
            told && queue.asked.is_some() && !queue.waiting.is_empty()
        });
        if awaited {
            self.outcome.awaited_evictions.push(model.clone());
        }
    }

    fn refuse(&mut self, id: &ModelId, after: Duration) {
        if after < MAX_ROOM_WAIT && room::is_queued(&self.view, &id.model, self.now) {
            self.view.rooms.promises.record(&id.model, self.now + after);
        }
        self.answer(&id.model, Some(after));
    }

    /// Answers the routers that asked for a model: with the time after which to ask again, or that it is loaded.
    fn answer(&mut self, model: &ModelName, refused: Option<Duration>) {
        let now = self.now;
        self.view.requested.retain(|id, _| id.model != *model);
        let open = self.queues.iter_mut().filter(|((_, name), queue)| name == model && queue.open);
        for (_, queue) in open {
            queue.open = false;
            let returned = queue.told.is_some_and(|told| now - told < RETURN_TIME);
            if returned && refused.is_some() {
                self.outcome.broken += 1;
            }
            queue.told = refused.map(|after| now + after);
        }
    }
}
