//! The event loop of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use catalog::Engine;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::routers::{Decision, Policy, Router};
use crate::servers::{LOAD_TIME, Server, domain, engine};
use crate::traffic::{self, MODELS, PREFILL_US_PER_TOKEN, Request};

pub(crate) const ROUTERS: usize = 25;
const SERVERS: usize = 46;
/// The time that endpoints take, relative to the nominal time.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
/// The speed of the median endpoint.
const MEDIAN_SPEED: f64 = 0.7;
/// How long a loader holds a poll.
const POLL_WAIT: Duration = Duration::from_secs(1);

/// A stream that was sent to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sent {
    pub(crate) at: Duration,
    pub(crate) model: usize,
    pub(crate) server: usize,
    pub(crate) long_target: bool,
    /// Whether the endpoint had more streams than its capacity then.
    pub(crate) over_capacity: bool,
    /// Whether the model had both slow and fast replicas then.
    pub(crate) has_choice: bool,
    /// The part of the model's capacity that the endpoint had then.
    pub(crate) part: f64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrival(Request),
    PromptDone { router: usize, model: usize, decision: Decision, sent: Duration },
    StreamEnded { router: usize, model: usize, server: usize },
    Poll { router: usize, server: usize },
    Loaded { server: usize, model: usize },
}

/// How a run is set up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) policy: Policy,
    /// Whether endpoints have room for more replicas.
    pub(crate) room: bool,
    /// The endpoint whose factor the routers have wrong.
    pub(crate) misjudged: Option<usize>,
    /// How many times as many requests and slots there are as in the deployment.
    pub(crate) scale: u32,
    /// The requests as a part of those in the deployment.
    pub(crate) load: f64,
    pub(crate) run_time: Duration,
    pub(crate) seed: u64,
}

#[derive(Debug)]
pub(crate) struct Day {
    setup: Setup,
    pub(crate) servers: Vec<Server>,
    routers: Vec<Router>,
    engine: Engine,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    pub(crate) sent: Vec<Sent>,
    /// Replicas that were added.
    pub(crate) loads: usize,
}

impl Day {
    /// Runs the load; the requests depend on the seed only.
    pub(crate) fn run(setup: Setup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let servers = place_models(setup.scale, &mut rng);
        let mut factors: Vec<f64> =
            servers.iter().map(|server| server.speed / MEDIAN_SPEED).collect();
        if let Some(index) = setup.misjudged {
            factors[index] = 100.0;
        }
        let start = Instant::now();
        let router = |index| {
            let count = ROUTERS as u32;
            Router::new(index, domain(index), count, setup.policy, factors.clone(), start)
        };
        let mut day = Self {
            setup,
            servers,
            routers: (0..ROUTERS).map(router).collect(),
            engine: engine(MODELS, setup.scale),
            events: BTreeMap::new(),
            count: 0,
            sent: Vec::new(),
            loads: 0,
        };
        for request in traffic::requests(&setup, &mut rng) {
            day.schedule(request.at, Event::Arrival(request));
        }
        for router in 0..ROUTERS {
            for server in 0..SERVERS {
                let first = POLL_WAIT.mul_f64(rng.random());
                day.schedule(first, Event::Poll { router, server });
            }
        }
        while let Some(((now, _), event)) = day.events.pop_first() {
            if now >= setup.run_time {
                break;
            }
            day.handle(event, now);
        }
        day
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrival(request) => self.arrive(request, now),
            Event::PromptDone { router, model, decision, sent } => {
                let times = (decision.chosen.first_event, now - sent);
                let index = decision.chosen.index;
                self.routers[router].first_event(model, index, decision.prefill, times, now);
            }
            Event::StreamEnded { router, model, server } => {
                self.servers[server].running -= 1;
                self.routers[router].stream_ended(model, server);
            }
            Event::Poll { router, server } => {
                self.routers[router].poll(server, &mut self.servers[server], now);
                self.schedule(now + POLL_WAIT, Event::Poll { router, server });
            }
            Event::Loaded { server, model } => {
                self.servers[server].finish_load(model);
                for router in &mut self.routers {
                    router.forget_load(server, model);
                }
            }
        }
    }

    fn arrive(&mut self, request: Request, now: Duration) {
        let Request { router, arrival, stream, .. } = request;
        let decision = self.routers[router].decide(&self.servers, &self.engine, arrival, now);
        let Some(decision) = decision else { return };
        let (index, model) = (decision.chosen.index, arrival.model);
        let (part, has_choice) = (self.capacity_part(index, model), self.has_choice(model));
        let server = &mut self.servers[index];
        server.running += 1;
        self.sent.push(Sent {
            at: now,
            model,
            server: index,
            has_choice,
            long_target: arrival.target > Duration::from_secs(1),
            over_capacity: f64::from(server.running) > server.capacity(MEDIAN_SPEED),
            part,
        });
        let nominal = Duration::from_micros(u64::from(arrival.tokens) * PREFILL_US_PER_TOKEN);
        server.prompts_done = server.prompts_done.max(now) + nominal.mul_f64(server.speed);
        let first_event = server.prompts_done;
        let end = first_event + stream.mul_f64(server.speed);
        self.schedule(first_event, Event::PromptDone { router, model, decision, sent: now });
        self.schedule(end, Event::StreamEnded { router, model, server: index });
        if let Some(target) = decision.load {
            self.load(target, model, now);
        }
    }

    fn load(&mut self, target: usize, model: usize, now: Duration) {
        let server = &mut self.servers[target];
        if self.setup.room && server.has_room() && server.holdings.loading.is_none() {
            server.begin_load(model);
            self.loads += 1;
            self.schedule(now + LOAD_TIME, Event::Loaded { server: target, model });
        }
    }

    /// Whether a model has both slow and fast replicas.
    fn has_choice(&self, model: usize) -> bool {
        let holders = || self.servers.iter().filter(|server| server.holds(model));
        holders().any(Server::is_slow) && !holders().all(Server::is_slow)
    }

    /// The part of the capacity of a model's replicas that one of them has.
    fn capacity_part(&self, index: usize, model: usize) -> f64 {
        let holders = self.servers.iter().filter(|server| server.holds(model));
        let total: f64 = holders.map(|server| server.capacity(MEDIAN_SPEED)).sum();
        self.servers[index].capacity(MEDIAN_SPEED) / total
    }
}

/// Endpoints that each hold two or three models, and keep copies of all.
fn place_models(scale: u32, rng: &mut ChaCha8Rng) -> Vec<Server> {
    let speed = |index: usize| SPEEDS[index % SPEEDS.len()];
    let mut servers: Vec<Server> =
        (0..SERVERS).map(|index| Server::new(index, speed(index), ROUTERS, scale)).collect();
    for server in &mut servers {
        server.holdings.copies.disk = (0..MODELS).map(crate::servers::model).collect();
    }
    for model in 0..MODELS {
        for _ in 0..traffic::first_replicas(model) {
            let free = |index: &usize| {
                servers[*index].holdings.models.len() < 3 && !servers[*index].holds(model)
            };
            let free: Vec<usize> = (0..SERVERS).filter(free).collect();
            let index = free[rng.random_range(0..free.len())];
            servers[index].hold(model);
        }
    }
    servers
}
