use std::collections::BTreeMap;
use std::time::Duration;

use policy::{ClosingDemand, ReplicaTarget};
use tokio::time::{Instant, advance};
use tree::Leaf;

use super::Forecasts;
use crate::demand::RequestCounts;
use crate::sample::leaf;

fn target(forecasts: &mut Forecasts, leaf: &Leaf, granted: u32) -> ReplicaTarget {
    forecasts.target(leaf, granted, &ClosingDemand::default(), Instant::now())
}

/// Records the same numbers of requests and refusals every second for `seconds`.
async fn record_seconds(
    forecasts: &mut Forecasts,
    leaf: &Leaf,
    seconds: u64,
    requests: u64,
    refused: u64,
) {
    for _ in 0..seconds {
        advance(Duration::from_secs(1)).await;
        let counts = BTreeMap::from([(leaf.model.clone(), RequestCounts { requests, refused })]);
        forecasts.record(&counts, Instant::now());
    }
}

#[tokio::test(start_paused = true)]
async fn the_target_rises_with_demand_at_once_and_falls_slowly() {
    let (mut forecasts, leaf) = (Forecasts::default(), leaf("m", 1, 4));
    assert_eq!(target(&mut forecasts, &leaf, 1).replicas, 1);
    record_seconds(&mut forecasts, &leaf, 120, 4, 0).await;
    assert_eq!(target(&mut forecasts, &leaf, 1), ReplicaTarget { replicas: 3, reason: "demand" });
    record_seconds(&mut forecasts, &leaf, 500, 0, 0).await;
    let found = target(&mut forecasts, &leaf, 3);
    assert_eq!(found, ReplicaTarget { replicas: 3, reason: "demand was higher lately" });
    record_seconds(&mut forecasts, &leaf, 101, 0, 0).await;
    assert_eq!(target(&mut forecasts, &leaf, 3).replicas, 1);
}

#[tokio::test(start_paused = true)]
async fn refused_requests_add_one_replica_at_a_time() {
    let (mut forecasts, leaf) = (Forecasts::default(), leaf("m", 1, 4));
    target(&mut forecasts, &leaf, 1);
    record_seconds(&mut forecasts, &leaf, 2, 0, 1).await;
    assert_eq!(target(&mut forecasts, &leaf, 1).replicas, 2);
    record_seconds(&mut forecasts, &leaf, 1, 0, 1).await;
    assert_eq!(target(&mut forecasts, &leaf, 2).replicas, 2);
    record_seconds(&mut forecasts, &leaf, 4, 0, 0).await;
    assert_eq!(target(&mut forecasts, &leaf, 2).replicas, 3);
    record_seconds(&mut forecasts, &leaf, 30, 0, 0).await;
    assert_eq!(target(&mut forecasts, &leaf, 3).replicas, 3);
}

#[tokio::test(start_paused = true)]
async fn grants_of_an_earlier_planner_are_kept_for_a_while() {
    let (mut forecasts, leaf) = (Forecasts::default(), leaf("m", 1, 4));
    assert_eq!(target(&mut forecasts, &leaf, 4).replicas, 4);
    record_seconds(&mut forecasts, &leaf, 601, 0, 0).await;
    assert_eq!(target(&mut forecasts, &leaf, 4).replicas, 1);
}
