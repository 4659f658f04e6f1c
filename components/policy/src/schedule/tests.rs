use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use proptest::prelude::{Strategy, any, prop};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use units::{Rate, ReplicaIndex, Size};

use super::{Load, Slot, Store, fetch, schedule};

const STORE: Store = Store {
    rate: Rate(7.0),
    lanes: 4,
    speed: Size::gib(1),
    fixed: Duration::from_secs(5),
    slack: 1.0,
};

fn opening(seconds: i64) -> Timestamp {
    Timestamp::from_second(1_800_000_000 + seconds).expect("a time")
}

fn load(number: usize, endpoint: usize, gib: u64, opens: i64) -> Load {
    Load {
        model: format!("m{number}").parse().expect("a model"),
        index: ReplicaIndex(0),
        endpoint: format!("engine-{endpoint}").parse().expect("an endpoint"),
        weights: Size::gib(gib),
        opens: opening(opens),
    }
}

fn lead(slot: &Slot, opens: i64) -> i64 {
    opening(opens).duration_since(slot.starts).as_secs()
}

#[test]
fn can_start_a_single_load_as_late_as_possible() {
    let slots = schedule(vec![load(1, 1, 8, 0)], &STORE);
    assert_eq!(lead(&slots[0], 0), 13);
    let cached = schedule(vec![load(1, 1, 0, 0)], &STORE);
    assert_eq!(lead(&cached[0], 0), 5);
}

#[test]
fn can_spread_loads_over_the_lanes_of_the_store() {
    let slots = schedule((0..40).map(|i| load(i, i, 8, 0)).collect(), &STORE);
    let first = lead(&slots[0], 0);
    assert!((85..=87).contains(&first), "ten loads of 8 s on each of 4 lanes, {first}");
}

#[test]
fn can_compute_the_same_whatever_the_order() {
    let mut loads: Vec<Load> = (0..40).map(|i| load(i, i % 12, 8, 0)).collect();
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
fn can_always_be_done_in_time_within_lanes_rate_and_endpoints() {
    let one = (0..12_usize, 0..20_u64, 0..3_i64).prop_map(|(e, gib, o)| (e, gib, o * 60));
    let plans = (prop::collection::vec(one, 1..60), any::<bool>());
    let outcome = runner().run(&plans, |(plan, fast)| {
        let store = Store { rate: Rate(if fast { 7.0 } else { 0.5 }), ..STORE };
        let loads: Vec<Load> =
            plan.iter().enumerate().map(|(i, (e, gib, o))| load(i, *e, *gib, *o)).collect();
        check(&loads, &schedule(loads.clone(), &store), &store);
        Ok(())
    });
    outcome.expect("no plan breaks a limit");
}

fn check(loads: &[Load], slots: &[Slot], store: &Store) {
    assert_eq!(loads.len(), slots.len());
    let mut fetches = Vec::new();
    for slot in slots {
        let load = loads.iter().find(|load| load.model == slot.model).expect("its load");
        assert!(slot.done <= load.opens);
        let whole = fetch(load, store) + SignedDuration::from_secs(5);
        assert!(slot.done.duration_since(slot.starts) >= whole);
        if load.weights > Size(0) {
            fetches.push((slot.starts, slot.starts + fetch(load, store)));
        }
    }
    for (i, (starts, _)) in fetches.iter().enumerate() {
        let others = fetches[..i].iter().filter(|(_, done)| done > starts).count();
        assert!(others < store.lanes as usize, "{others} fetches run at a start");
        let gap = i.checked_sub(1).map(|i| starts.duration_since(fetches[i].0).as_millis());
        assert!(gap.is_none_or(|gap| gap >= 142), "starts {gap:?} ms apart");
    }
    for slot in slots {
        let same = slots.iter().filter(|other| other.endpoint == slot.endpoint);
        let clash = same.filter(|other| other.starts < slot.done && slot.starts < other.done);
        assert_eq!(clash.count(), 1, "only the load itself");
    }
}
