//! Tests of the retry budget.

use super::*;

fn limits() -> RetryLimits {
    RetryLimits { ratio: 0.2, slack: 64.0, window: Duration::from_secs(10) }
}

/// The budget of a router that started long ago.
fn budget() -> RetryBudget {
    let started = Instant::now();
    RetryBudget::new(limits(), started - Duration::from_secs(60))
}

/// Sends one more retry if the budget allows it.
fn try_retry(budget: &mut RetryBudget, routers: Option<u32>, now: Instant) -> bool {
    let allowed = budget.try_reserve(routers, now).allowed;
    if allowed {
        budget.record_sent(now);
    }
    allowed
}

#[tokio::test(start_paused = true)]
async fn a_few_retries_are_allowed_without_any_requests() {
    let mut budget = budget();
    let now = Instant::now();
    assert!(try_retry(&mut budget, None, now));
    assert!(try_retry(&mut budget, None, now));
    assert!(!try_retry(&mut budget, None, now));
}

#[tokio::test(start_paused = true)]
async fn the_fixed_part_is_shared_by_the_routers_that_are_heard() {
    for (routers, min_spent) in [(4_u32, 28), (25, 25)] {
        let mut spent = 0;
        for _ in 0..routers {
            let mut budget = budget();
            while try_retry(&mut budget, Some(routers), Instant::now()) {
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
    let mut budgets: Vec<RetryBudget> = (0..routers).map(|_| budget()).collect();
    let start = Instant::now();
    let mut retries = 0_u32;
    // For twenty seconds every request fails and is retried as often as the budget allows.
    for step in 0..2_000_u32 {
        let now = start + Duration::from_millis(u64::from(step) * 10);
        for budget in &mut budgets {
            budget.record_request(now);
            while try_retry(budget, heard, now) {
                retries += 1;
            }
        }
    }
    let requests = 2_000 * routers;
    assert!(f64::from(retries) <= f64::from(requests as u32) * 0.2 + 2.0 * 64.0, "{retries}");
}

#[tokio::test(start_paused = true)]
async fn retries_are_allowed_again_after_the_window_has_passed() {
    let mut budget = budget();
    let now = Instant::now();
    while try_retry(&mut budget, None, now) {}
    assert!(try_retry(&mut budget, None, now + Duration::from_secs(11)));
}

#[tokio::test(start_paused = true)]
async fn reserved_retries_count_until_they_are_sent_or_given_back() {
    let (mut budget, now) = (budget(), Instant::now());
    let later = now + Duration::from_secs(11);
    while budget.try_reserve(None, now).allowed {}
    assert!(!budget.try_reserve(None, later).allowed);
    budget.cancel();
    assert!(budget.try_reserve(None, later).allowed);
    // What is sent later counts from then on.
    budget.record_sent(later);
    assert!(!budget.try_reserve(None, later + Duration::from_secs(9)).allowed);
}

#[tokio::test(start_paused = true)]
async fn a_router_that_has_just_started_spends_a_part_of_the_budget() {
    let now = Instant::now();
    let spent = |started| {
        let mut budget = RetryBudget::new(limits(), started);
        (0..2_000).for_each(|_| budget.record_request(now));
        (0..2_000).filter(|_| try_retry(&mut budget, Some(1), now)).count()
    };
    let (new, old) = (spent(now), spent(now - Duration::from_secs(60)));
    assert!(new > 0 && new * 4 < old * 3, "{new} and {old}");
}
