//! Tests of how often a waiting request searches for an endpoint.

use rstest::rstest;

use super::*;

/// Searches of a request that waits for `waited` while something changes each millisecond.
fn searches(waited: Duration) -> u32 {
    let (mut now, mut count) = (Duration::ZERO, 0);
    while now < waited {
        count += 1;
        now += search_pause(now).unwrap_or(Duration::from_millis(1));
    }
    count
}

/// A router with 314 models for 171 places spent most of its time in the searches of requests that waited for models, each at every
/// change.
#[rstest]
#[case::for_a_probe(5, 5)]
#[case::for_a_load_from_disk(400, 60)]
#[case::for_a_load_from_the_weight_store(10_000, 260)]
fn a_waiting_request_searches_a_bounded_number_of_times(#[case] millis: u64, #[case] most: u32) {
    let count = searches(Duration::from_millis(millis));
    assert!(count <= most, "{count} searches in {millis} ms");
}

#[rstest]
#[case(4)]
#[case(100)]
#[case(400)]
#[case(10_000)]
fn a_request_waits_an_eighth_longer_at_most_than_without_pauses(#[case] millis: u64) {
    let waited = Duration::from_millis(millis);
    let pause = search_pause(waited).unwrap_or_default();
    assert!(pause <= (waited / 8).min(Duration::from_millis(50)));
}
