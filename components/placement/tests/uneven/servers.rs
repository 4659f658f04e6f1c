//! Model servers and their loaders.

use std::collections::HashMap;
use std::time::Duration;

use catalog::{Engine, ModelSpec};
use fleet::{Endpoint, EndpointStage, Holdings, LoadedModel, Loading};
use units::{Domain, ModelName, Size};

/// Streams that an endpoint runs at once, for each unit of the scale of a run.
const SLOTS: u32 = 32;
/// Models that fit into the accelerator memory of an endpoint.
pub(crate) const PLACES: usize = 4;
/// The time that a replica takes to load from a copy.
pub(crate) const LOAD_TIME: Duration = Duration::from_millis(600);
/// Time constant of the rates that loaders report.
const RATE_TIME_CONSTANT_S: f64 = 3.0;

/// Lower rates are not reported, per second.
const MIN_REPORTED_RATE: f64 = 1.0;

const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
const MODEL_SIZE: Size = Size(40);

pub(crate) fn model(index: usize) -> ModelName {
    format!("m{index}").parse().expect("a name")
}

pub(crate) fn domain(index: usize) -> Domain {
    FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()].parse().expect("a domain")
}

pub(crate) fn engine(models: usize, scale: u32) -> Engine {
    let spec = ModelSpec {
        weights: MODEL_SIZE,
        adapter: Size(1),
        store_load: Duration::from_millis(13_200),
        disk_load: LOAD_TIME,
        memory_load: LOAD_TIME,
    };
    Engine {
        slots: SLOTS * scale,
        cache_tokens: 1_000,
        memory: Size(MODEL_SIZE.0 * PLACES as u64),
        adapters: 8,
        host_memory: Size(0),
        disk: Size(MODEL_SIZE.0 * models as u64),
        load_rate: 1.0,
        models: (0..models).map(|index| (model(index), spec.clone())).collect(),
    }
}

/// A model server and what its loader knows.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) endpoint: Endpoint,
    pub(crate) holdings: Holdings,
    /// The time that it takes for work, relative to the nominal time.
    pub(crate) speed: f64,
    /// Streams that run here.
    pub(crate) running: u32,
    /// When all prompts that were sent here are processed.
    pub(crate) prompts_done: Duration,
    /// Streams that each router last reported.
    pub(crate) reported: Vec<u32>,
    /// Requests per second, with the time of the last update.
    rates: HashMap<usize, (f64, Duration)>,
}

impl Server {
    pub(crate) fn new(index: usize, speed: f64, routers: usize, scale: u32) -> Self {
        let [high, low] = u16::try_from(index).expect("few").to_be_bytes();
        let endpoint = Endpoint {
            id: format!("i-{index}").parse().expect("an id"),
            incarnation: None,
            software: None,
            service: "llm".parse().expect("a service"),
            addr: ([10, 0, high, low], 80).into(),
            domain: domain(index),
            slots: SLOTS * scale,
            stage: EndpointStage::Ready,
            holdings: None,
        };
        Self {
            endpoint,
            holdings: Holdings::default(),
            speed,
            running: 0,
            prompts_done: Duration::ZERO,
            reported: vec![0; routers],
            rates: HashMap::new(),
        }
    }

    pub(crate) fn hold(&mut self, index: usize) {
        self.holdings.models.push(LoadedModel { model: model(index), adapters: Vec::new() });
    }

    pub(crate) fn holds(&self, index: usize) -> bool {
        self.holdings.holds(&model(index))
    }

    pub(crate) fn begin_load(&mut self, index: usize) {
        self.holdings.loading =
            Some(Loading { model: model(index), cold: false, remaining: LOAD_TIME });
    }

    pub(crate) fn finish_load(&mut self, index: usize) {
        self.holdings.loading = None;
        self.hold(index);
    }

    pub(crate) fn has_room(&self) -> bool {
        self.holdings.models.len() + usize::from(self.holdings.loading.is_some()) < PLACES
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.speed > 1.0
    }

    /// Streams within the pauses that routes allow.
    pub(crate) fn capacity(&self, median: f64) -> f64 {
        let slots = f64::from(self.endpoint.slots);
        (slots * median / self.speed).clamp(slots / 4.0, slots)
    }

    /// Counts requests that a router has reported.
    pub(crate) fn record_requests(&mut self, index: usize, count: u32, now: Duration) {
        let rate = self.rate(index, now) + f64::from(count) / RATE_TIME_CONSTANT_S;
        self.rates.insert(index, (rate, now));
    }

    /// The rates that the loader reports.
    pub(crate) fn reported_rates(&self, now: Duration) -> HashMap<usize, f64> {
        let rates = self.rates.keys().map(|model| (*model, self.rate(*model, now)));
        rates.filter(|(_, rate)| *rate >= MIN_REPORTED_RATE).collect()
    }

    fn rate(&self, index: usize, now: Duration) -> f64 {
        let Some((rate, updated)) = self.rates.get(&index) else { return 0.0 };
        rate * (-(now - *updated).as_secs_f64() / RATE_TIME_CONSTANT_S).exp()
    }
}
