//! Streams, connections and agents that are lost.

use std::time::Duration;

use tokio::time::Instant;
use units::Incarnation;
use wire::{Refusal, UnknownCause};

use crate::kit::{Act, World, ask, service_call};

const SSE: &str = "text/event-stream";
const EVENTS: &str = "data: one\n\ndata: two\n\ndata: [DONE]\n\n";

#[tokio::test(start_paused = true)]
async fn can_resume_a_cut_stream_at_any_byte() {
    for at in 0..EVENTS.len() {
        let mut world = World::new().await;
        let agent = world.replica(0, "saddar").await;
        agent.script([Act::CutAt { content: SSE, body: EVENTS, at }]);
        let answer = world.call(ask(&[])).await;
        assert_eq!(answer.text(), EVENTS, "cut at {at}");
        assert_eq!(agent.resumes()[0].from, at as u64);
        assert_eq!(agent.runs().len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn can_resume_on_a_new_connection_when_the_old_one_falls_silent() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::After(Duration::from_secs(3), "late")]);
    let call = world.call_later(ask(&[]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.net.silence_open();
    let answer = call.await.expect("the call ends");
    // The answer was there when the entry asked again, or the request is still waiting for it.
    assert_eq!(answer.outcome(), "served");
    assert_eq!(answer.text(), "late");
    assert_eq!(agent.runs().len(), 1);
    assert_eq!(world.net.dials(), 2);
}

#[tokio::test(start_paused = true)]
async fn can_fetch_an_answer_that_was_lost_on_the_way() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::LoseAnswer("granted")]);
    let answer = world.call(service_call("POST", "/badges", &[])).await;
    assert_eq!(answer.text(), "granted");
    assert_eq!(agent.runs().len(), 1);
    assert_eq!(agent.dispatches().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn can_send_again_once_the_agent_has_barred_a_lost_dispatch() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::Lose]);
    let answer = world.call(service_call("POST", "/badges", &[])).await;
    assert_eq!(answer.outcome(), "served");
    assert_eq!(agent.runs().len(), 1);
    let first = agent.resumes()[0].request.clone();
    assert_ne!(agent.runs()[0], first, "the barred id may not run");
    assert_eq!(agent.runs()[0].as_str(), format!("{first}.1"));
}

#[tokio::test(start_paused = true)]
async fn errors_on_an_agent_that_dies_with_a_request_that_must_not_run_twice() {
    let mut world = World::new().await;
    let first = world.attach("darwaza-0", "darwaza", "saddar").await;
    let second = world.attach("darwaza-1", "darwaza", "saddar").await;
    first.script([Act::Die]);
    second.script([Act::Die]);
    let began = Instant::now();
    let answer = world.call(service_call("POST", "/badges", &[])).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (504, "unknown"));
    assert_eq!(answer.error(), "agent-gone");
    assert_eq!(first.runs().len() + second.runs().len(), 1);
    assert_eq!(first.dispatches().len() + second.dispatches().len(), 1);
    assert!(began.elapsed() < Duration::from_secs(10), "the answer is not held until the deadline");
}

#[tokio::test(start_paused = true)]
async fn can_run_a_repeatable_request_elsewhere_when_its_agent_dies() {
    let mut world = World::new().await;
    let first = world.replica(0, "saddar").await;
    let second = world.replica(1, "saddar").await;
    first.script([Act::Die]);
    let began = Instant::now();
    let answer = world.call(ask(&[])).await;
    assert_eq!(answer.outcome(), "served");
    assert_eq!((first.runs().len(), second.runs().len()), (1, 1));
    assert!(began.elapsed() < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_begun_answer_whose_agent_dies() {
    let mut world = World::new().await;
    let first = world.replica(0, "saddar").await;
    let second = world.replica(1, "saddar").await;
    first.script([Act::CutAt { content: SSE, body: EVENTS, at: 15 }]);
    first.set_dead_after_dispatch();
    let answer = world.call(ask(&[])).await;
    assert!(answer.text().starts_with("data: one\n\nevent: error\n"), "{}", answer.text());
    assert!(second.dispatches().is_empty(), "half an answer is never joined to another one");
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_plain_body_that_is_cut() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::CutAt { content: "text/plain", body: "a long fault log", at: 6 }]);
    agent.set_dead_after_dispatch();
    let answer = world.call(service_call("GET", "/faults", &[])).await;
    assert_eq!((answer.status.as_u16(), answer.text()), (200, "a long"));
    assert!(answer.cut);
}

