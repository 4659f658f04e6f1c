//! Tests of holding first events back.

use super::*;

fn key(number: u64) -> StreamKey {
    StreamKey::new(b"host", b"", &number.to_be_bytes())
}

/// Origins of which one keeper is being told of the stream 1.
fn telling() -> Origins {
    let origin = StreamOrigin {
        service: "llm".parse().expect("a service"),
        software: Some("v1".parse().expect("a version")),
        endpoint: "i-1".parse().expect("an id"),
        incarnation: None,
        confirmed: false,
        needs: Default::default(),
        begun: Instant::now(),
    };
    let mut outbox = Outbox::default();
    outbox.add(OriginRecord::new(key(1), &origin, RETURN_TIME, Instant::now()));
    let origins = Origins::default();
    origins.lock().outboxes.insert("i-2".parse().expect("an id"), outbox);
    origins
}

async fn hold_time(origins: &Origins, key: StreamKey) -> Duration {
    let started = Instant::now();
    origins.wait_until_told(key).await;
    started.elapsed()
}

/// A stream whose first event had been passed on was unknown once its router ended.
#[tokio::test(start_paused = true)]
async fn a_first_event_waits_until_a_keeper_knows_the_stream() {
    const ANSWER_TIME: Duration = Duration::from_millis(10);
    let origins = telling();
    let answer = async {
        origins.answered.notify_waiters();
        tokio::time::sleep(ANSWER_TIME).await;
        origins.lock().told.insert(key(1), vec!["i-2".parse().expect("an id")]);
        origins.answered.notify_waiters();
    };
    let (held, ()) = tokio::join!(hold_time(&origins, key(1)), answer);
    assert_eq!(held, ANSWER_TIME);
}

/// All streams of a service waited for a keeper that did not answer.
#[tokio::test(start_paused = true)]
async fn a_first_event_does_not_wait_long_for_a_keeper_that_does_not_answer() {
    let origins = telling();
    // The runtime's timer has a resolution of a millisecond.
    let held = hold_time(&origins, key(1)).await;
    assert!((MAX_HOLD..=MAX_HOLD + Duration::from_millis(1)).contains(&held), "{held:?}");
}

#[tokio::test(start_paused = true)]
async fn a_first_event_does_not_wait_if_no_keeper_is_told() {
    assert_eq!(hold_time(&telling(), key(2)).await, Duration::ZERO);
}

/// A router whose list is older than a version asked a keeper that had not heard of the stream yet.
#[tokio::test(start_paused = true)]
async fn all_keepers_that_are_told_are_waited_for() {
    const SECOND_ANSWER_TIME: Duration = Duration::from_millis(10);
    let origins = telling();
    let answer = async {
        origins.lock().told.insert(key(1), vec!["i-3".parse().expect("an id")]);
        origins.answered.notify_waiters();
        tokio::time::sleep(SECOND_ANSWER_TIME).await;
        origins.lock().told.entry(key(1)).or_default().push("i-2".parse().expect("an id"));
        origins.answered.notify_waiters();
    };
    let started = Instant::now();
    tokio::join!(origins.told_by_all(key(1)), answer);
    assert_eq!(started.elapsed(), SECOND_ANSWER_TIME);
    origins.told_by_all(key(2)).await;
    assert_eq!(started.elapsed(), SECOND_ANSWER_TIME, "no keeper is told of this one");
}
