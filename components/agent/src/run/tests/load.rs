//! Admission, shedding, reports and waking under load.

use serde_json::json;
use tree::Class;
use units::{ReplicaIndex, Span};
use wire::{Control, Dispatch, Refusal, Reply};

use super::world::{Answer, World, id, pause, set, until};
use crate::replica::Phase;
use crate::wake;

#[tokio::test(start_paused = true)]
async fn refuses_early_what_would_come_too_late() {
    let world = World::new();
    let running = world.start().await;
    let grant = world.grant("page-text", "v1");
    assert!(running.dispatch(&running.head("r-1")).await.expect("an answer").whole().is_some());
    world.revoke(grant);
    until(|| world.state().grant(grant).is_none()).await;
    world.grant("page-text", "v1");
    world.engine.crash();
    world.engine.forget_caches();
    pause(1500).await;
    let head = Dispatch { budget: Span::secs(2), ..running.head("r-2") };
    let began = tokio::time::Instant::now();
    let answer = running.dispatch(&head).await.expect("an answer");
    assert!(matches!(answer.refusal(), Some(Refusal::Hopeless { .. })), "{answer:?}");
    assert!(began.elapsed() < std::time::Duration::from_millis(10));
    until(|| running.phase_of("page-text@v1") == Some(Phase::Ready)).await;
    let again = Dispatch { budget: Span::secs(2), ..running.head("r-3") };
    let answer = running.dispatch(&again).await.expect("an answer");
    assert!(answer.whole().is_some(), "who comes back finds it loaded: {answer:?}");
}

#[tokio::test(start_paused = true)]
async fn wakes_no_other_replica_for_the_load_alone() {
    let world = World::new();
    world.edit(vec![set("/page-text", "replicas-most", json!(2))]);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let (_, woken) = world.second_holder("page-text", "v1").await;
    let slow = Dispatch { budget: Span::secs(12), ..running.head("r-1") };
    assert!(running.dispatch(&slow).await.expect("an answer").whole().is_some());
    running.agent.desk().times.add(
        edge::CacheTier::Remote,
        units::Size::gib(8),
        std::time::Duration::from_secs(60),
    );
    world.engine.crash();
    world.engine.forget_caches();
    pause(1500).await;
    let tight = Dispatch { budget: Span::secs(20), ..running.head("r-2") };
    let _ = running.dispatch(&tight).await.expect("an answer");
    assert!(woken.lock().expect("a lock").is_empty(), "another would have to load as well");
}

#[tokio::test(start_paused = true)]
async fn sheds_series_before_those_who_stand_and_wait() {
    let world = World::new();
    world.edit(vec![set("/page-text", "queue", json!(2))]);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let series = |n: u32| Dispatch { class: Class::Series, ..running.head(&format!("s-{n}")) };
    let waits = [running.dispatch(&series(1)), running.dispatch(&series(2))];
    until(|| running.waiting() == 2).await;
    let third = running.dispatch(&series(3)).await.expect("an answer");
    assert!(matches!(third.refusal(), Some(Refusal::Full { .. })), "{third:?}");
    let urgent = Dispatch { class: Class::Urgent, ..running.head("u-1") };
    let urgent = running.dispatch(&urgent);
    let [first, second] = waits;
    let shed = second.await.expect("an answer");
    assert!(matches!(shed.refusal(), Some(Refusal::Full { .. })), "{shed:?}");
    assert!(urgent.await.expect("an answer").whole().is_some());
    assert!(first.await.expect("an answer").whole().is_some());
    assert!(!world.engine.truth().executions.contains_key("s-2"));
}

#[tokio::test(start_paused = true)]
async fn reports_its_load_with_each_answer() {
    let world = World::new();
    let running = world.start().await;
    let none = running.dispatch(&running.head("r-0")).await.expect("an answer");
    let Answer::NotRun { report: Some(report), .. } = none else { panic!("{none:?}") };
    assert!(!report.warm);
    assert_eq!(report.awake, 0);
    world.grant("page-text", "v1");
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    let Answer::Served { report, .. } = answer else { panic!("{answer:?}") };
    assert!(report.warm);
    assert_eq!((report.running, report.waiting, report.awake), (1, 0, 1));
}

#[tokio::test(start_paused = true)]
async fn can_be_woken_before_requests_come() {
    let (_world, running) = World::serving(&["page-text"]).await;
    let wake = |index: u32| Control::Wake {
        model: id("page-text"),
        index: ReplicaIndex(index),
        tick: timeline::Tick(900),
    };
    for (index, phase) in [(1, Phase::Cold), (0, Phase::Loading)] {
        let message = serde_json::to_vec(&wake(index)).expect("a message");
        let reply = wake::answer(running.agent.clone(), message.into()).await;
        let reply = serde_json::from_slice(&reply).expect("a reply");
        assert!(matches!(reply, Reply::Position { tick, .. } if tick.0 > 900), "{reply:?}");
        pause(500).await;
        assert_eq!(running.phase_of("page-text@v1").unwrap_or(Phase::Cold), phase);
    }
    until(|| running.phase_of("page-text@v1") == Some(Phase::Ready)).await;
    pause(21_000).await;
    until(|| running.phase_of("page-text@v1") == Some(Phase::Cold)).await;
}

#[tokio::test(start_paused = true)]
async fn wakes_the_next_replica_when_the_wait_grows() {
    let world = World::new();
    world.edit(vec![set("/page-text", "replicas-most", json!(2))]);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let (addr, woken) = world.second_holder("page-text", "v1").await;
    assert!(running.dispatch(&running.head("r-0")).await.expect("an answer").whole().is_some());
    world.engine.set(|faults| faults.tokens = 100);
    let tight = |n: u32| Dispatch { budget: Span::secs(9), ..running.head(&format!("r-{n}")) };
    let runs: Vec<_> = (1..4).map(|n| running.dispatch(&tight(n))).collect();
    for run in runs {
        let _ = run.await;
    }
    let runs: Vec<_> = (4..10).map(|n| running.dispatch(&tight(n))).collect();
    pause(100).await;
    let asked = woken.lock().expect("a lock").clone();
    assert_eq!(asked.len(), 1, "one wake for the burst: {asked:?}");
    let (to, control) = &asked[0];
    assert_eq!(*to, addr);
    assert!(matches!(control, Control::Wake { index: ReplicaIndex(1), .. }), "{control:?}");
    let mut awake = 0;
    for run in runs {
        match run.await.expect("an answer") {
            Answer::Served { report, .. } => awake = awake.max(report.awake),
            Answer::NotRun { report: Some(report), .. } => awake = awake.max(report.awake),
            _ => {}
        }
    }
    assert_eq!(awake, 2, "the report says that the next one is awake");
}
