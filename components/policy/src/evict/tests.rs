use std::time::Duration;

use units::Size;

use super::eviction_cost;
use crate::{Costs, Gaps};

const COSTS: Costs =
    Costs { cold_start: Duration::from_secs(30), cold_start_weight: 1.0, idle_weight: 1.0 };

fn gaps(gap: u64) -> Gaps {
    let mut gaps = Gaps::default();
    (0..20).for_each(|_| gaps.add(Duration::from_secs(gap)));
    gaps
}

#[test]
fn evicting_a_replica_that_is_needed_soon_costs_more() {
    let idle = Duration::from_secs(60);
    let soon = eviction_cost(&gaps(300), &COSTS, idle, Size::gib(8));
    let late = eviction_cost(&gaps(9000), &COSTS, idle, Size::gib(8));
    let unknown = eviction_cost(&Gaps::default(), &COSTS, idle, Size::gib(8));
    assert!(soon > unknown && unknown > late);
}

#[test]
fn evicting_a_small_replica_costs_more_per_gib_than_a_large_one() {
    let idle = Duration::from_secs(60);
    let small = eviction_cost(&gaps(300), &COSTS, idle, Size::gib(4));
    assert!(small > eviction_cost(&gaps(300), &COSTS, idle, Size::gib(40)));
}
