//! Tests of the repeat budget.

use super::*;

fn limits() -> RetryLimits {
    RetryLimits { ratio: 0.2, slack: 64.0, window: Duration::from_secs(10) }
}

#[tokio::test(start_paused = true)]
async fn can_repeat_a_few_without_any_requests() {
    let mut repeats = RetryBudget::new(limits());
    let now = Instant::now();
    assert!(repeats.try_retry(None, now).allowed);
    assert!(repeats.try_retry(None, now).allowed);
    assert!(!repeats.try_retry(None, now).allowed);
}

#[tokio::test(start_paused = true)]
async fn the_fixed_part_is_shared_by_the_routers_that_are_heard() {
    for (routers, least) in [(4_u32, 28), (25, 25)] {
        let mut spent = 0;
        for _ in 0..routers {
            let mut repeats = RetryBudget::new(limits());
            while repeats.try_retry(Some(routers), Instant::now()).allowed {
                spent += 1;
            }
        }
        assert!((least..=64).contains(&spent), "{spent} of {routers} routers");
    }
}

#[rstest::rstest]
#[case::unknown(None)]
#[case::heard(Some(25))]
#[tokio::test(start_paused = true)]
async fn all_routers_together_stay_within_the_limits(#[case] heard: Option<u32>) {
    let routers = 25;
    let mut all: Vec<RetryBudget> = (0..routers).map(|_| RetryBudget::new(limits())).collect();
    let start = Instant::now();
    let mut repeats = 0_u32;
    // Twenty seconds of a rush in which every request fails and is repeated as often as the budget lets it.
    for step in 0..2_000_u32 {
        let now = start + Duration::from_millis(u64::from(step) * 10);
        for one in &mut all {
            one.record_request(now);
            while one.try_retry(heard, now).allowed {
                repeats += 1;
            }
        }
    }
    let requests = 2_000 * routers;
    assert!(f64::from(repeats) <= f64::from(requests as u32) * 0.2 + 2.0 * 64.0, "{repeats}");
}

#[tokio::test(start_paused = true)]
async fn a_window_that_has_passed_gives_room_again() {
    let mut repeats = RetryBudget::new(limits());
    let now = Instant::now();
    while repeats.try_retry(None, now).allowed {}
    assert!(repeats.try_retry(None, now + Duration::from_secs(11)).allowed);
}
