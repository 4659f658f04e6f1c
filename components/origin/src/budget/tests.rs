use super::*;

#[test]
fn many_streams_at_a_router_are_told_to_one_keeper_each() {
    let start = Instant::now();
    let mut budget = TellBudget::new(start);
    let mut counts = [0; TOLD_KEEPERS + 1];
    for number in 0..4_000 {
        counts[budget.keepers(start + Duration::from_millis(250 * number))] += 1;
    }
    let second = 1_000 * SECOND_KEEPERS_PER_SECOND + MAX_BURST;
    assert!((second - 2..=second).contains(&counts[2]), "{counts:?}");
    assert_eq!(counts[0], 0);
    assert_eq!(budget.keepers(start + Duration::from_secs(2_000)), TOLD_KEEPERS);
}
