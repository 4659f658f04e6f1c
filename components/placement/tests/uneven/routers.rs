//! Routers, which know the streams of each other only from the reports of loaders.

use std::collections::HashMap;
use std::time::Duration;

use catalog::{Engine, ModelId};
use placement::{
    Candidate, CapacityBounds, ChosenEndpoint, Demand, PromptBacklog, ReplicaRequest,
    ReplicaStatus, ScalingInputs, choose_endpoint, choose_replica, memory_scarce, scale_out,
    scale_out_by_capacity,
};
use tokio::time::Instant;
use units::Domain;

use crate::servers::{Server, model};
use crate::traffic::MAX_PAUSE;

/// How a router chooses replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// By share of slots, prompts ahead and rank.
    BySlots,
    /// By share of capacity.
    ByCapacity,
}

/// What a router knows of an endpoint.
#[derive(Debug, Clone, Default)]
struct View {
    running: u32,
    /// Its own streams when the loader last reported.
    baseline: u32,
    reported: u32,
    rates: HashMap<usize, f64>,
    backlog: PromptBacklog,
    begun: HashMap<usize, u32>,
    requested: Vec<usize>,
}

impl View {
    /// The streams of all routers, as the router estimates them from its own and from the last report.
    fn total_running(&self, routers: u32) -> u32 {
        let others = self.reported.saturating_sub(self.baseline);
        let new = self.running.saturating_sub(self.baseline);
        let assumed = if new >= 3 { new * (routers - 1) / 3 } else { 0 };
        others + self.running + assumed
    }
}

/// A request as it arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) model: usize,
    pub(crate) tokens: u32,
    pub(crate) target: Duration,
    pub(crate) seed: u64,
}

/// What a router decides for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Decision {
    pub(crate) chosen: ChosenEndpoint,
    /// The prefill time that the router expects.
    pub(crate) prefill: Duration,
    /// The endpoint that is to load one more replica.
    pub(crate) load: Option<usize>,
}

#[derive(Debug)]
pub(crate) struct Router {
    index: usize,
    domain: Domain,
    routers: u32,
    policy: Policy,
    /// The time factor that each endpoint is taken to have.
    factors: Vec<f64>,
    views: Vec<View>,
    demands: HashMap<usize, Demand>,
    /// Its own streams by model.
    running: HashMap<usize, u32>,
    start: Instant,
}

impl Router {
    pub(crate) fn new(
        index: usize,
        domain: Domain,
        routers: u32,
        policy: Policy,
        factors: Vec<f64>,
        start: Instant,
    ) -> Self {
        let views = vec![View::default(); factors.len()];
        let (demands, running) = (HashMap::new(), HashMap::new());
        Self { index, domain, routers, policy, factors, views, demands, running, start }
    }

    /// Decides where a request goes, and sends it there.
    pub(crate) fn decide(
        &mut self,
        servers: &[Server],
        engine: &Engine,
        arrival: Arrival,
        now: Duration,
    ) -> Option<Decision> {
        let at = self.start + now;
        let id = ModelId { model: model(arrival.model), adapter: None };
        let demand = self.demands.entry(arrival.model).or_default();
        demand.record_arrival(arrival.tokens, at);
        let (demand, prefill) = (*demand, demand.prefill_time(arrival.tokens));
        let reported = self.reported_rate(servers, arrival.model);
        let candidates = self.candidates(servers, at);
        let target = arrival.target;
        let chosen = match self.policy {
            Policy::BySlots => choose_endpoint(&candidates, Some(&id), prefill, &self.domain),
            Policy::ByCapacity => {
                let rate = demand.total_request_rate(self.routers, reported, at);
                let seed = arrival.seed;
                let request = ReplicaRequest { id: &id, prefill, target, rate, seed };
                choose_replica(&candidates, &request, &self.domain)
            }
        }?;
        let requested: Vec<bool> =
            self.views.iter().map(|view| view.requested.contains(&arrival.model)).collect();
        let scarce = memory_scarce(&candidates);
        let inputs = self.inputs(arrival.model, engine.slots, scarce);
        let needed = demand.replicas_needed_at(&inputs, reported, at) as usize;
        let status = ReplicaStatus { model: &id, requested: &requested, needed, chosen, target };
        let bounds = CapacityBounds { max_pause: MAX_PAUSE, prefill };
        let load = match self.policy {
            Policy::BySlots => scale_out(&candidates, engine, &status),
            Policy::ByCapacity => scale_out_by_capacity(&candidates, engine, &status, bounds),
        };
        let load = load.map(|target| target.index);
        self.send(arrival.model, chosen.index, prefill, at);
        if let Some(index) = load {
            self.views[index].requested.push(arrival.model);
        }
        Some(Decision { chosen, prefill, load })
    }

    fn inputs(&self, model: usize, slots: u32, memory_scarce: bool) -> ScalingInputs {
        let running = self.running.get(&model).copied().unwrap_or(0);
        let waiting = (0, Duration::ZERO);
        ScalingInputs { routers: self.routers, running, slots, waiting, memory_scarce }
    }

    fn reported_rate(&self, servers: &[Server], model: usize) -> f64 {
        if self.policy == Policy::BySlots {
            return 0.0;
        }
        let holders = self.views.iter().zip(servers).filter(|(_, server)| server.holds(model));
        holders.filter_map(|(view, _)| view.rates.get(&model)).sum()
    }

    fn candidates<'a>(&self, servers: &'a [Server], at: Instant) -> Vec<Candidate<'a>> {
        let balanced = self.policy == Policy::ByCapacity;
        let candidate = |(index, server): (usize, &'a Server)| {
            let view = &self.views[index];
            let room_wait =
                if server.has_room() { Duration::ZERO } else { Duration::from_millis(500) };
            Candidate {
                endpoint: &server.endpoint,
                holdings: Some(&server.holdings),
                running: view.running,
                total_running: view.total_running(self.routers),
                backlog: view.backlog.total(self.routers, at),
                failures: 0.0,
                queued_models: 0,
                room_wait,
                can_load: true,
                time_factor: self.factors[index],
                balanced,
            }
        };
        servers.iter().enumerate().map(candidate).collect()
    }

    fn send(&mut self, model: usize, index: usize, prefill: Duration, at: Instant) {
        let view = &mut self.views[index];
        view.running += 1;
        *self.running.entry(model).or_default() += 1;
        *view.begun.entry(model).or_default() += 1;
        view.backlog.add(prefill, at);
    }

    /// Records the first event of a request that was expected after `expected` and came after `took`.
    pub(crate) fn first_event(
        &mut self,
        model: usize,
        index: usize,
        prefill: Duration,
        (expected, took): (Duration, Duration),
        now: Duration,
    ) {
        self.views[index].backlog.remove(prefill, self.start + now);
        self.demands.entry(model).or_default().learn(expected, took);
    }

    pub(crate) fn stream_ended(&mut self, model: usize, index: usize) {
        *self.running.entry(model).or_default() -= 1;
        self.views[index].running -= 1;
    }

    /// Receives the answer to a poll, and polls again: the loader gets the use of its models.
    pub(crate) fn poll(&mut self, index: usize, server: &mut Server, now: Duration) {
        let view = &mut self.views[index];
        view.reported = server.reported.iter().sum();
        view.baseline = view.running;
        view.rates = server.reported_rates(now);
        server.reported[self.index] = view.running;
        for (model, count) in view.begun.drain() {
            server.record_requests(model, count, now);
        }
    }

    pub(crate) fn forget_load(&mut self, index: usize, model: usize) {
        self.views[index].requested.retain(|requested| *requested != model);
    }
}
