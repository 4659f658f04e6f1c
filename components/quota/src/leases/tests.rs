//! Tests of leased shares.

use super::*;

const TOTAL: BucketSpec = BucketSpec { refill_rate: 1_000.0, capacity: 2_000.0 };

fn lease(at: u8, until: Moment) -> Lease {
    Lease { owner: SocketAddr::from(([10, 0, 0, at], 8_144)), count: 10, until }
}

#[test]
fn shares_add_up_until_they_end() {
    let (mut leases, now) = (Leases::default(), Moment::now());
    let later = now + Duration::from_secs(1);
    leases.add(lease(1, later));
    leases.add(lease(2, later + Duration::from_secs(1)));
    assert!((leases.total(TOTAL, 10).refill_rate - 300.0).abs() < 1e-9);
    assert_eq!(leases.next_end(now), None);
    assert_eq!(leases.next_end(later), Some(later));
    leases.expire(later);
    assert!((leases.total(TOTAL, 10).capacity - 400.0).abs() < 1e-9);
}

// A lease that counted twice would let its router use more than the limit.
#[test]
fn a_renewed_lease_counts_once() {
    let (mut leases, now) = (Leases::default(), Moment::now());
    leases.add(lease(1, now + Duration::from_secs(1)));
    leases.add(lease(1, now + Duration::from_secs(2)));
    assert_eq!(leases.leased_count(), 1);
}

#[test]
fn a_share_that_is_leased_out_is_not_used_by_its_owner() {
    let (mut leases, now) = (Leases::default(), Moment::now());
    let until = now + Duration::from_secs(4);
    leases.grant(until);
    // An earlier end, from a request that was delayed, does not shorten the lease.
    leases.grant(now + Duration::from_secs(1));
    assert!(leases.total(TOTAL, 10).refill_rate.abs() < 1e-9);
    leases.expire(now + Duration::from_secs(3));
    assert_eq!(leases.granted(), Some(until));
    leases.expire(until);
    assert!((leases.total(TOTAL, 10).refill_rate - 100.0).abs() < 1e-9);
}

/// Guards against two users of a share: one of the routers leases it from this process, and one may from the process before.
#[test]
fn a_share_that_an_earlier_process_may_have_leased_out_is_free_once_that_is_ruled_out() {
    let (mut leases, now) = (Leases::default(), Moment::now());
    let own = |leases: &Leases| leases.total(TOTAL, 10).refill_rate;
    leases.wait_for_earlier(now + Duration::from_secs(4));
    assert!(own(&leases).abs() < 1e-9);
    leases.end_earlier(now);
    leases.expire(now);
    assert!((own(&leases) - 100.0).abs() < 1e-9);
    leases.wait_for_earlier(now + Duration::from_secs(4));
    leases.grant(now + Duration::from_secs(2));
    leases.end_earlier(now);
    leases.expire(now);
    assert!(own(&leases).abs() < 1e-9, "leased out by this process");
    leases.expire(now + Duration::from_secs(2));
    assert!((own(&leases) - 100.0).abs() < 1e-9);
}

/// Guards against a lease that goes on after its owner has restarted and uses the share itself.
#[test]
fn the_lease_of_a_restarted_owner_is_dropped() {
    let (mut leases, now) = (Leases::default(), Moment::now());
    let later = now + Duration::from_secs(4);
    leases.add(lease(1, later));
    leases.add(lease(2, later));
    leases.release(lease(1, later).owner);
    assert_eq!(leases.leased_count(), 1);
}
