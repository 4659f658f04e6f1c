//! Deployments without wait queues: each decision has to be the one that is made without the module `room`.

use std::collections::BTreeMap;

use catalog::ModelSpec;
use control::QueueSummary;
use fleet::{LoadedModel, WeightCopies};
use platform::{EndpointHints, Report};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::room::RoomState;
use crate::view::{Eviction, LastPoll};

mod reference;

const MODELS: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const ADAPTERS: [&str; 3] = ["x", "y", "z"];
const ROUTERS: [&str; 3] = ["r1", "r2", "r3"];
/// Views that are compared.
const VIEWS: u32 = 20_000;

fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

fn random_id(rng: &mut impl Rng) -> ModelId {
    let model = MODELS[rng.random_range(0..MODELS.len())];
    let adapter = ADAPTERS[rng.random_range(0..ADAPTERS.len())];
    let text = if rng.random_bool(0.2) { format!("{model}/{adapter}") } else { model.to_owned() };
    text.parse().expect("an id")
}

/// A time up to five seconds ago.
fn recently(rng: &mut impl Rng, now: Instant) -> Instant {
    now - Duration::from_millis(rng.random_range(0..5_000))
}

fn random_engine(rng: &mut impl Rng) -> Engine {
    let mut spec = || ModelSpec {
        weights: Size(rng.random_range(20..50)),
        adapter: Size(rng.random_range(1..4)),
        store_load: Duration::from_secs(10),
        disk_load: Duration::from_millis(900),
        memory_load: Duration::from_millis(400),
    };
    Engine {
        slots: 64,
        cache_tokens: 1_000,
        models: MODELS[..6].iter().map(|text| (name(text), spec())).collect(),
        memory: Size(100),
        adapters: 3,
        host_memory: Size(60),
        disk: Size(500),
        load_rate: 7.0,
    }
}

fn random_report(rng: &mut impl Rng) -> Report {
    let mut held = Vec::new();
    for model in MODELS {
        if rng.random_bool(0.4) {
            let adapters = ADAPTERS.iter().filter(|_| rng.random_bool(0.3));
            let adapters = adapters.map(|text| text.parse().expect("an adapter")).collect();
            held.push(LoadedModel { model: name(model), adapters });
        }
    }
    let disk = MODELS.iter().filter(|_| rng.random_bool(0.7)).map(|text| name(text)).collect();
    Report {
        incarnation: None,
        models: held,
        loading_adapters: if rng.random_bool(0.1) { vec![random_id(rng)] } else { Vec::new() },
        copies: WeightCopies { memory: Vec::new(), disk },
        busy: rng.random_bool(0.1),
        sequence: 1,
        running: 0,
        queued: 0,
        draining: rng.random_bool(0.03),
        hints: EndpointHints::default(),
    }
}

fn random_request(rng: &mut impl Rng, now: Instant) -> RequestedModel {
    let mut asking: Vec<String> = ROUTERS.iter().map(|name| (*name).to_owned()).collect();
    asking.retain(|_| rng.random_bool(0.5));
    RequestedModel {
        waiting: asking.iter().map(|name| (name.clone(), rng.random_range(0..6))).collect(),
        request_rates: asking.iter().map(|name| (name.clone(), rng.random::<f64>())).collect(),
        software: None,
        deadline: now + Duration::from_millis(rng.random_range(1..17_000)),
        since: recently(rng, now),
        replies: Vec::new(),
    }
}

fn random_view(rng: &mut impl Rng, now: Instant) -> EndpointView {
    let mut view = EndpointView {
        engine: Some(random_engine(rng)),
        report: Some(random_report(rng)),
        ..EndpointView::default()
    };
    for _ in 0..rng.random_range(0..6) {
        view.requested.insert(random_id(rng), random_request(rng, now));
    }
    for model in MODELS {
        let usage = view.usage.entry(name(model)).or_default();
        if rng.random_bool(0.7) {
            usage.record_requests(rng.random_range(0..12), recently(rng, now));
        }
        if rng.random_bool(0.4) {
            let poll = LastPoll { at: recently(rng, now), wait: Duration::from_secs(1) };
            usage.running.insert("r1".to_owned(), (rng.random_range(1..9), poll));
        }
    }
    for _ in 0..3 {
        view.adapters_asked.insert(random_id(rng), recently(rng, now));
    }
    if rng.random_bool(0.3) {
        let model = name(MODELS[rng.random_range(0..MODELS.len())]);
        view.eviction = Some(Eviction { model, since: recently(rng, now) });
    }
    if rng.random_bool(0.3) {
        view.permit = Some(random_id(rng).model);
    }
    view.rooms = random_rooms(rng, now);
    view
}

/// What an endpoint remembers of its loads, and of summaries that have expired.
fn random_rooms(rng: &mut impl Rng, now: Instant) -> RoomState {
    let mut rooms = RoomState::default();
    for model in MODELS {
        let took = Duration::from_millis(rng.random_range(100..10_000));
        rooms.residences.record_load(&name(model), took, recently(rng, now));
        if rng.random_bool(0.5) {
            rooms.promises.record(&name(model), now + took);
        }
        let last_deadline = Duration::from_millis(100);
        let summary = QueueSummary {
            waiting: 9,
            workspaces: Vec::new(),
            first_deadline: last_deadline,
            last_deadline,
            oldest: Duration::ZERO,
            priority: 0,
        };
        let id = ModelId { model: name(model), adapter: None };
        rooms.queues.record(&id, "r1", summary, now - Duration::from_secs(1));
    }
    rooms
}

/// Guards against a change for deployments that have the wait queues switched off, or whose routers know none.
#[tokio::test(start_paused = true)]
async fn without_a_summary_each_decision_is_as_without_wait_queues() {
    tokio::time::advance(Duration::from_secs(60)).await;
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(17);
    let mut kinds: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..VIEWS {
        let view = random_view(&mut rng, now);
        let action = next_action(&view, now);
        assert_eq!(action, reference::next_action(&view, now), "view {number}: {view:?}");
        let load = next_store_load(&view);
        assert_eq!(load, reference::next_store_load(&view), "view {number}: {view:?}");
        assert_eq!(room_wait(&view, now), reference::room_wait(&view, now));
        let text = format!("{action:?}");
        *kinds.entry(text.split('(').next().unwrap_or_default().to_owned()).or_default() += 1;
    }
    assert!(kinds.len() == 5 && kinds.values().all(|count| *count > 200), "{kinds:?}");
}
