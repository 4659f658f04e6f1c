//! Tests of how often loaders are polled.

use super::*;
use crate::endpoint::OpenLoads;

#[test]
fn all_loaders_together_are_polled_a_bounded_number_of_times_a_second() {
    assert_eq!(poll_wait(0), MIN_POLL_WAIT);
    assert_eq!(poll_wait(38), MIN_POLL_WAIT);
    assert_eq!(poll_wait(200), Duration::from_secs(5));
    assert_eq!(poll_wait(2_600), MAX_POLL_WAIT);
}

#[test]
fn first_polls_of_many_loaders_are_spread_and_those_of_few_are_sent_at_once() {
    assert_eq!(max_first_delay(0), Duration::ZERO);
    assert_eq!(max_first_delay(40), Duration::ZERO);
    assert_eq!(max_first_delay(2_600), Duration::from_millis(2_250));
}

/// A load for requests that another version could serve would go behind those of other models, though streams of this version have
/// come to wait for it.
#[test]
fn a_loader_is_asked_again_once_only_its_version_may_serve_requests() {
    let mut loads = OpenLoads { open: 1, waiting: 2, ..OpenLoads::default() };
    assert!(loads.covers(3, false) && !loads.covers(3, true));
    loads.bound = true;
    assert!(loads.covers(3, true) && !loads.covers(4, true));
    loads.open = 0;
    assert!(!loads.covers(1, false));
}
