use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use proptest::prelude::{Strategy, any, prop};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use units::{Rate, ReplicaIndex, Size};

use super::{LoadSlot, StoreCapacity, WindowLoad, schedule, transfer_time};

const STORE: StoreCapacity = StoreCapacity {
    start_rate: Rate(7.0),
    concurrent_loads: 4,
    load_rate: Size::gib(1),
    fixed_time: Duration::from_secs(5),
    slack: 1.0,
};

fn opening(seconds: i64) -> Timestamp {
    Timestamp::from_second(1_800_000_000 + seconds).expect("a time")
}

fn load(number: usize, endpoint: usize, gib: u64, opens: i64) -> WindowLoad {
    WindowLoad {
        model: format!("m{number}").parse().expect("a model"),
        index: ReplicaIndex(0),
        endpoint: format!("engine-{endpoint}").parse().expect("an endpoint"),
        weights: Size::gib(gib),
        opens: opening(opens),
    }
}

fn lead_secs(slot: &LoadSlot, opens: i64) -> i64 {
    opening(opens).duration_since(slot.starts).as_secs()
}

#[test]
fn a_single_load_starts_as_late_as_possible() {
    let slots = schedule(vec![load(1, 1, 8, 0)], &STORE);
    assert_eq!(lead_secs(&slots[0], 0), 13);
    let cached = schedule(vec![load(1, 1, 0, 0)], &STORE);
    assert_eq!(lead_secs(&cached[0], 0), 5);
}

#[test]
fn loads_are_spread_over_the_concurrent_loads_of_the_store() {
    let slots = schedule((0..40).map(|i| load(i, i, 8, 0)).collect(), &STORE);
    let first = lead_secs(&slots[0], 0);
    assert!((85..=87).contains(&first), "ten loads of 8 s on each of 4 permits, {first}");
}

#[test]
fn the_schedule_does_not_depend_on_the_order_of_the_loads() {
    let mut loads: Vec<WindowLoad> = (0..40).map(|i| load(i, i % 12, 8, 0)).collect();
    let first = schedule(loads.clone(), &STORE);
    loads.reverse();
    assert_eq!(schedule(loads, &STORE), first);
}

fn runner() -> TestRunner {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn every_schedule_keeps_the_deadlines_and_the_limits_of_store_and_endpoints() {
    let load_values = (0..12_usize, 0..20_u64, 0..3_i64).prop_map(|(e, gib, o)| (e, gib, o * 60));
    let plans = (prop::collection::vec(load_values, 1..60), any::<bool>());
    let outcome = runner().run(&plans, |(plan, fast)| {
        let store = StoreCapacity { start_rate: Rate(if fast { 7.0 } else { 0.5 }), ..STORE };
        let loads: Vec<WindowLoad> =
            plan.iter().enumerate().map(|(i, (e, gib, o))| load(i, *e, *gib, *o)).collect();
        check(&loads, &schedule(loads.clone(), &store), &store);
        Ok(())
    });
    outcome.expect("no plan breaks a limit");
}

fn check(loads: &[WindowLoad], slots: &[LoadSlot], store: &StoreCapacity) {
    assert_eq!(loads.len(), slots.len());
    let mut transfers = Vec::new();
    for slot in slots {
        let load = loads.iter().find(|load| load.model == slot.model).expect("its load");
        assert!(slot.done <= load.opens);
        let whole = transfer_time(load, store) + SignedDuration::from_secs(5);
        assert!(slot.done.duration_since(slot.starts) >= whole);
        if load.weights > Size(0) {
            transfers.push((slot.starts, slot.starts + transfer_time(load, store)));
        }
    }
    for (i, (starts, _)) in transfers.iter().enumerate() {
        let others = transfers[..i].iter().filter(|(_, done)| done > starts).count();
        assert!(
            others < store.concurrent_loads as usize,
            "{others} other transfers run at a start"
        );
        let gap = i.checked_sub(1).map(|i| starts.duration_since(transfers[i].0).as_millis());
        assert!(gap.is_none_or(|gap| gap >= 142), "starts {gap:?} ms apart");
    }
    for slot in slots {
        let same = slots.iter().filter(|other| other.endpoint == slot.endpoint);
        let overlapping = same.filter(|other| other.starts < slot.done && slot.starts < other.done);
        assert_eq!(overlapping.count(), 1, "another load of the endpoint overlaps");
    }
}
