//! Tests of the retry budget.

use super::*;

fn limits() -> RetryLimits {
    RetryLimits { ratio: 0.2, slack: 64.0, window: Duration::from_secs(10) }
}

#[tokio::test(start_paused = true)]
async fn a_few_retries_are_allowed_without_any_requests() {
    let mut budget = RetryBudget::new(limits());
    let now = Instant::now();
    assert!(budget.try_retry(None, now).allowed);
    assert!(budget.try_retry(None, now).allowed);
    assert!(!budget.try_retry(None, now).allowed);
}

#[tokio::test(start_paused = true)]
async fn the_fixed_part_is_shared_by_the_routers_that_are_heard() {
    for (routers, min_spent) in [(4_u32, 28), (25, 25)] {
        let mut spent = 0;
        for _ in 0..routers {
            let mut budget = RetryBudget::new(limits());
            while budget.try_retry(Some(routers), Instant::now()).allowed {
                spent += 1;
            }
        }
        assert!((min_spent..=64).contains(&spent), "{spent} of {routers} routers");
    }
}

#[rstest::rstest]
#[case::unknown(None)]
#[case::heard(Some(25))]
#[tokio::test(start_paused = true)]
async fn all_routers_together_stay_within_the_limits(#[case] heard: Option<u32>) {
    let routers = 25;
    let mut budgets: Vec<RetryBudget> = (0..routers).map(|_| RetryBudget::new(limits())).collect();
    let start = Instant::now();
    let mut retries = 0_u32;
    // For twenty seconds every request fails and is retried as often as the budget allows.
    for step in 0..2_000_u32 {
        let now = start + Duration::from_millis(u64::from(step) * 10);
        for budget in &mut budgets {
            budget.record_request(now);
            while budget.try_retry(heard, now).allowed {
                retries += 1;
            }
        }
    }
    let requests = 2_000 * routers;
    assert!(f64::from(retries) <= f64::from(requests as u32) * 0.2 + 2.0 * 64.0, "{retries}");
}

#[tokio::test(start_paused = true)]
async fn retries_are_allowed_again_after_the_window_has_passed() {
    let mut budget = RetryBudget::new(limits());
    let now = Instant::now();
    while budget.try_retry(None, now).allowed {}
    assert!(budget.try_retry(None, now + Duration::from_secs(11)).allowed);
}
