use std::time::Duration;

use units::Size;

use super::idle_value;
use crate::{Costs, Gaps};

const COSTS: Costs = Costs { cold: Duration::from_secs(30), cold_weight: 1.0, idle_weight: 1.0 };

fn gaps(gap: u64) -> Gaps {
    let mut gaps = Gaps::default();
    (0..20).for_each(|_| gaps.add(Duration::from_secs(gap)));
    gaps
}

#[test]
fn can_value_a_replica_that_is_needed_soon() {
    let idle = Duration::from_secs(60);
    let soon = idle_value(&gaps(300), &COSTS, idle, Size::gib(8));
    let late = idle_value(&gaps(9000), &COSTS, idle, Size::gib(8));
    let unknown = idle_value(&Gaps::default(), &COSTS, idle, Size::gib(8));
    assert!(soon > unknown && unknown > late);
}

#[test]
fn can_value_a_small_replica_higher_than_a_large_one() {
    let idle = Duration::from_secs(60);
    let small = idle_value(&gaps(300), &COSTS, idle, Size::gib(4));
    assert!(small > idle_value(&gaps(300), &COSTS, idle, Size::gib(40)));
}
