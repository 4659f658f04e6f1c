//! Refusals, and what is tried after them.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use units::Span;
use wire::Refusal;

use crate::kit::{Act, World, ask, report, service_call};

#[rstest]
#[case(Refusal::Full { retry: Span::secs(3) })]
#[case(Refusal::Hopeless { wait: Span::secs(60) })]
#[case(Refusal::Leaving)]
#[case(Refusal::NoGrant)]
#[case(Refusal::LoadFailed { cause: "no room".to_owned() })]
#[case(Refusal::Shutdown)]
#[tokio::test(start_paused = true)]
async fn can_go_to_the_next_candidate(#[case] refusal: Refusal) {
    let mut world = World::new().await;
    let first = world.replica(0, "saddar").await;
    let second = world.replica(1, "clifton").await;
    // The holder of the first has woken the second.
    first.set_report(report(8, 8, 2));
    first.script([Act::Refuse(refusal)]);
    let answer = world.call(ask(&[])).await;
    assert_eq!(answer.outcome(), "served");
    assert_eq!((first.dispatches().len(), second.runs().len()), (1, 1));
}

#[rstest]
#[case(Refusal::Full { retry: Span::secs(3) })]
#[case(Refusal::Hopeless { wait: Span::secs(60) })]
#[tokio::test(start_paused = true)]
async fn errors_without_waking_replicas_for_lack_of_capacity(#[case] refusal: Refusal) {
    let mut world = World::new().await;
    let first = world.replica(0, "saddar").await;
    let second = world.replica(1, "clifton").await;
    first.script([Act::Refuse(refusal)]);
    assert_eq!(world.call(ask(&[])).await.status, 429);
    assert!(second.dispatches().is_empty());
}

#[tokio::test(start_paused = true)]
async fn errors_after_two_loads_that_would_take_too_long() {
    let mut world = World::new().await;
    let agents = [
        world.replica(0, "saddar").await,
        world.replica(1, "saddar").await,
        world.replica(2, "saddar").await,
    ];
    for agent in &agents {
        agent.set_report(wire::Report { warm: false, ..report(0, 0, 3) });
        agent.script([Act::Refuse(Refusal::Hopeless { wait: Span::secs(9) })]);
    }
    assert_eq!(world.call(ask(&[])).await.status, 429);
    let asked: Vec<usize> = agents.iter().map(|agent| agent.dispatches().len()).collect();
    assert_eq!(asked, [1, 1, 0]);
}

#[tokio::test(start_paused = true)]
async fn can_go_on_after_a_refusal_of_a_call_that_must_not_run_twice() {
    let mut world = World::new().await;
    let first = world.attach("darwaza-0", "darwaza", "saddar").await;
    let second = world.attach("darwaza-1", "darwaza", "clifton").await;
    first.script([Act::Refuse(Refusal::Leaving)]);
    let answer = world.call(service_call("POST", "/badges", &[])).await;
    assert_eq!(answer.outcome(), "served");
    assert_eq!((first.runs().len(), second.runs().len()), (0, 1));
}

#[rstest]
#[case(Refusal::Full { retry: Span::secs(3) }, 429, "3")]
#[case(Refusal::Hopeless { wait: Span::secs(60) }, 429, "60")]
#[case(Refusal::LoadFailed { cause: "no room".to_owned() }, 503, "1")]
#[case(Refusal::Endpoint { cause: "busy".to_owned() }, 503, "1")]
#[case(Refusal::Late, 503, "1")]
#[tokio::test(start_paused = true)]
async fn errors_at_once_when_all_have_refused(
    #[case] refusal: Refusal,
    #[case] status: u16,
    #[case] retry: &str,
) {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Refuse(refusal)]);
    let began = Instant::now();
    let answer = world.call(ask(&[])).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (status, "not-run"));
    assert_eq!(answer.header("retry-after"), retry);
    assert!(began.elapsed() < Duration::from_millis(100));
}

#[tokio::test(start_paused = true)]
async fn errors_with_unknown_if_one_of_several_may_have_run() {
    let mut world = World::new().await;
    let first = world.replica(0, "saddar").await;
    let second = world.replica(1, "saddar").await;
    first.script([Act::Die]);
    second.script([Act::Refuse(Refusal::Full { retry: Span::secs(1) })]);
    let answer = world.call(ask(&[])).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (504, "unknown"));
}

#[tokio::test(start_paused = true)]
async fn errors_without_an_endpoint_after_a_short_wait() {
    let world = World::new().await;
    let began = Instant::now();
    let answer = world.call(ask(&[])).await;
    assert_eq!((answer.status.as_u16(), answer.error().as_str()), (503, "no-endpoint"));
    assert_eq!(answer.header("retry-after"), "2");
    assert!(began.elapsed() < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn can_wait_for_a_grant_that_is_on_its_way() {
    let mut world = World::new().await;
    let call = world.call_later(ask(&[]));
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.replica(0, "saddar").await;
    assert_eq!(call.await.expect("the call ends").outcome(), "served");
}

#[tokio::test(start_paused = true)]
async fn can_wait_for_an_agent_that_has_not_read_of_its_grant() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Refuse(Refusal::NoGrant), Act::Refuse(Refusal::NoGrant)]);
    assert_eq!(world.call(ask(&[])).await.outcome(), "served");
    assert_eq!(agent.dispatches().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn can_keep_retries_within_a_budget() {
    let mut world = World::new().await;
    let agents = [world.replica(0, "saddar").await, world.replica(1, "saddar").await];
    let full = Act::Refuse(Refusal::Full { retry: Span::secs(1) });
    for agent in &agents {
        agent.script(vec![full.clone(); 2000]);
        agent.set_report(report(8, 8, 2));
    }
    let requests = 500;
    for _ in 0..requests {
        assert_eq!(world.call(ask(&[])).await.status, 429);
    }
    let dispatches: usize = agents.iter().map(|agent| agent.dispatches().len()).sum();
    // What is saved up at the start, and a fifth of the first attempts.
    assert!(dispatches <= requests + 50 + requests / 5, "{dispatches} dispatches");
    assert!(dispatches >= requests + 50, "{dispatches} dispatches");
}

#[tokio::test(start_paused = true)]
async fn errors_on_more_requests_than_a_group_may_have() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script(vec![Act::Queue; 200]);
    let calls: Vec<_> =
        (0..60).map(|_| world.call_later(ask(&[("hyssop-group", "greedy")]))).collect();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let refused = calls.iter().filter(|call| call.is_finished()).count();
    assert_eq!(refused, 10);
    let other = world.call_later(ask(&[("hyssop-group", "modest")]));
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert!(!other.is_finished());
}
