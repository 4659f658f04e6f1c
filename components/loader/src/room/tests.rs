//! Tests of single decisions for models with queue summaries.

use std::collections::BTreeMap;

use control::{QueueSummary, WaitingWorkspace};
use fleet::LoadedModel;
use platform::Operation;
use rstest::rstest;

use super::*;
use crate::plan::{Action, MIN_RESIDENCE, next_action, next_store_load};
use crate::room::simulation::{Simulation, id, name};
use crate::view::{Eviction, LastPoll};

const SECOND: Duration = Duration::from_secs(1);

/// An endpoint with room for three models that holds some. `m0` and `m3` load in 400 ms, the others in 900 ms.
fn view_with(held: &[&str]) -> EndpointView {
    let models: Vec<String> = (0..9).map(|number| format!("m{number}")).collect();
    let mut view = Simulation::new(&models).view;
    let loaded = |text: &&str| LoadedModel { model: name(text), adapters: Vec::new() };
    view.report.as_mut().expect("a report").models = held.iter().map(loaded).collect();
    for model in held {
        view.rooms.residences.record_load(&name(model), Duration::ZERO, Instant::now());
        view.rooms.residences.record_use(&name(model));
        view.mark_used(&name(model), Instant::now());
    }
    view
}

/// A router asks for a model; without a deadline it sends no summary.
fn ask(
    view: &mut EndpointView,
    model: &str,
    router: &str,
    waiting: u32,
    deadline: Option<Duration>,
) {
    ask_with_priority(view, model, router, (waiting, 0), deadline);
}

/// The same for requests of a priority.
fn ask_with_priority(
    view: &mut EndpointView,
    model: &str,
    router: &str,
    (waiting, priority): (u32, u8),
    deadline: Option<Duration>,
) {
    let now = Instant::now();
    if let Some(deadline) = deadline {
        let workspace = WaitingWorkspace { name: model.parse().expect("a name"), waiting };
        let summary = QueueSummary {
            waiting,
            workspaces: vec![workspace],
            first_deadline: deadline,
            last_deadline: deadline,
            oldest: Duration::ZERO,
            priority,
        };
        view.rooms.queues.record(&id(model), router, summary, now);
    }
    let requested = view.requested.entry(id(model)).or_insert_with(|| RequestedModel {
        waiting: BTreeMap::new(),
        request_rates: BTreeMap::new(),
        software: None,
        deadline: now + 17 * SECOND,
        since: now,
        replies: Vec::new(),
    });
    requested.waiting.insert(router.to_owned(), waiting);
}

fn run(view: &mut EndpointView, model: &str, count: u32) {
    let poll = LastPoll { at: Instant::now(), wait: Duration::ZERO };
    let usage = view.usage.entry(name(model)).or_default();
    usage.running.insert("router".to_owned(), (count, poll));
}

/// The load order of the requested models.
fn load_order(view: &EndpointView) -> Vec<&str> {
    let mut models: Vec<_> = view.requested.iter().collect();
    models.sort_by_key(|(_, requested)| (Reverse(requested.total_waiting()), requested.since));
    order(view, &mut models, Instant::now());
    models.into_iter().map(|(id, _)| id.model.as_str()).collect()
}

fn refusal_of(view: &EndpointView, model: &str) -> Duration {
    match next_action(view, Instant::now()) {
        Action::Refuse(refused, after) if refused == id(model) => after,
        other => panic!("{other:?}"),
    }
}

/// Guards against an order that prefers models by their number of requests although a copy in host memory serves more
/// callers in the same time, or prefers the model that a workspace with many loads waits for.
#[tokio::test(start_paused = true)]
async fn the_most_requests_for_the_duration_go_first_then_the_fewest_loads_then_the_first_deadline()
{
    let mut view = view_with(&[]);
    ask(&mut view, "m1", "r1", 3, Some(15 * SECOND));
    ask(&mut view, "m2", "r1", 2, Some(15 * SECOND));
    ask(&mut view, "m4", "r1", 2, Some(15 * SECOND));
    ask(&mut view, "m5", "r1", 2, Some(14 * SECOND));
    ask(&mut view, "m0", "r1", 2, Some(15 * SECOND));
    assert_eq!(load_order(&view), ["m0", "m1", "m5", "m2", "m4"]);
    view.rooms.loads.record(vec!["m5".parse().expect("a name")], Instant::now());
    assert_eq!(load_order(&view), ["m0", "m1", "m2", "m4", "m5"]);
    tokio::time::advance(25 * SECOND).await;
    view.rooms.expire(Instant::now());
    assert!(view.rooms.queues.is_empty(Instant::now()));
}

