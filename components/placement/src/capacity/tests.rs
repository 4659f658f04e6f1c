//! Tests of the capacity of endpoints.

use rstest::rstest;

use super::*;
use crate::fixture::TestEndpoints;

/// One endpoint with 64 slots, of which `running` are taken.
fn endpoint(running: u32) -> TestEndpoints {
    let mut endpoints = TestEndpoints::new(1);
    endpoints.total_running[0] = running;
    endpoints
}

/// Guards against a wrong factor that leaves an endpoint without capacity, or gives it more than its slots.
#[rstest]
#[case::median(1.0, 64.0)]
#[case::slow(2.0, 32.0)]
#[case::fast(0.5, 64.0)]
#[case::very_slow(4.0, 16.0)]
#[case::far_too_slow(1_000.0, 16.0)]
#[case::far_too_fast(0.000_1, 64.0)]
#[case::zero(0.0, 64.0)]
#[case::negative(-1.0, 64.0)]
#[case::infinite(f64::INFINITY, 64.0)]
#[case::not_a_number(f64::NAN, 64.0)]
fn the_capacity_is_between_a_quarter_of_the_slots_and_all(
    #[case] time_factor: f64,
    #[case] expected: f64,
) {
    let endpoints = endpoint(16);
    let candidate = Candidate { time_factor, balanced: true, ..endpoints.candidates()[0] };
    assert_eq!(candidate.capacity(), expected);
    assert_eq!(candidate.capacity_share(), 16.0 / expected);
}

#[rstest]
fn where_requests_do_not_go_by_capacity_factors_have_no_effect(
    #[values(0.5, 1.0, 2.0, f64::NAN)] time_factor: f64,
) {
    let endpoints = endpoint(16);
    let candidate = Candidate { time_factor, ..endpoints.candidates()[0] };
    assert_eq!(candidate.capacity_share(), candidate.slot_share());
    let time = Duration::from_nanos(123_456_789_123);
    assert_eq!(candidate.scaled(time), time);
}

#[rstest]
#[case::within_the_target_at_the_slowest(20, 160, false)]
#[case::late_at_the_slowest(20, 159, true)]
fn a_fast_endpoint_is_needed_if_the_target_is_short(
    #[case] prefill: u64,
    #[case] target: u64,
    #[case] expected: bool,
) {
    let endpoints = TestEndpoints::new(2);
    let (prefill, target) = (Duration::from_millis(prefill), Duration::from_millis(target));
    let mut candidates = endpoints.candidates();
    assert!(!needs_fast_endpoint(&candidates, prefill, target), "speeds are not used");
    for (candidate, time_factor) in candidates.iter_mut().zip([1.0, 2.0]) {
        *candidate = Candidate { time_factor, balanced: true, ..*candidate };
    }
    assert_eq!(needs_fast_endpoint(&candidates, prefill, target), expected);
}
