//! Leaving and taking over.

use std::time::Duration;

use edge::{Instance, InstanceState};
use process::ShutdownPhase;
use wire::{Control, Refusal, Reply, UnknownCause};

use super::world::{Answer, ENDPOINT, Running, World, id, until};
use crate::wake;

#[tokio::test(start_paused = true)]
async fn can_leave_with_work_in_hand() {
    let world = World::new();
    world.engine.set(|faults| faults.tokens = 200);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let runs = [running.dispatch(&running.head("r-1")), running.dispatch(&running.head("r-2"))];
    until(|| running.running() == 2).await;
    let waits = running.dispatch(&running.head("r-3"));
    until(|| running.waiting() == 1).await;
    running.phase.send_replace(ShutdownPhase::Drain);
    assert_eq!(waits.await.expect("an answer").refusal(), Some(&Refusal::Leaving));
    let new = running.dispatch(&running.head("r-4")).await.expect("an answer");
    assert_eq!(new.refusal(), Some(&Refusal::Leaving));
    for run in runs {
        assert!(run.await.expect("an answer").whole().is_some(), "nothing in flight is cut");
    }
    running.task.await.expect("an agent that ends");
    assert!(world.engine.loaded().is_empty());
    assert_eq!(world.state().grants_at(&id(ENDPOINT)).count(), 0);
    assert!(world.state().member(&id(ENDPOINT)).is_some_and(|member| member.leaving));
}

#[tokio::test(start_paused = true)]
async fn can_leave_when_the_list_says_so() {
    let (world, running) = World::serving(&["page-text"]).await;
    let served = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert!(served.whole().is_some());
    world.list.set(vec![Instance {
        id: id("instance-1"),
        service: id("likhari"),
        domain: id("saddar"),
        state: InstanceState::Leaving,
    }]);
    running.task.await.expect("an agent that ends");
    assert!(world.engine.loaded().is_empty());
    assert_eq!(world.state().grants_at(&id(ENDPOINT)).count(), 0);
}

/// What the planner tells the agent.
async fn tell(running: &Running, instance: &str) {
    let control = Control::Leaving { instance: id(instance) };
    let message = serde_json::to_vec(&control).expect("text").into();
    let reply = serde_json::from_slice(&wake::answer(running.agent.clone(), message).await);
    assert!(matches!(reply, Ok(Reply::Position { .. })), "{reply:?}");
}

#[tokio::test(start_paused = true)]
async fn can_leave_when_the_planner_says_so_while_the_list_is_down() {
    let world = World::new();
    world.list.set_outage(true);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let served = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert!(served.whole().is_some());
    tell(&running, "instance-2").await;
    let served = running.dispatch(&running.head("r-2")).await.expect("an answer");
    assert!(served.whole().is_some(), "another instance was meant");
    tell(&running, "instance-1").await;
    until(|| running.task.is_finished()).await;
    assert!(world.engine.loaded().is_empty());
    assert_eq!(world.state().grants_at(&id(ENDPOINT)).count(), 0);
}

#[tokio::test(start_paused = true)]
async fn ends_with_true_outcomes_on_a_second_signal() {
    let world = World::new();
    world.engine.set(|faults| faults.tokens = 100_000);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let run = running.dispatch(&running.head("r-1"));
    until(|| running.running() == 1).await;
    running.phase.send_replace(ShutdownPhase::Drain);
    tokio::time::sleep(Duration::from_millis(200)).await;
    running.phase.send_replace(ShutdownPhase::Force);
    let answer = run.await.expect("an answer");
    let Answer::Served { end, .. } = &answer else { panic!("{answer:?}") };
    assert_eq!(end, &Some(wire::ResponseEnd::Failed(UnknownCause::AgentGone)));
    running.task.await.expect("an agent that ends");
}

#[tokio::test(start_paused = true)]
async fn leaves_in_a_log_outage() {
    let (world, running) = World::serving(&["page-text"]).await;
    let served = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert!(served.whole().is_some());
    world.log.set(|faults| faults.outage = true);
    running.phase.send_replace(ShutdownPhase::Drain);
    running.task.await.expect("an agent that ends");
    assert!(world.engine.loaded().is_empty());
}

#[tokio::test(start_paused = true)]
async fn stops_when_another_incarnation_takes_over() {
    let world = World::new();
    world.engine.set(|faults| faults.tokens = 100);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let runs = [running.dispatch(&running.head("r-1")), running.dispatch(&running.head("r-2"))];
    until(|| running.running() == 2).await;
    let waits = running.dispatch(&running.head("r-3"));
    until(|| running.waiting() == 1).await;
    let current = world.attach_other().into();
    let refused = waits.await.expect("an answer");
    assert_eq!(refused.refusal(), Some(&Refusal::Incarnation { current }));
    let orders = world.engine.truth().orders.len();
    for run in runs {
        assert!(run.await.expect("an answer").whole().is_some());
    }
    running.task.await.expect("an agent that ends");
    assert_eq!(world.engine.truth().orders.len(), orders, "nothing is ordered after the takeover");
    assert_eq!(world.engine.loaded(), ["page-text@v1"]);
}
