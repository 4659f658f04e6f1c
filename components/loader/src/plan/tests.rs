//! Tests of the controller's next action.

use std::collections::BTreeMap;

use catalog::ModelSpec;
use fleet::{LoadedModel, WeightCopies};
use platform::{EndpointHints, Report};

use super::*;
use crate::view::{Eviction, LastPoll};

fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

fn id(text: &str) -> ModelId {
    text.parse().expect("an id")
}

/// An endpoint with room for two models and two adapters that holds `models`, each with its adapters.
fn view_with(models: &[(&str, &[&str])]) -> EndpointView {
    let spec = ModelSpec {
        weights: Size(40),
        adapter: Size(1),
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(500),
        memory_load: Duration::from_millis(300),
    };
    let names = ["a", "b", "c", "d"];
    let engine = Engine {
        slots: 64,
        cache_tokens: 1_000,
        memory: Size(90),
        adapters: 2,
        host_memory: Size(60),
        disk: Size(500),
        load_rate: 7.0,
        models: names.map(|text| (name(text), spec.clone())).into_iter().collect(),
    };
    let held = |(model, adapters): &(&str, &[&str])| LoadedModel {
        model: name(model),
        adapters: adapters.iter().map(|text| text.parse().expect("an adapter")).collect(),
    };
    let report = Report {
        incarnation: None,
        models: models.iter().map(held).collect(),
        loading_adapters: Vec::new(),
        copies: WeightCopies { memory: Vec::new(), disk: names.map(name).into() },
        busy: false,
        sequence: 1,
        running: 0,
        queued: 0,
        draining: false,
        hints: EndpointHints::default(),
    };
    EndpointView { engine: Some(engine), report: Some(report), ..EndpointView::default() }
}

fn request(view: &mut EndpointView, target: &str, waiting: u32, since: Instant) {
    let waiting = BTreeMap::from([("router".to_owned(), waiting)]);
    let requested = RequestedModel {
        waiting,
        request_rates: BTreeMap::new(),
        software: None,
        deadline: since + DRAIN_TIMEOUT,
        since,
        replies: Vec::new(),
    };
    view.requested.insert(id(target), requested);
}

fn run(view: &mut EndpointView, model: &str, count: u32, now: Instant) {
    let usage = view.usage.entry(name(model)).or_default();
    let poll = LastPoll { at: now, wait: Duration::ZERO };
    usage.running = BTreeMap::from([("router".to_owned(), (count, poll))]);
    usage.record_requests(count, now);
}

async fn later(span: Duration) -> Instant {
    tokio::time::advance(span).await;
    Instant::now()
}

#[tokio::test(start_paused = true)]
async fn a_model_is_loaded_if_there_is_room() {
    let mut view = view_with(&[("a", &[])]);
    let now = Instant::now();
    request(&mut view, "b", 1, now);
    assert_eq!(next_action(&view, now), Action::Order(Operation::Load, id("b")));
}

#[tokio::test(start_paused = true)]
async fn no_order_exceeds_the_memory() {
    let mut view = view_with(&[("a", &["x", "y"]), ("b", &[])]);
    let now = Instant::now();
    request(&mut view, "c", 5, now);
    assert!(matches!(next_action(&view, now), Action::Evict(_)));
    view.report.as_mut().expect("a report").models.pop();
    assert_eq!(next_action(&view, now), Action::Order(Operation::Load, id("c")));
    view.report.as_mut().expect("a report").busy = true;
    assert_eq!(next_action(&view, now), Action::Wait, "one order at a time");
}

#[tokio::test(start_paused = true)]
async fn a_model_drains_before_it_is_unloaded() {
    let mut view = view_with(&[("a", &[]), ("b", &[])]);
    let start = Instant::now();
    run(&mut view, "a", 1, start);
    run(&mut view, "b", 9, start);
    let now = later(MIN_RESIDENCE).await;
    request(&mut view, "c", 1, now);
    assert_eq!(next_action(&view, now), Action::Evict(name("a")));
    view.eviction = Some(Eviction { model: name("a"), since: now });
    let now = later(EVICTION_NOTICE).await;
    assert_eq!(next_action(&view, now), Action::Wait, "one request runs");
    run(&mut view, "a", 0, now);
    assert_eq!(next_action(&view, now), Action::Order(Operation::Unload, id("a")));
}

#[tokio::test(start_paused = true)]
async fn a_drain_ends_after_its_timeout() {
    let mut view = view_with(&[("a", &[]), ("b", &[])]);
    let start = Instant::now();
    run(&mut view, "a", 1, start);
    view.eviction = Some(Eviction { model: name("a"), since: start });
    request(&mut view, "c", 1, start);
    let now = later(DRAIN_TIMEOUT).await;
    assert_eq!(next_action(&view, now), Action::Order(Operation::Unload, id("a")));
}

