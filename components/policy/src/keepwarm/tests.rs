use std::time::Duration;

use rstest::rstest;

use super::{Costs, KeepWarm};
use crate::Gaps;

const MOST: Duration = Duration::from_secs(3600);
/// Half a minute of cold start at weight 4 costs as much as two idle minutes.
const COSTS: Costs = Costs { cold: Duration::from_secs(30), cold_weight: 4.0, idle_weight: 1.0 };

fn gaps(all: &[(u64, usize)]) -> Gaps {
    let mut gaps = Gaps::default();
    for (gap, count) in all {
        (0..*count).for_each(|_| gaps.add(Duration::from_secs(*gap)));
    }
    gaps
}

#[rstest]
#[case::fixed(KeepWarm::Fixed(Duration::from_secs(300)), 300)]
#[case::even(KeepWarm::Even, 120)]
#[case::histogram_with_no_history(KeepWarm::Histogram, 120)]
#[case::cheapest_with_no_history(KeepWarm::Cheapest, 120)]
fn can_choose_without_history(#[case] policy: KeepWarm, #[case] seconds: u64) {
    assert_eq!(policy.stay(&Gaps::default(), &COSTS, MOST), Duration::from_secs(seconds));
}

#[test]
fn can_stay_for_gaps_that_are_worth_it_and_leave_at_once_for_others() {
    let bursty = gaps(&[(2, 90), (7000, 10)]);
    let stay = KeepWarm::Cheapest.stay(&bursty, &COSTS, MOST);
    assert!((2..=3).contains(&stay.as_secs()), "{stay:?}");
    let steady = gaps(&[(100, 50)]);
    let stay = KeepWarm::Cheapest.stay(&steady, &COSTS, MOST);
    assert!((100..=130).contains(&stay.as_secs()), "{stay:?}");
    let rare = gaps(&[(7000, 50)]);
    assert_eq!(KeepWarm::Cheapest.stay(&rare, &COSTS, MOST), Duration::ZERO);
}

#[test]
fn can_keep_within_the_operators_limit() {
    let rare = gaps(&[(7000, 50)]);
    let limit = Duration::from_secs(60);
    assert_eq!(KeepWarm::Histogram.stay(&rare, &COSTS, limit), limit);
    let free = Costs { idle_weight: 0.0, ..COSTS };
    assert_eq!(KeepWarm::Even.stay(&rare, &free, limit), limit);
}
