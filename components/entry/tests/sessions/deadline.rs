//! Requests whose deadline comes.

use std::time::Duration;

use tokio::time::Instant;

use crate::kit::{Act, World, ask, service_call};

const SHORT: &[(&str, &str)] = &[("hyssop-deadline", "5s")];
const ALLOWED: Duration = Duration::from_secs(5);

#[tokio::test(start_paused = true)]
async fn can_prove_that_a_queued_request_did_not_run() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Queue]);
    let began = Instant::now();
    let answer = world.call(ask(SHORT)).await;
    assert_eq!((answer.status.as_u16(), answer.error().as_str()), (503, "late"));
    assert_eq!(answer.outcome(), "not-run");
    assert!(began.elapsed() < ALLOWED);
    assert!(agent.resumes()[0].cancel);
    assert!(agent.runs().is_empty());
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_running_request_with_an_unknown_outcome() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Never]);
    let began = Instant::now();
    let answer = world.call(ask(SHORT)).await;
    assert_eq!((answer.status.as_u16(), answer.error().as_str()), (504, "deadline"));
    assert_eq!(answer.outcome(), "unknown");
    assert!(began.elapsed() < ALLOWED);
}

#[tokio::test(start_paused = true)]
async fn can_answer_in_time_for_a_silent_agent() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    world.net.silence_new(true);
    let began = Instant::now();
    let answer = world.call(ask(SHORT)).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (504, "unknown"));
    assert!(began.elapsed() < ALLOWED);
    assert!(agent.dispatches().is_empty());
}

#[tokio::test(start_paused = true)]
async fn can_prove_not_run_on_a_new_connection_when_the_old_one_fell_silent() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Queue]);
    let call = world.call_later(ask(SHORT));
    tokio::time::sleep(ALLOWED - Duration::from_millis(600)).await;
    world.net.silence_open();
    let answer = call.await.expect("the call ends");
    assert_eq!(answer.outcome(), "not-run");
    assert_eq!(world.net.dials(), 2);
}

#[tokio::test(start_paused = true)]
async fn can_serve_an_answer_that_was_there_when_the_deadline_came() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::After(Duration::from_millis(4590), "granted")]);
    let call = world.call_later(service_call("POST", "/badges", SHORT));
    tokio::time::sleep(Duration::from_millis(4580)).await;
    world.net.silence_open();
    let answer = call.await.expect("the call ends");
    assert_eq!((answer.outcome(), answer.text()), ("served", "granted"));
    assert_eq!(agent.runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_stream_that_outlasts_its_deadline() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::CutAt {
        content: "text/event-stream",
        body: "data: a\n\ndata: b\n\n",
        at: 9,
    }]);
    agent.set_dead_after_dispatch();
    let began = Instant::now();
    let answer = world.call(ask(SHORT)).await;
    assert!(began.elapsed() < ALLOWED);
    assert_eq!(answer.status, 200);
    assert!(answer.text().starts_with("data: a\n\nevent: error\ndata: {"), "{}", answer.text());
    assert!(!answer.text().contains("data: b"));
}

#[tokio::test(start_paused = true)]
async fn can_serve_others_while_a_caller_does_not_read() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::Long { kib: 1024 }, Act::Long { kib: 1024 }]);
    let call = || service_call("GET", "/faults", SHORT);
    // Nobody reads the body of the first.
    let unread = world.core.clone().answer(call()).await;
    let other = world.call(call()).await;
    assert_eq!((other.outcome(), other.body.len()), ("served", 1024 << 10));
    assert_eq!(world.net.dials(), 1);
    tokio::time::sleep(ALLOWED).await;
    let body = http_body_util::BodyExt::collect(unread.into_body()).await;
    assert!(body.is_err(), "what is read after the deadline can't look whole");
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_deadline_shorter_than_the_way() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Queue]);
    let answer = world.call(ask(&[("hyssop-deadline", "1ms")])).await;
    assert!(["not-run", "unknown"].contains(&answer.outcome()));
}