#[tokio::test(start_paused = true)]
async fn a_model_in_high_demand_is_not_evicted_and_other_models_are_refused() {
    let mut view = view_with(&[("a", &[]), ("b", &[])]);
    let start = Instant::now();
    run(&mut view, "a", 30, start);
    run(&mut view, "b", 30, start);
    let now = later(MIN_RESIDENCE).await;
    request(&mut view, "c", 1, now);
    assert_eq!(next_action(&view, now), Action::Refuse(id("c"), RETRY_AFTER));
}

#[tokio::test(start_paused = true)]
async fn a_prefetched_model_evicts_no_model_in_use() {
    let mut view = view_with(&[("a", &[]), ("b", &[])]);
    let start = Instant::now();
    run(&mut view, "a", 1, start);
    run(&mut view, "b", 1, start);
    let now = later(PREFETCH_MIN_IDLE).await;
    run(&mut view, "a", 1, now);
    request(&mut view, "c", 0, now);
    assert_eq!(next_action(&view, now), Action::Evict(name("b")), "no requests for long enough");
    run(&mut view, "b", 1, now);
    assert_eq!(next_action(&view, now), Action::Refuse(id("c"), RETRY_AFTER));
}

#[tokio::test(start_paused = true)]
async fn the_model_with_the_most_waiting_requests_goes_first_then_the_one_that_waits_longest() {
    let mut view = view_with(&[]);
    let start = Instant::now();
    request(&mut view, "c", 1, start);
    let now = later(Duration::from_millis(500)).await;
    request(&mut view, "a", 9, now);
    request(&mut view, "b", 1, now);
    assert_eq!(next_action(&view, now), Action::Order(Operation::Load, id("a")));
    view.requested.remove(&id("a"));
    assert_eq!(next_action(&view, now), Action::Order(Operation::Load, id("c")));
}

#[tokio::test(start_paused = true)]
async fn the_adapter_asked_for_longest_ago_is_unloaded() {
    let mut view = view_with(&[("a", &["x", "y"])]);
    let start = Instant::now();
    view.adapters_asked.insert(id("a/x"), start);
    let now = later(MIN_RESIDENCE).await;
    view.adapters_asked.insert(id("a/y"), now);
    request(&mut view, "a/z", 1, now);
    assert_eq!(next_action(&view, now), Action::Order(Operation::Unload, id("a/x")));
}

#[tokio::test(start_paused = true)]
async fn the_requests_of_a_crashed_router_stop_counting() {
    let mut view = view_with(&[("a", &[]), ("b", &[])]);
    run(&mut view, "a", 3, Instant::now());
    assert_eq!(view.running(&name("a")), 3);
    later(Duration::from_secs(4)).await;
    assert_eq!(view.running(&name("a")), 0);
}

#[tokio::test(start_paused = true)]
async fn an_eviction_is_cancelled_when_the_room_is_not_needed_any_more() {
    let mut view = view_with(&[("a", &[]), ("b", &[])]);
    let now = Instant::now();
    view.eviction = Some(Eviction { model: name("a"), since: now });
    assert_eq!(next_action(&view, now), Action::CancelEviction);
}

/// The memory used after an action, computed independently from all that is loaded or being loaded.
fn memory_after(view: &EndpointView, action: &Action) -> u64 {
    let report = view.report.as_ref().expect("a report");
    let models = report.models.len() as u64 * 40;
    let held: usize = report.models.iter().map(|held| held.adapters.len()).sum();
    let adapters = (held + report.loading_adapters.len()) as u64;
    let more = match action {
        Action::Order(Operation::Load, id) if id.adapter.is_some() => 1,
        Action::Order(Operation::Load, _) => 40,
        _ => 0,
    };
    models + adapters + more
}

proptest::proptest! {
    #[test]
    fn no_order_exceeds_the_memory_in_random_states(
        loaded in proptest::collection::vec((0_usize..4, 0_usize..3), 0..3),
        incoming in 0_usize..3,
        requests in proptest::collection::vec((0_usize..4, 0_usize..3, 0_u32..5), 0..6),
        busy in proptest::bool::ANY,
    ) {
        const NAMES: [&str; 4] = ["a", "b", "c", "d"];
        const ADAPTERS: [&[&str]; 3] = [&[], &["x"], &["x", "y"]];
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(async {
            let mut models: Vec<(&str, &[&str])> = Vec::new();
            for (model, adapters) in loaded {
                if models.iter().all(|(name, _)| *name != NAMES[model]) {
                    models.push((NAMES[model], ADAPTERS[adapters]));
                }
            }
            let mut view = view_with(&models);
            let now = Instant::now();
            let report = view.report.as_mut().expect("a report");
            report.busy = busy;
            if let Some((model, _)) = models.first() {
                report.loading_adapters = (0..incoming).map(|n| id(&format!("{model}/in{n}"))).collect();
            }
            for (model, adapter, waiting) in requests {
                let text = match adapter {
                    0 => NAMES[model].to_owned(),
                    n => format!("{}/w{n}", NAMES[model]),
                };
                request(&mut view, &text, waiting, now);
            }
            let action = next_action(&view, now);
            let before = memory_after(&view, &Action::Wait);
            let after = memory_after(&view, &action);
            assert!(after == before || after <= 90, "{action:?}: {after}");
            assert!(!busy || !matches!(&action, Action::Order(_, id) if id.adapter.is_none()));
        });
    }
}

