//! Planned and forced ends of an entry.

use std::time::Duration;

use process::Phase;

use crate::kit::{Act, World, ask, service_call};

#[tokio::test(start_paused = true)]
async fn can_finish_what_is_in_flight_during_a_drain() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::After(Duration::from_secs(5), "whole")]);
    let call = world.call_later(ask(&[]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.phase.send(Phase::Drain).expect("the entry runs");
    let answer = call.await.expect("the call ends");
    assert_eq!((answer.outcome(), answer.text()), ("served", "whole"));
    assert_eq!(answer.header("connection"), "close");
}

#[tokio::test(start_paused = true)]
async fn can_still_serve_what_the_balancer_sends_during_a_drain() {
    let mut world = World::new().await;
    world.replica(0, "saddar").await;
    world.phase.send(Phase::Drain).expect("the entry runs");
    let answer = world.call(ask(&[])).await;
    assert_eq!(answer.outcome(), "served");
    assert_eq!(answer.header("connection"), "close");
}

#[tokio::test(start_paused = true)]
async fn can_end_by_force_with_true_outcomes() {
    let mut world = World::new().await;
    let engine = world.replica(0, "saddar").await;
    let service = world.attach("darwaza-0", "darwaza", "saddar").await;
    engine.script([Act::Queue]);
    service.script([Act::Never]);
    let queued = world.call_later(ask(&[]));
    let running = world.call_later(service_call("POST", "/badges", &[]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.phase.send(Phase::Force).expect("the entry runs");
    let queued = queued.await.expect("the call ends");
    assert_eq!((queued.status.as_u16(), queued.error().as_str()), (503, "shutdown"));
    assert_eq!(queued.outcome(), "not-run");
    let running = running.await.expect("the call ends");
    assert_eq!((running.status.as_u16(), running.outcome()), (504, "unknown"));
}
