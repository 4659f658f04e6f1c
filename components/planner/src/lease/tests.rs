use std::time::Duration;

use state::Lease;
use tokio::time::{Instant, advance};
use units::{Epoch, InstanceId, Offset};

use super::{LeaseWatch, jitter};

const LEASE: Duration = Duration::from_secs(5);

fn lease(renewed: u64) -> Lease {
    let holder = Some("entry-1".parse().expect("an instance"));
    Lease { epoch: Epoch(3), holder, renewed: Offset(renewed) }
}

fn is_lapsed(watch: &LeaseWatch) -> bool {
    watch.lapses_in(LEASE, Duration::ZERO, Instant::now()).is_zero()
}

#[tokio::test(start_paused = true)]
async fn a_lease_without_renewals_lapses() {
    let mut watch = LeaseWatch::new(&lease(3), Instant::now());
    advance(LEASE / 2).await;
    watch.observe(&lease(7), true, Instant::now());
    advance(LEASE - Duration::from_millis(1)).await;
    watch.observe(&lease(7), true, Instant::now());
    assert!(!is_lapsed(&watch));
    advance(Duration::from_millis(1)).await;
    assert!(is_lapsed(&watch));
}

#[tokio::test(start_paused = true)]
async fn a_lease_lapses_only_a_full_duration_after_an_outage() {
    let mut watch = LeaseWatch::new(&lease(3), Instant::now());
    advance(LEASE / 2).await;
    watch.observe(&lease(3), false, Instant::now());
    advance(LEASE * 10).await;
    watch.observe(&lease(3), false, Instant::now());
    watch.observe(&lease(3), true, Instant::now());
    assert!(!is_lapsed(&watch));
    advance(LEASE).await;
    assert!(is_lapsed(&watch));
}

#[tokio::test(start_paused = true)]
async fn a_lease_that_was_given_up_can_be_claimed_after_the_jitter() {
    let mut watch = LeaseWatch::new(&lease(3), Instant::now());
    watch.observe(&Lease { holder: None, ..lease(3) }, true, Instant::now());
    assert!(is_lapsed(&watch));
    assert_eq!(
        watch.lapses_in(LEASE, Duration::from_millis(1), Instant::now()),
        Duration::from_millis(1)
    );
}

#[test]
fn the_jitter_differs_between_processes_and_epochs() {
    let names: Vec<InstanceId> =
        (1..=4).map(|i| format!("entry-{i}").parse().expect("an instance")).collect();
    let mut waits: Vec<Duration> = names.iter().map(|name| jitter(name, Epoch(7), LEASE)).collect();
    assert!(waits.iter().all(|wait| *wait < LEASE / 2));
    waits.sort();
    waits.dedup();
    assert_eq!(waits.len(), 4);
    assert_ne!(jitter(&names[0], Epoch(7), LEASE), jitter(&names[0], Epoch(8), LEASE));
}
