//! Tests of the forecast of when a load from the weight store can begin.

use rstest::rstest;

use super::*;

const LOAD: Duration = Duration::from_secs(10);

fn seconds(times: &[u64]) -> Vec<Duration> {
    times.iter().copied().map(Duration::from_secs).collect()
}

/// Guards against requests that are held although every permit is taken for longer than they can wait.
#[rstest]
#[case::idle(&[], 2, 0, 0)]
#[case::one_free(&[8], 2, 0, 0)]
#[case::all_taken(&[8, 5], 2, 0, 5)]
#[case::one_ahead(&[8, 5], 2, 1, 8)]
#[case::two_ahead(&[8, 5], 2, 2, 15)]
#[case::ahead_of_a_free_permit(&[8], 2, 1, 8)]
#[case::more_than_at_full_speed(&[3, 8, 5], 2, 0, 5)]
#[case::unknown_limit(&[], 0, 1, 10)]
fn a_load_begins_when_a_permit_is_left(
    #[case] running: &[u64],
    #[case] limit: usize,
    #[case] ahead: usize,
    #[case] expected_s: u64,
) {
    let wait = permit_wait(&seconds(running), limit, ahead, LOAD);
    assert_eq!(wait, Duration::from_secs(expected_s));
}

/// Guards against callers that are told to wait for a load that can't end before their deadline: of 40 models that are asked
/// for at once, with a store that serves two loads of 10 s, only those of the first two can be served within 16 s.
#[test]
fn of_forty_models_at_once_only_the_first_loads_are_in_time() {
    let deadline = Duration::from_secs(16);
    let in_time = (0..40).filter(|ahead| permit_wait(&[], 2, *ahead, LOAD) + LOAD <= deadline);
    assert_eq!(in_time.count(), 2);
}
