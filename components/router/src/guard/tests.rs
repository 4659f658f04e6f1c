use std::sync::Arc;
use std::time::Duration;

use quarantine::{Crash, Digest, QuarantineRecord, UnixMillis};
use tokio::time::Instant;

use super::{CrashGuard, Rejection, SendPermit, wall_clock};
use crate::pool::ConnectionPool;

const LONG: Duration = Duration::from_secs(60);

fn digest(name: &str) -> Digest {
    Digest::of(&[name.as_bytes()])
}

fn guard() -> Arc<CrashGuard> {
    Arc::new(CrashGuard::new("front-1".to_owned()).0)
}

/// An endpoint ended with these.
fn end(guard: &CrashGuard, number: u32, runs: &[&str]) {
    guard.record(QuarantineRecord::Crash(Crash {
        endpoint: format!("i-{number}").parse().expect("an id"),
        incarnation: None,
        domain: "near".parse().expect("a domain"),
        domain_endpoints: 9,
        at: UnixMillis(wall_clock().0 - 10_000 + u64::from(number) * 500),
        requests: runs.iter().map(|name| digest(name)).collect(),
    }));
}

/// What becomes of a request, if it is not to wait.
async fn try_enter(guard: &Arc<CrashGuard>, name: &str) -> Option<Result<SendPermit, Rejection>> {
    let digest = digest(name);
    let entered = guard.acquire(&digest, None, Instant::now() + LONG);
    tokio::time::timeout(Duration::from_millis(1), entered).await.ok()
}

#[tokio::test(start_paused = true)]
async fn requests_like_one_that_was_at_an_end_go_one_at_a_time_and_all_others_at_once() {
    let guard = guard();
    end(&guard, 1, &["a"]);
    let first = try_enter(&guard, "a").await.expect("its turn").expect("leave");
    assert!(try_enter(&guard, "a").await.is_none());
    let _others =
        (try_enter(&guard, "b").await.expect("free"), try_enter(&guard, "b").await.expect("free"));
    drop(first);
    let next = try_enter(&guard, "a").await.expect("its turn").expect("leave");
    assert!(!next.isolated);
}

#[tokio::test(start_paused = true)]
async fn one_that_leaves_while_it_waits_takes_no_turn_with_it() {
    let guard = guard();
    end(&guard, 1, &["a"]);
    let first = try_enter(&guard, "a").await.expect("its turn").expect("leave");
    assert!(try_enter(&guard, "a").await.is_none());
    assert!(try_enter(&guard, "a").await.is_none());
    drop(first);
    assert!(try_enter(&guard, "a").await.is_some());
    assert!(try_enter(&guard, "a").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn one_that_waits_in_vain_is_told_so_in_time() {
    let guard = guard();
    end(&guard, 1, &["a"]);
    let _first = try_enter(&guard, "a").await.expect("its turn").expect("leave");
    let until = Instant::now() + Duration::from_secs(2);
    assert_eq!(guard.acquire(&digest("a"), None, until).await.err(), Some(Rejection::Busy));
    assert_eq!(Instant::now(), until);
}

#[tokio::test(start_paused = true)]
async fn what_was_at_an_endpoint_that_may_have_ended_waits_until_that_is_known() {
    let guard = guard();
    let pool = Arc::new(ConnectionPool::new(([127, 0, 0, 1], 9).into()));
    let ticket = pool.sent_requests().begin(digest("a"));
    pool.sent_requests().end(ticket, false, Instant::now());
    let before = try_enter(&guard, "a").await.expect("free").expect("leave");
    guard.begin_examination(&pool);
    assert!(!guard.allows(&digest("a"), &before));
    assert!(try_enter(&guard, "a").await.is_none());
    assert!(try_enter(&guard, "b").await.is_some());
    guard.finish_examination(&pool, None);
    assert!(guard.allows(&digest("a"), &before));
    assert!(try_enter(&guard, "a").await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_suspect_is_barred_at_once_also_where_it_waits_or_has_leave() {
    let guard = guard();
    end(&guard, 1, &["a", "b"]);
    end(&guard, 2, &["a", "b"]);
    let first = try_enter(&guard, "a").await.expect("its turn").expect("leave");
    assert!(first.isolated);
    let waiting = tokio::spawn({
        let guard = guard.clone();
        async move { guard.acquire(&digest("a"), None, Instant::now() + LONG).await.err() }
    });
    tokio::time::sleep(Duration::from_millis(1)).await;
    end(&guard, 3, &["a"]);
    assert_eq!(waiting.await.expect("it ends"), Some(Rejection::Suspect));
    assert!(!guard.allows(&digest("a"), &first));
    // Who ran beside it twice is served.
    assert!(try_enter(&guard, "b").await.expect("its turn").expect("leave").isolated);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_ran_to_its_end_is_as_any_other_again() {
    let guard = guard();
    end(&guard, 1, &["a"]);
    end(&guard, 2, &["a"]);
    guard.record_completion(&digest("a"));
    let _all =
        (try_enter(&guard, "a").await.expect("free"), try_enter(&guard, "a").await.expect("free"));
}

#[tokio::test(start_paused = true)]
async fn what_another_router_tells_counts_and_is_new_once() {
    let (guard, other) = (guard(), guard());
    end(&other, 1, &["a"]);
    let told = other.recent();
    assert_eq!(guard.apply(&told), told);
    assert_eq!(guard.apply(&told), []);
    let _first = try_enter(&guard, "a").await.expect("its turn").expect("leave");
    assert!(try_enter(&guard, "a").await.is_none());
}