/// Guards against old routers that lose callers of new ones, and against new ones that delay old ones for ever.
#[tokio::test(start_paused = true)]
async fn models_without_a_summary_keep_their_order_behind_those_that_would_lose_a_caller() {
    let mut view = view_with(&[]);
    ask(&mut view, "m1", "old", 4, None);
    ask(&mut view, "m2", "old", 9, None);
    ask(&mut view, "m4", "new", 1, Some(2 * SECOND));
    ask(&mut view, "m5", "new", 5, Some(15 * SECOND));
    assert_eq!(load_order(&view), ["m4", "m2", "m5", "m1"]);
    ask(&mut view, "m1", "new", 1, Some(15 * SECOND));
    assert_eq!(load_order(&view), ["m4", "m2", "m1", "m5"], "one and four requests wait for m1");
}

/// Guards against the eviction of models that requests wait for, and of models that are busy while others are idle.
#[tokio::test(start_paused = true)]
async fn an_idle_model_that_no_request_waits_for_is_evicted() {
    let mut view = view_with(&["m1", "m2", "m4"]);
    run(&mut view, "m1", 1);
    ask(&mut view, "m2", "r1", 1, Some(15 * SECOND));
    // The router has been told that the model is loaded, and its requests are on their way.
    view.requested.clear();
    ask(&mut view, "m0", "r1", 1, Some(15 * SECOND));
    assert_eq!(next_action(&view, Instant::now()), Action::Evict(name("m4")));
    run(&mut view, "m4", 1);
    assert!(refusal_of(&view, "m0") <= MIN_RESIDENCE, "both are busy and have just been loaded");
    tokio::time::advance(MIN_RESIDENCE).await;
    run(&mut view, "m1", 3);
    run(&mut view, "m4", 1);
    assert_eq!(next_action(&view, Instant::now()), Action::Evict(name("m4")));
}

/// Guards against the end of an eviction although requests wait for the model again.
#[tokio::test(start_paused = true)]
async fn an_eviction_is_cancelled_when_requests_wait_for_its_model() {
    let mut view = view_with(&["m1", "m2", "m4"]);
    ask(&mut view, "m0", "r1", 1, Some(15 * SECOND));
    view.eviction = Some(Eviction { model: name("m1"), since: Instant::now() });
    assert_eq!(next_action(&view, Instant::now()), Action::Wait, "routers are told first");
    ask(&mut view, "m1", "r2", 1, Some(15 * SECOND));
    assert_eq!(next_action(&view, Instant::now()), Action::CancelEviction);
}

/// Guards against requests that wait for the end of a drain although another model has become idle.
#[tokio::test(start_paused = true)]
async fn an_idle_model_makes_room_in_place_of_one_that_is_still_drained() {
    let mut view = view_with(&["m1", "m2", "m4"]);
    for model in ["m1", "m2", "m4"] {
        run(&mut view, model, 2);
    }
    tokio::time::advance(MIN_RESIDENCE).await;
    for model in ["m1", "m2", "m4"] {
        run(&mut view, model, 2);
    }
    ask(&mut view, "m0", "r1", 1, Some(15 * SECOND));
    let Action::Evict(model) = next_action(&view, Instant::now()) else { panic!("no eviction") };
    view.eviction = Some(Eviction { model, since: Instant::now() });
    assert_eq!(next_action(&view, Instant::now()), Action::Wait);
    run(&mut view, "m2", 0);
    assert_eq!(next_action(&view, Instant::now()), Action::CancelEviction);
    view.eviction = None;
    assert_eq!(next_action(&view, Instant::now()), Action::Evict(name("m2")));
}

/// Guards against models that are unloaded before the requests that they were loaded for arrive, and against models
/// that keep their room after that.
#[tokio::test(start_paused = true)]
async fn a_model_stays_as_long_as_its_load_took_unless_it_has_served_and_is_idle() {
    let mut view = view_with(&["m1", "m2", "m4"]);
    for model in ["m1", "m2", "m4"] {
        view.rooms.residences.record_load(&name(model), SECOND, Instant::now());
    }
    tokio::time::advance(SECOND / 4).await;
    ask(&mut view, "m0", "r1", 1, Some(15 * SECOND));
    assert_eq!(refusal_of(&view, "m0"), SECOND * 3 / 4);
    view.rooms.residences.record_use(&name("m2"));
    assert_eq!(next_action(&view, Instant::now()), Action::Evict(name("m2")));
}

