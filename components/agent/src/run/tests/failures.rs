//! Orders, engines and processes that fail.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use units::{Size, Span};
use wire::{Dispatch, Refusal, ResponseEnd, UnknownCause};

use super::world::{Answer, World, id, pause, set, settings, until};
use crate::EndpointKind;
use crate::replica::Phase;

const WHOLE: &str = "t0 t1 t2 t3 ";
const MEMORY: Size = Size::gib(24);

#[rstest]
#[case::reply_lost(1, 0)]
#[case::order_lost(0, 1)]
#[case::both(1, 1)]
#[tokio::test(start_paused = true)]
async fn can_load_once_although_the_outcome_of_the_order_is_unknown(
    #[case] lost_replies: u32,
    #[case] lost_orders: u32,
) {
    let (world, running) = World::serving(&["page-text"]).await;
    pause(100).await;
    world.engine.set(|faults| {
        faults.lost_replies = lost_replies;
        faults.lost_orders = lost_orders;
    });
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert_eq!(answer.whole(), Some(WHOLE));
    let truth = world.engine.truth();
    assert_eq!(truth.loads("page-text@v1"), 1, "{:?}", truth.orders);
}

#[tokio::test(start_paused = true)]
async fn keeps_the_memory_of_an_order_that_may_still_arrive() {
    let world = World::new();
    let running = world.start().await;
    for model in ["page-text", "read-aloud", "glossary"] {
        world.grant(model, "v1");
    }
    pause(100).await;
    world.engine.set(|faults| faults.late_orders = Some(Duration::from_millis(3500)));
    let heads = ["page-text", "read-aloud", "glossary"].map(|model| Dispatch {
        model: Some(id(model)),
        budget: Span::secs(60),
        ..running.head(&format!("r-{model}"))
    });
    let first = running.dispatch(&heads[0]);
    pause(200).await;
    let second = running.dispatch(&heads[1]);
    let third = running.dispatch(&heads[2]);
    pause(3000).await;
    assert_eq!(running.agent.desk().ledger.taken(), Size::gib(20), "both loads are reserved");
    world.engine.set(|faults| faults.late_orders = None);
    for answer in [first, second, third] {
        assert_eq!(answer.await.expect("an answer").whole(), Some(WHOLE));
    }
    let truth = world.engine.truth();
    assert!(truth.high_water <= MEMORY, "{} of {MEMORY}", truth.high_water);
    assert_eq!(truth.cut_by_unload, 0);
}

#[tokio::test(start_paused = true)]
async fn can_take_over_a_load_after_a_restart() {
    let world = World::new();
    let first = world.start().await;
    world.grant("page-text", "v1");
    let _lost = first.dispatch(&first.head("r-1"));
    until(|| !world.engine.loaded().is_empty()).await;
    first.task.abort();
    let second = world.start().await;
    assert_eq!(second.phase_of("page-text@v1").unwrap_or(Phase::Loading), Phase::Loading);
    let answer = second.dispatch(&second.head("r-2")).await.expect("an answer");
    assert_eq!(answer.whole(), Some(WHOLE));
    assert_eq!(world.engine.truth().loads("page-text@v1"), 1);
}

#[tokio::test(start_paused = true)]
async fn unloads_what_no_grant_covers() {
    let world = World::new();
    world.engine.plant("page-text@v0", Size::gib(20));
    let running = world.start().await;
    world.grant("page-text", "v1");
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert_eq!(answer.whole(), Some(WHOLE));
    assert_eq!(world.engine.loaded(), ["page-text@v1"]);
    assert!(world.engine.truth().high_water <= MEMORY);
}

#[tokio::test(start_paused = true)]
async fn errors_when_the_load_fails_twice() {
    let (world, running) = World::serving(&["page-text"]).await;
    world.engine.set(|faults| faults.fail_loads = Some("checkpoint is damaged".to_owned()));
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    let cause = "checkpoint is damaged".to_owned();
    assert_eq!(answer.refusal(), Some(&Refusal::LoadFailed { cause }));
    assert_eq!(running.agent.desk().ledger.taken(), Size(0));
    world.engine.set(|faults| faults.fail_loads = None);
    let answer = running.dispatch(&running.head("r-2")).await.expect("an answer");
    assert_eq!(answer.whole(), Some(WHOLE));
}

