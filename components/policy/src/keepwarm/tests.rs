use std::time::Duration;

use rstest::rstest;

use super::{Costs, KeepWarm};
use crate::Gaps;

const MAX_KEEP_TIME: Duration = Duration::from_secs(3600);
/// A cold start of half a minute at weight 4 costs as much as two idle minutes.
const COSTS: Costs =
    Costs { cold_start: Duration::from_secs(30), cold_start_weight: 4.0, idle_weight: 1.0 };

fn gaps(all: &[(u64, usize)]) -> Gaps {
    let mut gaps = Gaps::default();
    for (gap, count) in all {
        (0..*count).for_each(|_| gaps.add(Duration::from_secs(*gap)));
    }
    gaps
}

#[rstest]
#[case::fixed(KeepWarm::Fixed(Duration::from_secs(300)), 300)]
#[case::even(KeepWarm::BreakEven, 120)]
#[case::histogram_with_no_history(KeepWarm::Histogram, 120)]
#[case::cheapest_with_no_history(KeepWarm::Cheapest, 120)]
fn without_history_the_keep_time_is_fixed_or_break_even(
    #[case] policy: KeepWarm,
    #[case] seconds: u64,
) {
    assert_eq!(
        policy.keep_time(&Gaps::default(), &COSTS, MAX_KEEP_TIME),
        Duration::from_secs(seconds)
    );
}

#[test]
fn the_cheapest_policy_keeps_replicas_only_through_gaps_that_are_worth_it() {
    let bursty = gaps(&[(2, 90), (7000, 10)]);
    let keep = KeepWarm::Cheapest.keep_time(&bursty, &COSTS, MAX_KEEP_TIME);
    assert!((2..=3).contains(&keep.as_secs()), "{keep:?}");
    let steady = gaps(&[(100, 50)]);
    let keep = KeepWarm::Cheapest.keep_time(&steady, &COSTS, MAX_KEEP_TIME);
    assert!((100..=130).contains(&keep.as_secs()), "{keep:?}");
    let rare = gaps(&[(7000, 50)]);
    assert_eq!(KeepWarm::Cheapest.keep_time(&rare, &COSTS, MAX_KEEP_TIME), Duration::ZERO);
}

#[test]
fn the_keep_time_is_within_the_operators_limit() {
    let rare = gaps(&[(7000, 50)]);
    let limit = Duration::from_secs(60);
    assert_eq!(KeepWarm::Histogram.keep_time(&rare, &COSTS, limit), limit);
    let free = Costs { idle_weight: 0.0, ..COSTS };
    assert_eq!(KeepWarm::BreakEven.keep_time(&rare, &free, limit), limit);
}