/// Guards against refused routers that return in vain or too late.
#[rstest]
#[case::soon(1_990, 50)]
#[case::in_time(1_300, 700)]
#[case::late(0, 2_000)]
#[tokio::test(start_paused = true)]
async fn a_refused_router_is_told_when_there_is_room(#[case] passed_ms: u64, #[case] told_ms: u64) {
    let mut view = view_with(&["m1", "m2", "m4"]);
    for model in ["m1", "m2", "m4"] {
        view.rooms.residences.record_load(&name(model), 2 * SECOND, Instant::now());
    }
    tokio::time::advance(Duration::from_millis(passed_ms)).await;
    ask(&mut view, "m0", "r1", 1, Some(15 * SECOND));
    let told = refusal_of(&view, "m0");
    assert_eq!(told, Duration::from_millis(told_ms));
    tokio::time::advance(told).await;
    assert!(matches!(next_action(&view, Instant::now()), Action::Evict(_)), "the time holds");
}

/// Guards against room that was promised to a refused router and is gone when it returns as told.
#[tokio::test(start_paused = true)]
async fn the_room_of_a_refused_model_is_kept_for_it() {
    let mut view = view_with(&["m1", "m2", "m4"]);
    for (model, took) in [("m1", SECOND / 2), ("m2", SECOND), ("m4", 9 * SECOND)] {
        view.rooms.residences.record_load(&name(model), took, Instant::now());
    }
    ask(&mut view, "m5", "r1", 3, Some(15 * SECOND));
    assert_eq!(refusal_of(&view, "m5"), SECOND / 2);
    view.rooms.promises.record(&name("m5"), Instant::now() + SECOND / 2);
    view.requested.clear();
    ask(&mut view, "m7", "r1", 1, Some(15 * SECOND));
    assert_eq!(refusal_of(&view, "m7"), SECOND, "the first room is promised");
    view.requested.clear();
    tokio::time::advance(SECOND / 2).await;
    ask(&mut view, "m7", "r1", 1, Some(15 * SECOND));
    assert_eq!(refusal_of(&view, "m7"), SECOND / 2, "the room is there, and kept");
    view.requested.clear();
    ask(&mut view, "m8", "r1", 9, Some(15 * SECOND));
    assert_eq!(next_action(&view, Instant::now()), Action::Evict(name("m1")), "nine go first");
    view.requested.clear();
    view.rooms.promises.remove(&name("m5"));
    ask(&mut view, "m5", "r1", 3, Some(15 * SECOND));
    assert_eq!(next_action(&view, Instant::now()), Action::Evict(name("m1")));
}

/// Guards against free room that stays unused when a refused router doesn't return.
#[tokio::test(start_paused = true)]
async fn a_promise_ends_soon_after_its_time() {
    let mut view = view_with(&["m1", "m2"]);
    ask(&mut view, "m5", "gone", 3, Some(15 * SECOND));
    view.rooms.promises.record(&name("m5"), Instant::now());
    view.requested.clear();
    ask(&mut view, "m7", "r1", 1, Some(15 * SECOND));
    run(&mut view, "m1", 1);
    run(&mut view, "m2", 1);
    assert!(refusal_of(&view, "m7") > Duration::ZERO);
    tokio::time::advance(SECOND / 3).await;
    assert_eq!(next_action(&view, Instant::now()), Action::Order(Operation::Load, id("m7")));
}

/// Guards against permits for loads that are complete after all callers have left.
#[tokio::test(start_paused = true)]
async fn only_requests_that_the_load_can_serve_count_for_a_permit() {
    let mut view = view_with(&[]);
    view.report.as_mut().expect("a report").copies = fleet::WeightCopies::default();
    ask(&mut view, "m1", "r1", 20, Some(9 * SECOND));
    ask(&mut view, "m2", "r1", 2, Some(15 * SECOND));
    ask(&mut view, "m2", "old", 1, None);
    assert_eq!(next_store_load(&view), Some((&name("m2"), 3.0)));
}

/// Guards against requests with long deadlines that pile up and take the room of urgent routes, unless they are about to be
/// lost.
#[rstest]
#[case::long_deadline(12, "m1")]
#[case::about_to_be_lost(2, "m2")]
#[tokio::test(start_paused = true)]
async fn the_higher_priority_goes_first_unless_a_caller_is_lost(
    #[case] deadline_s: u32,
    #[case] first: &str,
) {
    let mut view = view_with(&[]);
    ask_with_priority(&mut view, "m1", "front-1", (1, 0), Some(10 * SECOND));
    ask_with_priority(&mut view, "m2", "front-1", (30, 2), Some(deadline_s * SECOND));
    let load = Action::Order(Operation::Load, id(first));
    assert_eq!(next_action(&view, Instant::now()), load);
}
