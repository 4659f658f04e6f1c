//! Endpoints for tests.

use std::time::Duration;

use catalog::{Engine, ModelSpec};
use fleet::{Endpoint, EndpointStage, Holdings, LoadedModel};
use units::{Domain, ModelName, Size};

use crate::Candidate;

pub(crate) fn domain() -> Domain {
    "near".parse().expect("a domain")
}

pub(crate) fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

/// Endpoints of one service, each with room for two models.
pub(crate) struct TestEndpoints {
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) holdings: Vec<Holdings>,
    pub(crate) total_running: Vec<u32>,
    pub(crate) backlog: Vec<Duration>,
    pub(crate) failures: Vec<f64>,
    pub(crate) room_wait: Vec<Duration>,
    pub(crate) can_load: Vec<bool>,
    has_models: bool,
}

impl TestEndpoints {
    pub(crate) fn new(count: usize) -> Self {
        let endpoint = |index: usize| Endpoint {
            id: format!("i-{index}").parse().expect("an id"),
            incarnation: None,
            software: None,
            service: "llm".parse().expect("a service"),
            addr: ([10, 0, 0, u8::try_from(index).expect("few")], 80).into(),
            domain: domain(),
            slots: 64,
            stage: EndpointStage::Ready,
            holdings: None,
        };
        Self {
            endpoints: (0..count).map(endpoint).collect(),
            holdings: vec![Holdings::default(); count],
            total_running: vec![0; count],
            backlog: vec![Duration::ZERO; count],
            failures: vec![0.0; count],
            room_wait: vec![Duration::ZERO; count],
            can_load: vec![true; count],
            has_models: true,
        }
    }

    pub(crate) fn without_models(count: usize) -> Self {
        Self { has_models: false, ..Self::new(count) }
    }

    pub(crate) fn hold(&mut self, index: usize, model: &str, adapters: &[&str]) {
        let adapters = adapters.iter().map(|text| text.parse().expect("an adapter")).collect();
        self.holdings[index].models.push(LoadedModel { model: name(model), adapters });
    }

    pub(crate) fn copy(&mut self, index: usize, model: &str) {
        self.holdings[index].copies.disk.push(name(model));
    }

    pub(crate) fn candidates(&self) -> Vec<Candidate<'_>> {
        let candidate = |(index, endpoint)| Candidate {
            endpoint,
            holdings: self.has_models.then(|| &self.holdings[index]),
            running: 0,
            total_running: self.total_running[index],
            backlog: self.backlog[index],
            failures: self.failures[index],
            queued_models: 0,
            room_wait: self.room_wait[index],
            can_load: self.can_load[index],
            time_factor: 1.0,
            balanced: false,
        };
        self.endpoints.iter().enumerate().map(candidate).collect()
    }
}

/// An engine with the models `a` to `h`; two of them fit into its accelerator memory.
pub(crate) fn engine() -> Engine {
    let spec = ModelSpec {
        weights: Size(40),
        adapter: Size(1),
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(500),
        memory_load: Duration::from_millis(300),
    };
    Engine {
        slots: 64,
        cache_tokens: 1_000,
        memory: Size(90),
        adapters: 8,
        host_memory: Size(60),
        disk: Size(500),
        load_rate: 7.0,
        models: ["a", "b", "c", "d", "e", "f", "g", "h"]
            .map(|text| (name(text), spec.clone()))
            .into_iter()
            .collect(),
    }
}
