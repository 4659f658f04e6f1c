//! The way of a request: queue, load, call, answer, resume, and the unload once it is idle.

use edge::{CacheChange, CacheEvent, PrefixHash};
use timeline::Tick;
use units::{Incarnation, Span};
use wire::{Dispatch, Refusal, ResponseEnd, Resume, UnknownCause};

use super::world::{Answer, World, id, pause, until};
use crate::replica::Phase;

const WHOLE: &str = "t0 t1 t2 t3 ";

#[tokio::test(start_paused = true)]
async fn can_load_on_the_first_request_and_unload_when_idle() {
    let (world, running) = World::serving(&["page-text"]).await;
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert_eq!(answer.whole(), Some(WHOLE), "{answer:?}");
    assert_eq!(world.engine.loaded(), ["page-text@v1"]);
    assert_eq!(world.engine.truth().calls, ["page-text@v1"]);
    pause(19_000).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Ready));
    pause(2_000).await;
    assert_eq!(world.engine.loaded(), Vec::<String>::new());
    until(|| running.phase_of("page-text@v1") == Some(Phase::Cold)).await;
}

#[tokio::test(start_paused = true)]
async fn can_tell_with_each_answer_what_the_engine_has_cached_until_it_unloads() {
    let (world, running) = World::serving(&["page-text"]).await;
    let told = async |request| {
        let answer = running.dispatch(&running.head(request)).await.expect("an answer");
        let Answer::Served { report, .. } = answer else { panic!("{answer:?}") };
        report.prefixes.map(|news| (news.gaps, String::from(news.changes)))
    };
    assert_eq!(told("r-1").await, None);
    let (artifact, prefix) = (id("page-text@v1"), PrefixHash(7 << 32));
    let stored = CacheEvent { seq: 5, artifact, prefix, change: CacheChange::Stored };
    world.engine.tell(vec![stored.clone()]);
    pause(3_000).await;
    assert_eq!(told("r-2").await, Some((0, "+00000007".to_owned())));
    world.engine.tell(vec![CacheEvent { seq: 9, ..stored }]);
    pause(3_000).await;
    assert_eq!(told("r-3").await, Some((1, "+00000007".to_owned())), "after a gap");
    until(|| running.phase_of("page-text@v1") == Some(Phase::Cold)).await;
    assert_eq!(told("r-4").await, None, "what was cached is gone with the replica");
}

#[tokio::test(start_paused = true)]
async fn errors_without_a_grant() {
    let world = World::new();
    let running = world.start().await;
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert_eq!(answer.refusal(), Some(&Refusal::NoGrant));
}

#[tokio::test(start_paused = true)]
async fn can_resume_from_a_byte_on_a_new_connection() {
    let (world, running) = World::serving(&["page-text"]).await;
    let first = running.dispatch(&running.head("r-1"));
    until(|| running.running() == 1).await;
    first.abort();
    let rest = running.resume("r-1", 3, false).await.expect("an answer");
    let Answer::Served { text, end, .. } = rest else { panic!("{rest:?}") };
    assert_eq!(text, &WHOLE[3..]);
    assert_eq!(end, Some(ResponseEnd::Whole { length: 12 }));
    let again = running.resume("r-1", 0, false).await.expect("an answer");
    assert_eq!(again.whole(), Some(WHOLE));
    assert_eq!(world.engine.truth().executions["r-1"], 1);
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_dispatch_after_its_tombstone() {
    let (world, running) = World::serving(&["page-text"]).await;
    let never = running.resume("r-1", 0, false).await.expect("an answer");
    assert_eq!(never.refusal(), Some(&Refusal::Cancelled));
    let late = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert_eq!(late.refusal(), Some(&Refusal::Cancelled));
    assert!(world.engine.truth().executions.is_empty());
}

#[tokio::test(start_paused = true)]
async fn runs_a_request_that_is_dispatched_twice_once() {
    let (world, running) = World::serving(&["page-text"]).await;
    let head = running.head("r-1");
    let both = [running.dispatch(&head), running.dispatch(&head)];
    for one in both {
        assert_eq!(one.await.expect("an answer").whole(), Some(WHOLE));
    }
    assert_eq!(world.engine.truth().executions["r-1"], 1);
}

#[tokio::test(start_paused = true)]
async fn errors_on_another_incarnation() {
    let (_world, running) = World::serving(&["page-text"]).await;
    let current = running.agent.incarnation();
    let old = Dispatch { incarnation: Incarnation(current.0 - 1), ..running.head("r-1") };
    let answer = running.dispatch(&old).await.expect("an answer");
    assert_eq!(answer.refusal(), Some(&Refusal::Incarnation { current }));
    let resume = Resume {
        request: old.request,
        incarnation: old.incarnation,
        from: 0,
        cancel: false,
        tick: Tick(1),
    };
    let answer = running.resume_with(&resume).await.expect("an answer");
    assert_eq!(answer, Answer::Unknown(UnknownCause::AgentGone));
}

#[tokio::test(start_paused = true)]
async fn errors_late_without_running() {
    let (world, running) = World::serving(&["page-text"]).await;
    let head = Dispatch { budget: Span::secs(2), ..running.head("r-1") };
    let answer = running.dispatch(&head).await.expect("an answer");
    assert_eq!(answer.refusal(), Some(&Refusal::Late));
    pause(5_000).await;
    assert!(world.engine.truth().executions.is_empty());
    assert_eq!(running.waiting(), 0);
}

#[tokio::test(start_paused = true)]
async fn can_cancel_while_waiting_and_while_running() {
    let world = World::new();
    world.engine.set(|faults| faults.tokens = 100);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let waiting = running.dispatch(&running.head("r-1"));
    until(|| running.waiting() == 1).await;
    let cancelled = running.resume("r-1", 0, true).await.expect("an answer");
    assert_eq!(cancelled.refusal(), Some(&Refusal::Cancelled));
    assert_eq!(waiting.await.expect("an answer").refusal(), Some(&Refusal::Cancelled));
    let _open = running.dispatch(&running.head("r-2"));
    until(|| running.running() == 1).await;
    let cancelled = running.resume("r-2", 0, true).await.expect("an answer");
    assert_eq!(cancelled, Answer::Unknown(UnknownCause::Deadline));
    assert!(world.engine.truth().cancelled.contains("r-2"));
}

#[tokio::test(start_paused = true)]
async fn lets_a_call_that_may_not_be_repeated_run_on() {
    let world = World::new();
    world.engine.set(|faults| faults.tokens = 60);
    let running = world.start().await;
    world.grant("page-text", "v1");
    let head = Dispatch { repeatable: false, budget: Span::secs(5), ..running.head("r-1") };
    let answer = running.dispatch(&head);
    until(|| running.running() == 1).await;
    let cancelled = running.resume("r-1", 0, true).await.expect("an answer");
    assert_eq!(cancelled, Answer::Unknown(UnknownCause::Deadline));
    assert!(answer.await.expect("an answer").whole().is_some(), "the answer is kept");
    assert!(world.engine.truth().cancelled.is_empty());
}
