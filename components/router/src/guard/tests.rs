use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use control::KeyedRecord;
use quarantine::{Crash, Digest, Fingerprint, PartsRelease, QuarantineRecord, UnixMillis};
use tokio::time::Instant;

use super::{Attempt, Completion, CrashGuard, MAX_RECORD_PARTS, Rejection, SendPermit, wall_clock};
use crate::pool::ConnectionPool;
use crate::sent_requests::{RunEnd, SurvivedRequest};

const LONG_WAIT: Duration = Duration::from_secs(60);

fn digest(name: &str) -> Digest {
    Digest::of(&[name.as_bytes()])
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::new(digest(name), digest("caller"), [])
}

fn guard() -> Arc<CrashGuard> {
    Arc::new(CrashGuard::new("front-1".to_owned()).0)
}

/// An endpoint crashed with these requests.
fn crash(guard: &CrashGuard, number: u32, runs: &[&str]) {
    guard.record(QuarantineRecord::Crash(Crash {
        endpoint: format!("i-{number}").parse().expect("an id"),
        incarnation: None,
        domain: "near".parse().expect("a domain"),
        domain_endpoints: 9,
        at: UnixMillis(wall_clock().0 - 10_000 + u64::from(number) * 500),
        requests: runs.iter().map(|name| digest(name)).collect(),
        parts: BTreeMap::new(),
    }));
}

/// The result for a request, or `None` if it has to wait.
async fn try_acquire(guard: &Arc<CrashGuard>, name: &str) -> Option<Result<SendPermit, Rejection>> {
    let request = request(name);
    let acquired = guard.acquire(&request, Attempt::First, None, Instant::now() + LONG_WAIT);
    tokio::time::timeout(Duration::from_millis(1), acquired).await.ok()
}