#[tokio::test(start_paused = true)]
async fn says_unknown_when_the_engine_crashes_mid_answer() {
    let world = World::new();
    world.engine.set(|faults| faults.tokens = 100);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let answer = running.dispatch(&running.head("r-1"));
    until(|| running.running() == 1).await;
    pause(500).await;
    world.engine.crash();
    let answer = answer.await.expect("an answer");
    let Answer::Served { text, end, .. } = &answer else { panic!("{answer:?}") };
    assert!(text.starts_with("t0 t1 "));
    assert!(matches!(end, Some(ResponseEnd::Failed(UnknownCause::Endpoint { .. }))), "{end:?}");
    let again = running.dispatch(&running.head("r-2")).await.expect("an answer");
    assert!(again.whole().is_some(), "{again:?}");
    let truth = world.engine.truth();
    assert_eq!(truth.executions["r-1"], 1);
    assert_eq!(truth.loads("page-text@v1"), 2);
}

#[tokio::test(start_paused = true)]
async fn can_load_again_when_the_engine_crashes_mid_load() {
    let (world, running) = World::serving(&["page-text"]).await;
    let answer = running.dispatch(&running.head("r-1"));
    until(|| running.phase_of("page-text@v1") == Some(Phase::Loading)).await;
    pause(1000).await;
    world.engine.crash();
    assert_eq!(answer.await.expect("an answer").whole(), Some(WHOLE));
    assert!(world.engine.truth().high_water <= MEMORY);
}

#[rstest]
#[case::in_the_answer(Some(2), false)]
#[case::before_the_answer(None, true)]
#[tokio::test(start_paused = true)]
async fn asks_a_silent_engine_again_on_a_new_connection(
    #[case] silent_after: Option<usize>,
    #[case] mute_calls: bool,
) {
    let (world, running) = World::serving(&["page-text"]).await;
    world.engine.set(|faults| {
        faults.silent_after = silent_after;
        faults.mute_calls = mute_calls;
    });
    let head = Dispatch { repeatable: false, ..running.head("r-1") };
    let answer = running.dispatch(&head).await.expect("an answer");
    assert_eq!(answer.whole(), Some(WHOLE));
    assert_eq!(world.engine.truth().executions["r-1"], 1);
}

#[tokio::test(start_paused = true)]
async fn evicts_the_idle_but_never_one_with_work() {
    let world = World::new();
    let running = world.start().await;
    for model in ["page-text", "read-aloud", "glossary"] {
        world.grant(model, "v1");
    }
    let head = |model: &str, request: &str| Dispatch {
        model: Some(id(model)),
        budget: Span::secs(60),
        ..running.head(request)
    };
    let warm = running.dispatch(&head("read-aloud", "r-1")).await.expect("an answer");
    assert!(warm.whole().is_some());
    world.engine.set(|faults| faults.tokens = 400);
    let busy = running.dispatch(&head("page-text", "r-2"));
    until(|| running.running() == 1).await;
    world.engine.set(|faults| faults.tokens = 4);
    let third = running.dispatch(&head("glossary", "r-3")).await.expect("an answer");
    assert!(third.whole().is_some());
    assert_eq!(world.engine.loaded(), ["glossary@v1", "page-text@v1"]);
    assert!(busy.await.expect("an answer").whole().is_some());
    let truth = world.engine.truth();
    assert!(truth.high_water <= MEMORY);
    assert_eq!(truth.cut_by_unload, 0);
}