#[tokio::test(start_paused = true)]
async fn requests_and_evictions_of_an_earlier_incarnation_delay_nothing() {
    let now = Instant::now();
    let mut view = view_with(&[("a", &[]), ("b", &[])]);
    view.eviction = Some(Eviction { model: name("a"), since: now });
    let usage = view.usage.entry(name("b")).or_default();
    let poll = LastPoll { at: now, wait: Duration::ZERO };
    usage.running.insert("router".to_owned(), (9, poll));
    request(&mut view, "c", 1, now);
    view.reset_endpoint();
    assert_eq!(view.total_running(), 0);
    assert_eq!(next_action(&view, now), Action::Wait, "no order before a report");
    view.report = super::tests::view_with(&[]).report;
    assert_eq!(next_action(&view, now), Action::Order(Operation::Load, id("c")));
}

#[tokio::test(start_paused = true)]
async fn a_load_from_the_weight_store_needs_a_permit_and_other_loads_do_not() {
    let now = Instant::now();
    let mut view = view_with(&[]);
    view.report.as_mut().expect("a report").copies.disk = vec![name("b")];
    request(&mut view, "a", 9, now);
    assert_eq!(next_action(&view, now), Action::Wait);
    request(&mut view, "b", 1, now);
    assert_eq!(next_action(&view, now), Action::Order(Operation::Load, id("b")));
    view.permit = Some(name("a"));
    assert_eq!(next_action(&view, now), Action::Order(Operation::Load, id("a")));
}

#[tokio::test(start_paused = true)]
async fn the_model_with_the_highest_demand_is_loaded_next_unless_another_has_the_permit() {
    let now = Instant::now();
    let mut view = view_with(&[]);
    view.report.as_mut().expect("a report").copies.disk.clear();
    assert_eq!(next_store_load(&view), None);
    request(&mut view, "a", 1, now);
    request(&mut view, "c", 2, now);
    let rates = &mut view.requested.get_mut(&id("a")).expect("a request").request_rates;
    rates.extend([("one".to_owned(), 40.0), ("other".to_owned(), 30.0)]);
    assert_eq!(next_store_load(&view), Some((&name("a"), 71.0)));
    view.permit = Some(name("c"));
    assert_eq!(next_store_load(&view), Some((&name("c"), 2.0)));
}

/// The load of a model would go behind all others because another version loads it, though streams of this version wait for an adapter
/// of it.
#[tokio::test(start_paused = true)]
async fn a_model_is_needed_at_the_version_that_requests_for_its_adapters_need() {
    let now = Instant::now();
    let mut view = view_with(&[]);
    for target in ["a", "a/x", "b"] {
        request(&mut view, target, 1, now);
    }
    assert_eq!(required_software(&view, &name("a")), None);
    let version: units::SoftwareVersion = "v1".parse().expect("a version");
    view.requested.get_mut(&id("a/x")).expect("a request").software = Some(version.clone());
    assert_eq!(required_software(&view, &name("a")), Some(&version));
    assert_eq!(required_software(&view, &name("b")), None);
}

/// Counts of routers and sizes of the configuration go up to the largest numbers, and their sums ended the loader or looked small.
#[tokio::test(start_paused = true)]
async fn sums_of_the_largest_counts_and_sizes_are_the_largest_ones() {
    let mut view = view_with(&[("a", &["x", "y", "z"]), ("b", &["x"])]);
    let (now, most) = (Instant::now(), Size(u64::MAX));
    let engine = view.engine.as_mut().expect("an engine");
    let spec = ModelSpec {
        weights: most,
        adapter: Size(u64::MAX / 2),
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(500),
        memory_load: Duration::from_millis(300),
    };
    engine.memory = most;
    engine.models = ["a", "b", "c"].map(|text| (name(text), spec.clone())).into_iter().collect();
    for router in ["1", "2"] {
        let poll = LastPoll { at: now, wait: Duration::ZERO };
        for model in ["a", "b"] {
            let usage = view.usage.entry(name(model)).or_default();
            usage.running.insert(router.to_owned(), (u32::MAX, poll));
        }
        let queue = control::QueueSummary {
            waiting: u32::MAX,
            workspaces: Vec::new(),
            first_deadline: Duration::MAX,
            last_deadline: Duration::MAX,
            oldest: Duration::MAX,
            priority: 0,
        };
        view.rooms.queues.record(&id("c"), router, queue, now);
    }
    request(&mut view, "c", u32::MAX, now);
    let requested = view.requested.get_mut(&id("c")).expect("a request");
    requested.waiting.insert("router-2".to_owned(), u32::MAX);
    assert_eq!(requested.total_waiting(), u32::MAX);
    assert_eq!((view.used_memory(), view.total_running()), (most, u32::MAX));
    assert_eq!(view.running(&name("a")), u32::MAX);
    assert!(matches!(next_action(&view, now), Action::Refuse(..) | Action::Evict(_)));
}