#[tokio::test(start_paused = true)]
async fn requests_that_were_at_a_crash_are_sent_one_at_a_time_and_all_others_at_once() {
    let guard = guard();
    crash(&guard, 1, &["a"]);
    let first = try_acquire(&guard, "a").await.expect("a turn").expect("a permit");
    assert!(try_acquire(&guard, "a").await.is_none());
    let _others = (
        try_acquire(&guard, "b").await.expect("no wait"),
        try_acquire(&guard, "b").await.expect("no wait"),
    );
    drop(first);
    let next = try_acquire(&guard, "a").await.expect("a turn").expect("a permit");
    assert!(!next.isolated);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_cancelled_while_it_waits_takes_no_turn() {
    let guard = guard();
    crash(&guard, 1, &["a"]);
    let first = try_acquire(&guard, "a").await.expect("a turn").expect("a permit");
    assert!(try_acquire(&guard, "a").await.is_none());
    assert!(try_acquire(&guard, "a").await.is_none());
    drop(first);
    assert!(try_acquire(&guard, "a").await.is_some());
    assert!(try_acquire(&guard, "a").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_gets_no_turn_is_rejected_at_its_deadline() {
    let guard = guard();
    crash(&guard, 1, &["a"]);
    let _first = try_acquire(&guard, "a").await.expect("a turn").expect("a permit");
    let until = Instant::now() + Duration::from_secs(2);
    assert_eq!(
        guard.acquire(&request("a"), Attempt::First, None, until).await.err(),
        Some(Rejection::Busy)
    );
    assert_eq!(Instant::now(), until);
}

#[tokio::test(start_paused = true)]
async fn requests_of_an_endpoint_that_may_have_crashed_wait_until_that_is_known() {
    let guard = guard();
    let pool = Arc::new(ConnectionPool::new(([127, 0, 0, 1], 9).into()));
    let ticket = pool.sent_requests().begin(Arc::new(request("a")));
    pool.sent_requests().end(ticket, RunEnd::Cut, Instant::now());
    let before = try_acquire(&guard, "a").await.expect("no wait").expect("a permit");
    guard.begin_examination(&pool);
    assert!(!guard.allows(&request("a"), &before));
    assert!(try_acquire(&guard, "a").await.is_none());
    assert!(try_acquire(&guard, "b").await.is_some());
    guard.finish_examination(&pool, None);
    assert!(guard.allows(&request("a"), &before));
    assert!(try_acquire(&guard, "a").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_suspect_is_rejected_at_once_even_if_it_waits_or_has_a_permit() {
    let guard = guard();
    crash(&guard, 1, &["a", "b"]);
    crash(&guard, 2, &["a", "b"]);
    let first = try_acquire(&guard, "a").await.expect("a turn").expect("a permit");
    assert!(first.isolated);
    let waiting = tokio::spawn({
        let guard = guard.clone();
        async move {
            guard
                .acquire(&request("a"), Attempt::First, None, Instant::now() + LONG_WAIT)
                .await
                .err()
        }
    });
    tokio::time::sleep(Duration::from_millis(1)).await;
    crash(&guard, 3, &["a"]);
    assert_eq!(waiting.await.expect("it ends"), Some(Rejection::Suspect(digest("a"))));
    assert!(!guard.allows(&request("a"), &first));
    // The request that ran beside the suspect at two crashes is still served.
    assert!(try_acquire(&guard, "b").await.expect("a turn").expect("a permit").isolated);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_ran_to_its_end_is_no_longer_serialized() {
    let guard = guard();
    crash(&guard, 1, &["a"]);
    crash(&guard, 2, &["a"]);
    guard.record_completion(&digest("a"), Completion::Presumed);
    let _all = (
        try_acquire(&guard, "a").await.expect("no wait"),
        try_acquire(&guard, "a").await.expect("no wait"),
    );
}

/// The same where the end is certain, which other routers are told of.
#[tokio::test(start_paused = true)]
async fn a_request_that_certainly_ran_to_its_end_is_cleared_of_all_crashes_before() {
    let (guard, mut written) = CrashGuard::new("front-1".to_owned());
    let guard = Arc::new(guard);
    crash(&guard, 1, &["a"]);
    crash(&guard, 2, &["a"]);
    (0..2).for_each(|_| drop(written.try_recv().expect("a crash")));
    guard.record_completion(&digest("a"), Completion::Certain);
    let both = (
        try_acquire(&guard, "a").await.expect("no wait"),
        try_acquire(&guard, "a").await.expect("no wait"),
    );
    assert!(both.0.is_ok() && both.1.is_ok());
    guard.publish_cleared();
    let record = written.try_recv().expect("a release").record;
    let QuarantineRecord::PartsRelease(release) = record else { panic!("{record:?}") };
    assert_eq!(release.parts.keys().collect::<Vec<_>>(), [&digest("a")]);
}

/// Three endpoints of a failing rack crashed at once, each with a request that had just run well elsewhere.
#[tokio::test(start_paused = true)]
async fn crashes_do_not_count_against_a_request_that_has_just_run_to_its_end() {
    let guard = guard();
    guard.record_completion(&digest("a"), Completion::Certain);
    guard.record_completion(&digest("b"), Completion::Presumed);
    (1..4).for_each(|number| crash(&guard, number, &["a", "b"]));
    assert!(try_acquire(&guard, "a").await.expect("no wait").is_ok());
    assert!(try_acquire(&guard, "b").await.expect("no wait").is_err());
}

/// A request that ran well long ago may crash endpoints now.
#[tokio::test]
async fn crashes_count_against_a_request_that_ran_to_its_end_some_time_ago() {
    let guard = guard();
    guard.record_completion(&digest("a"), Completion::Certain);
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    (1..4).for_each(|number| crash(&guard, number, &["a"]));
    let result = try_acquire(&guard, "a").await.expect("no wait");
    assert_eq!(result.err(), Some(Rejection::Suspect(digest("a"))));
}

/// Another router may be about to tell that the request runs well.
#[tokio::test(start_paused = true)]
async fn a_request_at_crashes_that_have_just_become_known_is_not_refused_for_good() {
    let guard = guard();
    (14..17).for_each(|number| crash(&guard, number, &["a"]));
    let result = try_acquire(&guard, "a").await.expect("no wait");
    let Err(Rejection::Unsettled(suspect, time)) = result else { panic!("{result:?}") };
    assert_eq!(suspect, digest("a"));
    assert!(time <= Duration::from_secs(4), "{time:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_runs_well_elsewhere_is_not_held_while_an_endpoint_is_examined() {
    let guard = guard();
    let pool = Arc::new(ConnectionPool::new(([127, 0, 0, 1], 9).into()));
    let ticket = pool.sent_requests().begin(Arc::new(request("a")));
    pool.sent_requests().end(ticket, RunEnd::Cut, Instant::now());
    guard.begin_examination(&pool);
    assert!(try_acquire(&guard, "a").await.is_none());
    guard.record_completion(&digest("a"), Completion::Certain);
    let permit = try_acquire(&guard, "a").await.expect("no wait").expect("a permit");
    assert!(guard.allows(&request("a"), &permit));
    // The one that was interrupted there waits: it may be the cause.
    let interrupted = request("a");
    let until = Instant::now() + LONG_WAIT;
    let acquired = guard.acquire(&interrupted, Attempt::Repeated, None, until);
    assert!(tokio::time::timeout(Duration::from_millis(1), acquired).await.is_err());
}

/// A crash of other requests that was noticed by a clock far ahead cleared a request of its own crashes to come.
#[tokio::test(start_paused = true)]
async fn a_request_that_ran_to_its_end_is_not_cleared_up_to_a_crash_of_other_requests() {
    let guard = guard();
    crash(&guard, 1, &["a"]);
    crash(&guard, 2, &["a"]);
    crash(&guard, 1_000, &["b"]);
    guard.record_completion(&digest("a"), Completion::Presumed);
    (30..33).for_each(|number| crash(&guard, number, &["a"]));
    let result = try_acquire(&guard, "a").await.expect("no wait");
    let Err(Rejection::Suspect(suspect) | Rejection::Unsettled(suspect, _)) = result else {
        panic!("{result:?}")
    };
    assert_eq!(suspect, digest("a"));
}

#[tokio::test(start_paused = true)]
async fn records_from_another_router_count_and_are_new_only_once() {
    let (guard, other) = (guard(), guard());
    crash(&other, 1, &["a"]);
    let records = other.recent();
    assert_eq!(guard.apply(&records), records);
    assert_eq!(guard.apply(&records), []);
    let _first = try_acquire(&guard, "a").await.expect("a turn").expect("a permit");
    assert!(try_acquire(&guard, "a").await.is_none());
}

/// A request with the part of its prompt.
fn request_with(name: &str, part: &str) -> Arc<Fingerprint> {
    Arc::new(Fingerprint::new(digest(name), digest("caller"), [part]))
}

/// An endpoint crashed with these requests a moment ago.
fn crash_by(guard: &CrashGuard, number: u32, requests: &[&Fingerprint]) {
    let parts = requests.iter().flat_map(|request| &request.parts);
    guard.record(QuarantineRecord::Crash(Crash {
        endpoint: format!("i-{number}").parse().expect("an id"),
        incarnation: None,
        domain: "near".parse().expect("a domain"),
        domain_endpoints: 9,
        at: wall_clock(),
        requests: requests.iter().map(|request| request.request).collect(),
        parts: parts.map(|part| (part.digest, BTreeSet::from([requests[0].caller]))).collect(),
    }));
}

async fn is_repeated(guard: &Arc<CrashGuard>, request: &Fingerprint) -> bool {
    let until = Instant::now() + LONG_WAIT;
    guard.acquire(request, Attempt::Repeated, None, until).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn an_interrupted_request_is_not_repeated_if_a_part_that_never_ran_well_was_at_two_crashes() {
    let guard = guard();
    let (one, other) = (request_with("a", "bad0"), request_with("b", "bad0"));
    crash_by(&guard, 1, &[&one]);
    assert!(is_repeated(&guard, &one).await);
    crash_by(&guard, 2, &[&one]);
    assert!(!is_repeated(&guard, &one).await);
    assert!(!is_repeated(&guard, &other).await);
    // Requests that have not run are sent on: the part may be a harmless one.
    let until = Instant::now() + LONG_WAIT;
    assert!(guard.acquire(&other, Attempt::First, None, until).await.is_ok());
    assert!(is_repeated(&guard, &request_with("c", "5c1e")).await);
}

#[tokio::test(start_paused = true)]
async fn an_interrupted_request_is_repeated_if_its_parts_are_known_to_run_well() {
    let guard = guard();
    let sound = request_with("a", "5c1e");
    guard.record_survived(&[SurvivedRequest {
        fingerprint: sound.clone(),
        began: guard.time_after_crashes(),
    }]);
    let interrupted: Vec<_> = ["b", "c", "d"].map(|name| request_with(name, "5c1e")).into();
    for (number, request) in (1..).zip(&interrupted) {
        crash_by(&guard, number, &[request]);
        assert!(is_repeated(&guard, request).await);
    }
}

#[tokio::test(start_paused = true)]
async fn parts_that_run_well_are_told_to_other_routers_once() {
    let (guard, mut written) = CrashGuard::new("front-1".to_owned());
    let sound = request_with("a", "5c1e");
    let run = || SurvivedRequest { fingerprint: sound.clone(), began: guard.time_after_crashes() };
    guard.record_survived(&[run()]);
    guard.publish_cleared();
    assert!(written.try_recv().is_err(), "the part was at no crash");
    crash_by(&guard, 1, &[&request_with("b", "5c1e")]);
    assert!(written.try_recv().is_ok());
    guard.record_survived(&[run()]);
    guard.record_survived(&[run()]);
    guard.publish_cleared();
    guard.publish_cleared();
    let told = written.try_recv().expect("a record");
    assert!(matches!(told.record, QuarantineRecord::PartsRelease(_)));
    assert!(guard.recent().contains(&told), "routers that can't read the store get it too");
    assert!(written.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn parts_that_another_router_has_told_of_are_not_told_again() {
    let (guard, mut written) = CrashGuard::new("front-1".to_owned());
    let sound = request_with("a", "5c1e");
    crash_by(&guard, 1, &[&request_with("b", "5c1e")]);
    let _crash = written.try_recv().expect("a record");
    let began = guard.time_after_crashes();
    guard.record_survived(&[SurvivedRequest { fingerprint: sound.clone(), began }]);
    let parts = sound.parts.iter().map(|part| (part.digest, began)).collect();
    let record = QuarantineRecord::PartsRelease(PartsRelease { parts });
    guard.apply(&[KeyedRecord { key: record.key("front-2"), record }]);
    guard.publish_cleared();
    assert!(written.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn the_record_of_a_crash_keeps_the_parts_that_never_ran_well() {
    let guard = guard();
    let parts: Vec<String> = (0..2 * MAX_RECORD_PARTS).map(|number| number.to_string()).collect();
    let (proven, doubtful) = parts.split_at(parts.len() - 5);
    let prompt = |parts: &[String]| {
        let ids = parts.iter().map(String::as_str);
        Arc::new(Fingerprint::new(digest("a"), digest("caller"), ids))
    };
    let sound = prompt(proven);
    guard.record_survived(&[SurvivedRequest {
        fingerprint: sound,
        began: guard.time_after_crashes(),
    }]);
    let all = prompt(&parts).parts.iter().map(|part| (part.digest, BTreeSet::new())).collect();
    let kept = guard.limit_parts(all);
    assert_eq!(kept.len(), MAX_RECORD_PARTS);
    assert!(prompt(doubtful).parts.iter().all(|part| kept.contains_key(&part.digest)));
}

/// No request asks for a permit meanwhile.
#[tokio::test]
async fn suspects_are_listed_by_the_crashes_that_count_by_now() {
    let guard = guard();
    for (number, name) in (1..).zip(["a", "b", "c"]) {
        crash_by(&guard, number, &[&request_with(name, "bad0")]);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    assert_eq!(guard.suspects(), []);
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    assert_eq!(guard.suspects().len(), 1);
}

/// The clock of the router that noticed the crash is ahead. A request that ran to its end after it counted as one that crashed endpoints.
#[tokio::test(start_paused = true)]
async fn a_request_that_ran_well_is_cleared_of_crashes_whatever_the_clocks_of_routers_say() {
    let guard = guard();
    for number in 1..=2 {
        let at = wall_clock().after(Duration::from_secs(5 + number));
        guard.record(QuarantineRecord::Crash(Crash {
            endpoint: format!("i-{number}").parse().expect("an id"),
            incarnation: None,
            domain: "near".parse().expect("a domain"),
            domain_endpoints: 9,
            at,
            requests: [digest("a")].into(),
            parts: BTreeMap::new(),
        }));
    }
    assert!(guard.is_watched(&request("a")));
    guard.record_completion(&digest("a"), Completion::Presumed);
    assert!(!guard.is_watched(&request("a")));
}