#[tokio::test(start_paused = true)]
async fn drains_before_it_releases_a_revoked_grant() {
    let world = World::new();
    world.engine.set(|faults| faults.tokens = 100);
    let running = world.start().await;
    let grant = world.grant("page-text", "v1");
    let runs = ["r-1", "r-2", "r-3"].map(|request| running.dispatch(&running.head(request)));
    until(|| running.running() == 2).await;
    world.revoke(grant);
    until(|| running.phase_of("page-text@v1") == Some(Phase::Draining)).await;
    let new = running.dispatch(&running.head("r-4")).await.expect("an answer");
    assert_eq!(new.refusal(), Some(&Refusal::NoGrant));
    assert!(world.state().grant(grant).is_some(), "it is not released while requests run");
    for run in runs {
        assert!(run.await.expect("an answer").whole().is_some(), "also what waited is served");
    }
    until(|| world.state().grant(grant).is_none()).await;
    assert!(world.engine.loaded().is_empty(), "it is released only once it is gone");
    assert_eq!(world.engine.truth().cut_by_unload, 0);
}

#[tokio::test(start_paused = true)]
async fn rolls_a_version_out_without_two_at_once() {
    let world = World::new();
    let running = world.start().await;
    let grant = world.grant("page-text", "v1");
    let before = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert!(before.whole().is_some());
    world.edit(vec![set("/page-text", "version", json!("v2"))]);
    world.revoke(grant);
    until(|| world.state().grant(grant).is_none()).await;
    world.grant("page-text", "v2");
    let after = running.dispatch(&running.head("r-2")).await.expect("an answer");
    assert!(after.whole().is_some());
    let truth = world.engine.truth();
    assert_eq!(truth.calls, ["page-text@v1", "page-text@v2"]);
    assert_eq!(truth.most_loaded["page-text"], 1);
}

#[tokio::test(start_paused = true)]
async fn loads_adapters_within_the_memory() {
    let (world, running) = World::serving(&["page-text", "read-aloud"]).await;
    let head = |adapter: &str| Dispatch {
        adapter: Some(id(adapter)),
        budget: Span::secs(60),
        ..running.head(&format!("r-{adapter}"))
    };
    let other =
        Dispatch { model: Some(id("read-aloud")), budget: Span::secs(60), ..running.head("r-1") };
    world.engine.set(|faults| faults.tokens = 600);
    let busy = running.dispatch(&other);
    until(|| running.running() == 1).await;
    world.engine.set(|faults| faults.tokens = 4);
    for adapter in ["urdu", "sindhi"] {
        let answer = running.dispatch(&head(adapter)).await.expect("an answer");
        assert_eq!(answer.whole(), Some(WHOLE), "{adapter}");
    }
    assert!(busy.await.expect("an answer").whole().is_some());
    let truth = world.engine.truth();
    assert_eq!(truth.calls, ["read-aloud@v1", "page-text@v1:urdu", "page-text@v1:sindhi"]);
    assert!(truth.high_water <= MEMORY, "{}", truth.high_water);
}

#[tokio::test(start_paused = true)]
async fn errors_when_the_table_is_full() {
    let world = World::new();
    let mut small = settings(EndpointKind::Engine);
    small.table = 8;
    let running = world.start_with(small).await;
    world.grant("page-text", "v1");
    let runs: Vec<_> = (0..7).map(|n| running.dispatch(&running.head(&format!("r-{n}")))).collect();
    pause(100).await;
    let full = running.dispatch(&running.head("r-7")).await.expect("an answer");
    assert!(matches!(full.refusal(), Some(Refusal::Full { .. })), "{full:?}");
    for run in runs {
        assert!(run.await.expect("an answer").whole().is_some());
    }
    assert!(!world.engine.truth().executions.contains_key("r-7"));
}

#[tokio::test(start_paused = true)]
async fn goes_on_loading_in_a_log_outage() {
    let (world, running) = World::serving(&["page-text"]).await;
    pause(1000).await;
    world.log.set(|faults| faults.outage = true);
    pause(30_000).await;
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert_eq!(answer.whole(), Some(WHOLE));
}

