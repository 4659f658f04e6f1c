//! Tests of the tokens of a workspace with promises and leases.

use std::net::SocketAddr;

use rstest::rstest;

use super::*;

/// A share of 1,000 tokens a second and 10,000 at once.
const OWN: ShareTerms =
    ShareTerms { total: BucketSpec { refill_rate: 1_000.0, capacity: 10_000.0 }, count: 1 };
const WITHIN: Duration = Duration::from_millis(5_600);

fn claim(fingerprint: u64) -> Claim {
    Claim { fingerprint, tokens: 1_000.0, within: WITHIN, urgent: true }
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn promised(outcome: ClaimOutcome) -> Duration {
    match outcome {
        ClaimOutcome::Promised(after) => after,
        other => panic!("{other:?}"),
    }
}

/// A pool without tokens.
fn empty() -> (Pool, Moment) {
    let now = Moment::now();
    (Pool::new(now), now)
}

// The load of a workspace at six times its usual rate: all refused callers carried the same retry time.
#[test]
fn callers_refused_together_return_at_different_times_and_are_served() {
    let (mut pool, now) = empty();
    let outcomes: Vec<_> = (0..10).map(|caller| pool.claim(OWN, claim(caller), now)).collect();
    let times: Vec<_> = outcomes[..4].iter().map(|outcome| promised(*outcome)).collect();
    // The fifth slot would end after 6.7 s, which is too late for its caller: it is told the true time, and no refill is set aside.
    let late = outcomes[4..].iter();
    assert!(late.clone().all(|outcome| *outcome == outcomes[4]), "{outcomes:?}");
    assert!(matches!(outcomes[4], ClaimOutcome::Later(after) if after > WITHIN), "{outcomes:?}");
    for (caller, after) in (0..).zip(times) {
        let back = now + after;
        // Requests that arrive first take what is not promised.
        while pool.take_whole(OWN, 100.0, true, back).is_some() {}
        let outcome = pool.claim(OWN, claim(caller), back);
        assert!(matches!(outcome, ClaimOutcome::Lent { kept: true, .. }), "{caller}: {outcome:?}");
    }
}

#[test]
fn a_caller_that_returns_early_keeps_its_slot_and_gets_no_second_one() {
    let (mut pool, now) = empty();
    let first = promised(pool.claim(OWN, claim(1), now));
    let second = promised(pool.claim(OWN, claim(2), now));
    let early = now + secs(0.5);
    assert_eq!(promised(pool.claim(OWN, claim(2), early)), second - secs(0.5));
    let third = promised(pool.claim(OWN, claim(3), early));
    assert!((third + secs(0.5) - second).abs_diff(first) < secs(0.01));
}

#[test]
fn tokens_of_a_promise_that_is_not_used_are_free_after_two_seconds() {
    let (mut pool, now) = empty();
    let after = promised(pool.claim(OWN, claim(1), now));
    let due = now + after;
    pool.take_part(OWN, 10_000.0, due);
    assert!((pool.level(OWN, due) - 1_000.0).abs() < 1.0);
    assert!(pool.unpromised_level(OWN, due) < 1.0);
    let expired = due + secs(2.1);
    assert!((pool.unpromised_level(OWN, expired) - 3_100.0).abs() < 1.0);
}

/// A limit that falls to next to nothing while a caller waits for its turn.
#[test]
fn a_promise_that_no_refill_can_keep_is_postponed_without_an_end() {
    let (mut pool, now) = empty();
    let back = now + promised(pool.claim(OWN, claim(1), now));
    pool.take_part(OWN, 10_000.0, back);
    while pool.bucket.take(OWN.total, 10_000.0, back).tokens > 0.0 {}
    let total = BucketSpec { refill_rate: 1e-300, ..OWN.total };
    let after = promised(pool.claim(ShareTerms { total, ..OWN }, claim(1), back));
    assert_eq!(after, Duration::MAX);
    let early = pool.claim(ShareTerms { total, ..OWN }, claim(1), back + secs(1.0));
    assert!(promised(early) > Duration::from_secs(1 << 60), "{early:?}");
}

#[test]
fn a_request_larger_than_the_bucket_gets_no_promise() {
    let (mut pool, now) = empty();
    let large = Claim { tokens: 9_000.0, ..claim(1) };
    assert_eq!(pool.claim(OWN, large, now), ClaimOutcome::TooLarge);
}

#[test]
fn the_last_tenth_is_for_requests_of_the_highest_priority() {
    let (mut pool, start) = empty();
    let now = start + secs(1.5);
    assert!(pool.take_whole(OWN, 600.0, false, now).is_none());
    assert!(pool.take_whole(OWN, 500.0, false, now).is_some());
    assert!(pool.take_whole(OWN, 1_000.0, true, now).is_some());
}

// A part that was taken for a request that is refused in the end was missing for one that fits.
#[test]
fn a_request_that_does_not_fit_takes_nothing() {
    let (mut pool, start) = empty();
    let now = start + secs(1.0);
    assert!(pool.take_whole(OWN, 1_500.0, true, now).is_none());
    assert!(pool.take_rest(OWN, 1_500.0, 200.0, now).is_none());
    // The borrowed tokens are kept.
    assert!(pool.take_whole(OWN, 1_200.0, true, now).is_some());
}

#[test]
fn borrowed_tokens_that_are_too_many_are_kept() {
    let (mut pool, now) = empty();
    assert!(pool.take_rest(OWN, 1_000.0, 1_300.0, now).is_some());
    assert!((pool.level(OWN, now) - 300.0).abs() < 1.0);
}

fn lease(until: Moment) -> Lease {
    Lease { owner: SocketAddr::from(([10, 0, 0, 9], 8_144)), count: 1, until }
}

#[test]
fn a_leased_share_fills_the_bucket_until_its_end() {
    let (mut pool, now) = empty();
    pool.add_lease(OWN, lease(now + secs(4.0)), 500.0, now);
    // Twice the refill for four seconds, and the own one for two.
    assert!((pool.level(OWN, now + secs(6.0)) - 10_000.0).abs() < 1.0, "{pool:?}");
    assert!(!pool.has_leases(OWN, now + secs(6.0)));
    // An answer that arrives after the lease has ended adds nothing.
    let late = now + secs(7.0);
    pool.take_part(OWN, 20_000.0, late);
    pool.add_lease(OWN, lease(late), 500.0, late);
    assert!(pool.level(OWN, late) < 1.0);
}

#[test]
fn a_share_that_is_leased_out_is_empty_until_the_lease_ends() {
    let (mut pool, start) = empty();
    let now = start + secs(2.0);
    let tokens = pool.grant(OWN, now + secs(4.0), now).expect("a lease");
    assert!((tokens - 2_000.0).abs() < 1.0);
    assert!(pool.level(OWN, now + secs(3.9)) < 1.0);
    assert!((pool.level(OWN, now + secs(5.0)) - 1_000.0).abs() < 1.0);
    assert_eq!(pool.time_until(OWN, 1_000.0, now + secs(5.0)), Duration::ZERO);
}

#[test]
fn the_retry_time_counts_the_rest_of_the_lease() {
    let (mut pool, now) = empty();
    pool.grant(OWN, now + secs(4.0), now);
    assert_eq!(pool.time_until(OWN, 1_000.0, now + secs(1.0)), secs(4.0));
}

// Two routers that each take the other for the coordinator would lease their shares in a circle.
#[rstest]
#[case::with_leases(true)]
#[case::with_promises(false)]
fn a_coordinator_does_not_lease_out_its_share(#[case] leases: bool) {
    let (mut pool, now) = empty();
    if leases {
        pool.add_lease(OWN, lease(now + secs(4.0)), 0.0, now);
    } else {
        pool.claim(OWN, claim(1), now);
    }
    assert_eq!(pool.grant(OWN, now + secs(4.0), now), None);
}

// The process before may have leased out the share up to the moment of the restart.
#[test]
fn a_restarted_router_does_not_use_its_share_while_it_may_be_leased_out() {
    let now = Moment::now();
    let mut pool = Pool::of_restarted(now, now);
    assert!(pool.level(OWN, now + LEASE_TIME) < 1.0);
    assert!((pool.level(OWN, now + LEASE_TIME + secs(1.0)) - 1_000.0).abs() < 1.0);
}

#[test]
fn leases_are_renewed_until_no_request_has_needed_them_for_a_while() {
    let (mut pool, now) = empty();
    assert!(!pool.start_gathering(false, now));
    assert!(pool.start_gathering(true, now));
    assert!(!pool.start_gathering(true, now + secs(1.0)));
    assert!(pool.start_gathering(false, now + RENEW_INTERVAL));
    assert!(!pool.start_gathering(false, now + secs(60.0)));
}

// Routers without queues use the same code, and must decide as a plain bucket does.
#[test]
fn without_promises_and_leases_a_pool_is_a_bucket() {
    let (mut pool, start) = empty();
    let mut bucket = Bucket::new(start);
    let share = OWN.total;
    for step in 1..50_u32 {
        let now = start + secs(0.3) * step;
        let want = f64::from(step * 37 % 900);
        let (taken, plain) = (pool.take_part(OWN, want, now), bucket.take(share, want, now));
        assert_eq!(taken, plain);
        if step % 3 == 0 {
            pool.refund(OWN, taken, now);
            bucket.refund(share, plain, now);
        }
        let idle = secs(f64::from(step % 2) * 2.0);
        let most = lendable(bucket.level(share, now), idle).min(200.0);
        assert_eq!(pool.lend(OWN, 200.0, idle, now), bucket.take(share, most, now).tokens);
        assert_eq!(pool.time_until(OWN, 800.0, now), bucket.time_until(share, 800.0, now));
    }
}
