//! A service whose endpoints run several versions of its software, for tests.

use std::time::Duration;

use catalog::{Engine, ModelId, ModelSpec};
use control::{EndpointLoad, EndpointState};
use fleet::{Endpoint, EndpointStage, Holdings, LoadedModel, WeightCopies};
use tokio::time::Instant;
use units::{
    EndpointId, EndpointIncarnation, ModelName, Revision, ServiceName, Size, SoftwareVersion,
};

use crate::choose::RequestNeeds;
use crate::endpoint::TrackedEndpoint;
use crate::registry::EndpointTable;
use crate::software::RequiredSoftware;

/// How long a load from the weight store takes.
pub(crate) const STORE_LOAD: Duration = Duration::from_secs(6);
/// How long a load from host memory takes.
pub(crate) const MEMORY_LOAD: Duration = Duration::from_millis(300);

pub(crate) fn id(text: &str) -> EndpointId {
    text.parse().expect("an id")
}

pub(crate) fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

pub(crate) fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("a version")
}

fn engine() -> Engine {
    let spec = ModelSpec {
        weights: Size(40),
        adapter: Size(1),
        store_load: STORE_LOAD,
        disk_load: Duration::from_millis(500),
        memory_load: MEMORY_LOAD,
    };
    Engine {
        slots: 10,
        cache_tokens: 1_000,
        memory: Size(90),
        adapters: 8,
        host_memory: Size(60),
        disk: Size(500),
        load_rate: 7.0,
        models: ["a", "b", "c"].map(|text| (name(text), spec.clone())).into_iter().collect(),
    }
}

/// The endpoints of the service `llm`, and a request for its model `a`.
pub(crate) struct Versions {
    pub(crate) table: EndpointTable,
    pub(crate) now: Instant,
    pub(crate) service: ServiceName,
    pub(crate) model: ModelId,
    pub(crate) engine: Engine,
    pub(crate) wanted: SoftwareVersion,
}

impl Versions {
    /// Endpoints `i-0`, `i-1` and so on with these versions, which hold nothing. A request wants version `v1`.
    pub(crate) fn new(versions: &[&str]) -> Self {
        let mut test = Self {
            table: EndpointTable::default(),
            now: Instant::now(),
            service: "llm".parse().expect("a service"),
            model: "a".parse().expect("a model"),
            engine: engine(),
            wanted: version("v1"),
        };
        test.table.list_loaded = true;
        for (index, text) in versions.iter().enumerate() {
            test.add(&format!("i-{index}"), "llm", text);
        }
        test
    }

    pub(crate) fn add(&mut self, endpoint: &str, service: &str, text: &str) {
        let index = u8::try_from(self.table.map.len()).expect("few");
        let entry = Endpoint {
            id: id(endpoint),
            incarnation: Some(EndpointIncarnation(1)),
            software: Some(version(text)),
            service: service.parse().expect("a service"),
            addr: ([10, 0, 0, index], 80).into(),
            domain: "near".parse().expect("a domain"),
            slots: 10,
            stage: EndpointStage::Ready,
            holdings: Some(Holdings::default()),
        };
        let mut tracked = TrackedEndpoint::new(entry, self.now);
        tracked.apply_state(state(1), self.now);
        self.table.map.insert(id(endpoint), tracked);
    }

    pub(crate) fn endpoint(&mut self, endpoint: &str) -> &mut TrackedEndpoint {
        self.table.map.get_mut(&id(endpoint)).expect("an endpoint")
    }

    /// What the loader of an endpoint last reported that it holds.
    pub(crate) fn holdings(&mut self, endpoint: &str) -> &mut Holdings {
        let (state, _) = self.endpoint(endpoint).state.as_mut().expect("a state");
        &mut state.holdings
    }

    /// Lets an endpoint hold a model.
    pub(crate) fn hold(&mut self, endpoint: &str, model: &str) {
        let held = LoadedModel { model: name(model), adapters: Vec::new() };
        self.holdings(endpoint).models.push(held);
    }

    /// Lets an endpoint keep a copy of a model in host memory.
    pub(crate) fn copy(&mut self, endpoint: &str, model: &str) {
        let WeightCopies { memory, .. } = &mut self.holdings(endpoint).copies;
        memory.push(name(model));
    }

    /// Records that the loader of an endpoint was asked for a model and has not answered.
    pub(crate) fn ask(&mut self, endpoint: &str, model: &str) {
        let target: ModelId = model.parse().expect("a model");
        self.endpoint(endpoint).open_loads.entry(target).or_default().open = 1;
    }

    pub(crate) fn pause(&mut self, endpoint: &str, pause: Duration) {
        self.endpoint(endpoint).hints.own.backoff_until = Some(self.now + pause);
    }

    pub(crate) fn drain(&mut self, endpoint: &str) {
        self.endpoint(endpoint).hints.own.draining = true;
    }

    /// Reports a restart of an endpoint that the list does not show yet.
    pub(crate) fn restart(&mut self, endpoint: &str) {
        let now = self.now;
        assert!(self.endpoint(endpoint).apply_state(state(2), now));
    }

    /// The software that a request for a begun stream needs.
    pub(crate) fn required(&self) -> Option<RequiredSoftware<'_>> {
        Some(RequiredSoftware { service: &self.service, version: &self.wanted })
    }

    /// What a request needs that continues a stream, or any other one.
    pub(crate) fn needs(&self, begun: bool) -> RequestNeeds<'_> {
        RequestNeeds {
            service: &self.service,
            model: Some(&self.model),
            engine: Some(&self.engine),
            prompt_tokens: 1_000,
            first_event_target: Duration::from_secs(1),
            max_pause: Duration::ZERO,
            deadline: self.now + Duration::from_secs(20),
            search_start: self.now,
            excluded: &[],
            software: begun.then_some(&self.wanted),
            isolated: false,
            waiter: None,
        }
    }
}

fn state(incarnation: u64) -> EndpointState {
    EndpointState {
        version: 1,
        endpoint: None,
        incarnation: Some(EndpointIncarnation(incarnation)),
        holdings: Holdings::default(),
        load: EndpointLoad { waiting: 0, running: 0, routers: 1 },
        room_wait: Duration::ZERO,
        can_order: true,
        draining: false,
        rate_limit: None,
        engine_version: Revision(1),
        steps: Vec::new(),
        rates: Vec::new(),
    }
}