#[tokio::test(start_paused = true)]
async fn counts_adapters_on_top_of_what_an_older_incarnation_loaded() {
    let world = World::new();
    let first = world.start().await;
    for model in ["page-text", "read-aloud"] {
        world.grant(model, "v1");
    }
    for model in ["page-text", "read-aloud"] {
        let head = Dispatch { model: Some(id(model)), ..first.head(&format!("r-{model}")) };
        assert!(first.dispatch(&head).await.expect("an answer").whole().is_some());
    }
    first.die().await;
    let second = world.start().await;
    for adapter in ["urdu", "sindhi"] {
        let request = format!("r-{adapter}");
        let head = Dispatch { adapter: Some(id(adapter)), ..second.head(&request) };
        assert!(second.dispatch(&head).await.expect("an answer").whole().is_some());
    }
    let high = world.engine.truth().high_water;
    assert!(high <= MEMORY, "{high}");
}

#[tokio::test(start_paused = true)]
async fn pauses_between_orders_that_are_refused() {
    let (world, running) = World::serving(&["page-text"]).await;
    assert!(running.dispatch(&running.head("r-1")).await.expect("an answer").whole().is_some());
    world.engine.set(|faults| faults.refuse_orders = true);
    pause(30_000).await;
    let refused = world.engine.truth().refused;
    assert!((1..=25).contains(&refused), "{refused} in the ten seconds since it is idle");
    world.engine.set(|faults| faults.refuse_orders = false);
    until(|| world.engine.loaded().is_empty()).await;
}

#[tokio::test(start_paused = true)]
async fn keeps_the_memory_of_an_adapter_that_may_arrive_after_a_crash() {
    let (world, running) = World::serving(&["page-text", "read-aloud"]).await;
    assert!(running.dispatch(&running.head("r-1")).await.expect("an answer").whole().is_some());
    world.engine.set(|faults| faults.late_orders = Some(Duration::from_millis(3500)));
    let head = Dispatch { adapter: Some(id("urdu")), ..running.head("r-2") };
    let adapted = running.dispatch(&head);
    pause(100).await;
    world.engine.set(|faults| faults.late_orders = None);
    world.engine.crash();
    pause(1500).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Unloading), "an order is open");
    let other = Dispatch { model: Some(id("read-aloud")), ..running.head("r-3") };
    for answer in [adapted, running.dispatch(&other)] {
        assert!(answer.await.expect("an answer").whole().is_some());
    }
    assert!(world.engine.truth().high_water <= MEMORY);
}

#[tokio::test(start_paused = true)]
async fn frees_the_memory_of_a_replica_that_vanished_with_its_requests() {
    let world = World::new();
    world.engine.set(|faults| faults.tokens = 100);
    let running = world.start().await;
    let grant = world.grant("page-text", "v1");
    let answer = running.dispatch(&running.head("r-1"));
    until(|| running.running() == 1).await;
    world.revoke(grant);
    world.engine.crash();
    until(|| running.agent.desk().ledger.taken() == Size(0)).await;
    assert!(answer.await.expect("an answer").whole().is_none());
    until(|| world.state().grant(grant).is_none()).await;
    until(|| running.phase_of("page-text@v1").is_none()).await;
    assert_eq!(running.agent.desk().ledger.taken(), Size(0));
}

#[tokio::test(start_paused = true)]
async fn can_unload_an_adapter_although_the_first_orders_are_lost() {
    let (world, running) = World::serving(&["page-text", "read-aloud"]).await;
    let head = |adapter: &str| Dispatch {
        adapter: Some(id(adapter)),
        budget: Span::secs(120),
        ..running.head(&format!("r-{adapter}"))
    };
    assert!(running.dispatch(&head("urdu")).await.expect("an answer").whole().is_some());
    let other = Dispatch { model: Some(id("read-aloud")), ..running.head("r-2") };
    assert!(running.dispatch(&other).await.expect("an answer").whole().is_some());
    world.engine.set(|faults| faults.lost_orders = 5);
    let answer = running.dispatch(&head("sindhi")).await.expect("an answer");
    assert!(answer.whole().is_some(), "{answer:?}");
    until(|| world.engine.loaded().is_empty()).await;
    until(|| running.agent.desk().ledger.taken() == Size(0)).await;
}
