//! Tests of what is known of others' prompts.

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[tokio::test(start_paused = true)]
async fn a_burst_counts_for_the_other_routers_too() {
    let mut ahead = PromptBacklog::default();
    for _ in 0..10 {
        ahead.add(ms(20), Instant::now());
    }
    let all = ahead.total(4, Instant::now());
    assert!(all >= ms(390) && all <= ms(410), "{all:?}");
    assert_eq!(ahead.total(1, Instant::now()), ms(200));
}

#[tokio::test(start_paused = true)]
async fn what_was_there_for_a_while_counts_whole_for_each_router_and_is_forgotten_soon() {
    let mut ahead = PromptBacklog::default();
    ahead.add(ms(30), Instant::now());
    tokio::time::advance(ms(2_000)).await;
    let all = ahead.total(4, Instant::now());
    assert!(all > ms(115) && all <= ms(120), "{all:?}");
    ahead.remove(ms(30), Instant::now());
    tokio::time::advance(ms(1_500)).await;
    assert!(ahead.total(4, Instant::now()) < ms(1));
}
