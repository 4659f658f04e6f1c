//! Tests of the estimated prompt backlog of an endpoint.

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[tokio::test(start_paused = true)]
async fn a_burst_counts_for_the_other_routers_too() {
    let mut backlog = PromptBacklog::default();
    for _ in 0..10 {
        backlog.add(ms(20), Instant::now());
    }
    let total = backlog.total(4, Instant::now());
    assert!(total >= ms(390) && total <= ms(410), "{total:?}");
    assert_eq!(backlog.total(1, Instant::now()), ms(200));
}

/// Prompts may be stated as long as numbers go, and so may the number of routers be.
#[tokio::test(start_paused = true)]
async fn a_backlog_of_any_size_is_a_time_that_others_can_be_added_to() {
    let mut backlog = PromptBacklog::default();
    for _ in 0..10_000 {
        backlog.add(Duration::from_secs(u64::from(u32::MAX)), Instant::now());
    }
    let total = backlog.total(u32::MAX, Instant::now());
    assert!(total >= Duration::from_secs(3_600) && total + total < Duration::MAX, "{total:?}");
}

#[tokio::test(start_paused = true)]
async fn an_older_backlog_counts_fully_for_each_router_and_decays_after_it_is_processed() {
    let mut backlog = PromptBacklog::default();
    backlog.add(ms(30), Instant::now());
    tokio::time::advance(ms(2_000)).await;
    let total = backlog.total(4, Instant::now());
    assert!(total > ms(115) && total <= ms(120), "{total:?}");
    backlog.remove(ms(30), Instant::now());
    tokio::time::advance(ms(1_500)).await;
    assert!(backlog.total(4, Instant::now()) < ms(1));
}
