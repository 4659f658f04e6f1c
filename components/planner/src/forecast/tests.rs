use std::collections::BTreeMap;
use std::time::Duration;

use policy::{Closing, Wanted};
use tokio::time::{Instant, advance};
use tree::Leaf;

use super::Forecasts;
use crate::demand::Tally;
use crate::sample::leaf;

fn size(forecasts: &mut Forecasts, leaf: &Leaf, granted: u32) -> Wanted {
    forecasts.size(leaf, granted, &Closing::default(), Instant::now())
}

/// Requests and refusals each second for some seconds.
async fn pass(forecasts: &mut Forecasts, leaf: &Leaf, seconds: u64, requests: u64, refused: u64) {
    for _ in 0..seconds {
        advance(Duration::from_secs(1)).await;
        let tallies = BTreeMap::from([(leaf.model.clone(), Tally { requests, refused })]);
        forecasts.note(&tallies, Instant::now());
    }
}

#[tokio::test(start_paused = true)]
async fn can_follow_demand_up_at_once_and_down_slowly() {
    let (mut forecasts, leaf) = (Forecasts::default(), leaf("m", 1, 4));
    assert_eq!(size(&mut forecasts, &leaf, 1).replicas, 1);
    pass(&mut forecasts, &leaf, 120, 4, 0).await;
    assert_eq!(size(&mut forecasts, &leaf, 1), Wanted { replicas: 3, reason: "demand" });
    pass(&mut forecasts, &leaf, 500, 0, 0).await;
    let wanted = size(&mut forecasts, &leaf, 3);
    assert_eq!(wanted, Wanted { replicas: 3, reason: "demand was higher lately" });
    pass(&mut forecasts, &leaf, 101, 0, 0).await;
    assert_eq!(size(&mut forecasts, &leaf, 3).replicas, 1);
}

#[tokio::test(start_paused = true)]
async fn can_add_one_replica_at_a_time_while_requests_are_refused() {
    let (mut forecasts, leaf) = (Forecasts::default(), leaf("m", 1, 4));
    size(&mut forecasts, &leaf, 1);
    pass(&mut forecasts, &leaf, 2, 0, 1).await;
    assert_eq!(size(&mut forecasts, &leaf, 1).replicas, 2);
    pass(&mut forecasts, &leaf, 1, 0, 1).await;
    assert_eq!(size(&mut forecasts, &leaf, 2).replicas, 2);
    pass(&mut forecasts, &leaf, 4, 0, 0).await;
    assert_eq!(size(&mut forecasts, &leaf, 2).replicas, 3);
    pass(&mut forecasts, &leaf, 30, 0, 0).await;
    assert_eq!(size(&mut forecasts, &leaf, 3).replicas, 3);
}

#[tokio::test(start_paused = true)]
async fn can_keep_what_an_earlier_planner_granted_for_a_while() {
    let (mut forecasts, leaf) = (Forecasts::default(), leaf("m", 1, 4));
    assert_eq!(size(&mut forecasts, &leaf, 4).replicas, 4);
    pass(&mut forecasts, &leaf, 601, 0, 0).await;
    assert_eq!(size(&mut forecasts, &leaf, 4).replicas, 1);
}