#[tokio::test(start_paused = true)]
async fn can_run_again_when_the_endpoint_failed_before_the_caller_saw_anything() {
    let mut world = World::new().await;
    let first = world.replica(0, "saddar").await;
    let second = world.replica(1, "saddar").await;
    let body = r#"{"text":"once upon a time"}"#;
    first.script([Act::FailAt { content: "application/json", body, at: 10 }]);
    second.script([Act::Answer { content: "application/json", body }]);
    let answer = world.call(ask(&[])).await;
    assert_eq!((answer.outcome(), answer.text()), ("served", body));
}

#[tokio::test(start_paused = true)]
async fn errors_on_an_endpoint_that_fails_within_a_call_that_must_not_run_twice() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    let other = world.attach("darwaza-1", "darwaza", "saddar").await;
    let cause = UnknownCause::Endpoint { cause: "reset".to_owned() };
    agent.script([Act::Unknown(cause.clone())]);
    other.script([Act::Unknown(cause)]);
    let answer = world.call(service_call("POST", "/badges", &[])).await;
    assert_eq!((answer.status.as_u16(), answer.error().as_str()), (504, "endpoint"));
    assert_eq!(agent.runs().len() + other.runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn can_keep_crossed_answers_apart() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    let bodies = ["zero", "one", "two", "three", "four", "five", "six", "seven"];
    // The first to ask is the last to be answered.
    let pauses = (0..8).rev().map(|step| Duration::from_millis(100 * step));
    agent.script(pauses.zip(bodies).map(|(pause, body)| Act::After(pause, body)));
    let mut calls = Vec::new();
    for _ in bodies {
        calls.push(world.call_later(ask(&[])));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for (call, body) in calls.into_iter().zip(bodies) {
        assert_eq!(call.await.expect("the call ends").text(), body);
    }
}

#[tokio::test(start_paused = true)]
async fn can_follow_an_agent_to_its_new_incarnation() {
    let mut world = World::new().await;
    let old = world.replica(0, "saddar").await;
    // The agent has attached again, and the entry has not read of it.
    let newer = Incarnation(old.incarnation.0 + 100);
    let agent = old.reborn(newer);
    world.net.add(&agent);
    let answer = world.call(ask(&[])).await;
    assert_eq!(answer.outcome(), "served");
    let named: Vec<Incarnation> = agent.dispatches().iter().map(|head| head.incarnation).collect();
    assert_eq!(named, [old.incarnation, newer]);
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_request_of_an_earlier_incarnation() {
    let mut world = World::new().await;
    let old = world.attach("darwaza-0", "darwaza", "saddar").await;
    old.script([Act::Die]);
    let call = world.call_later(service_call("POST", "/badges", &[]));
    tokio::time::sleep(Duration::from_millis(100)).await;
    world.net.add(&old.reborn(Incarnation(99)));
    let answer = call.await.expect("the call ends");
    assert_eq!((answer.status.as_u16(), answer.error().as_str()), (504, "agent-gone"));
}

#[tokio::test(start_paused = true)]
async fn can_cancel_what_a_caller_no_longer_waits_for() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Queue]);
    let call = world.call_later(ask(&[]));
    tokio::time::sleep(Duration::from_millis(100)).await;
    call.abort();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(agent.resumes()[0].cancel);
}

#[tokio::test(start_paused = true)]
async fn can_cancel_a_stream_that_nobody_reads_any_more() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Long { kib: 1024 }]);
    let response = world.core.clone().answer(ask(&[])).await;
    assert_eq!(response.status(), 200);
    drop(response);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(agent.resumes()[0].cancel);
}

#[tokio::test(start_paused = true)]
async fn can_leave_a_call_that_must_not_run_twice_alone_when_its_caller_hangs_up() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::After(Duration::from_secs(1), "granted")]);
    let call = world.call_later(service_call("POST", "/badges", &[]));
    tokio::time::sleep(Duration::from_millis(100)).await;
    call.abort();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(agent.resumes().is_empty());
}

#[tokio::test(start_paused = true)]
async fn errors_on_an_answer_that_is_cut_again_and_again() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::CutAlways { body: EVENTS, at: 11 }]);
    let began = Instant::now();
    let answer = world.call(ask(&[])).await;
    assert!(answer.text().starts_with("data: one\n\nevent: error\n"), "{}", answer.text());
    assert!(agent.resumes().len() < 10, "{} resumes", agent.resumes().len());
    assert!(began.elapsed() < Duration::from_secs(5));
}

#[tokio::test(start_paused = true)]
async fn can_tell_a_refusal_apart_from_a_lost_one() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Lose, Act::Refuse(Refusal::Full { retry: units::Span::secs(3) })]);
    let answer = world.call(ask(&[])).await;
    assert_eq!((answer.status.as_u16(), answer.header("retry-after")), (429, "3"));
    assert!(agent.runs().is_empty());
}
