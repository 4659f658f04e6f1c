use super::*;

fn spend_all(budget: &RetryBudget) -> u64 {
    (0..).take_while(|_| budget.retry()).count() as u64
}

#[test]
fn can_retry_as_a_share_of_first_attempts() {
    let budget = RetryBudget::default();
    assert_eq!(spend_all(&budget), MOST / RETRY);
    for _ in 0..100 {
        budget.first();
    }
    assert_eq!(spend_all(&budget), 100 * SHARE / RETRY);
}

#[test]
fn can_save_up_only_so_much() {
    let budget = RetryBudget::default();
    for _ in 0..100_000 {
        budget.first();
    }
    assert_eq!(spend_all(&budget), MOST / RETRY);
}
