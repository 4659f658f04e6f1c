//! Tests of the next order.

use std::collections::BTreeMap;

use catalog::ModelSpec;
use fleet::{Copies, Held};
use platform::{Notice, Report};

use super::*;
use crate::view::{Heard, Leaving};

fn name(text: &str) -> ModelName {
    text.parse().expect("a name")
}

fn id(text: &str) -> ModelId {
    text.parse().expect("an id")
}

/// An endpoint with room for two models and two adapters that holds these.
fn ledger(models: &[(&str, &[&str])]) -> Ledger {
    let spec = ModelSpec {
        weights: Size(40),
        adapter: Size(1),
        cold: Duration::from_secs(6),
        disk: Duration::from_millis(500),
        warm: Duration::from_millis(300),
    };
    let names = ["a", "b", "c", "d"];
    let engine = Engine {
        slots: 64,
        tokens: 1_000,
        memory: Size(90),
        adapters: 2,
        host: Size(60),
        disk: Size(500),
        rate: 7.0,
        models: names.map(|text| (name(text), spec.clone())).into(),
    };
    let held = |(model, adapters): &(&str, &[&str])| Held {
        model: name(model),
        adapters: adapters.iter().map(|text| text.parse().expect("an adapter")).collect(),
    };
    let report = Report {
        life: None,
        models: models.iter().map(held).collect(),
        incoming: Vec::new(),
        copies: Copies { memory: Vec::new(), disk: names.map(name).into() },
        busy: false,
        sequence: 1,
        running: 0,
        queued: 0,
        draining: false,
        notice: Notice::default(),
    };
    Ledger { engine: Some(engine), report: Some(report), ..Ledger::default() }
}

fn want(ledger: &mut Ledger, target: &str, waiting: u32, since: Instant) {
    let waiters = BTreeMap::from([("router".to_owned(), waiting)]);
    let want =
        Want { waiters, rates: BTreeMap::new(), due: since + DRAINED, since, replies: Vec::new() };
    ledger.wants.insert(id(target), want);
}

fn run(ledger: &mut Ledger, model: &str, count: u32, now: Instant) {
    let usage = ledger.usage.entry(name(model)).or_default();
    let heard = Heard { at: now, wait: Duration::ZERO };
    usage.running = BTreeMap::from([("router".to_owned(), (count, heard))]);
    usage.begin(count, now);
}

async fn later(span: Duration) -> Instant {
    tokio::time::advance(span).await;
    Instant::now()
}

#[tokio::test(start_paused = true)]
async fn loads_where_there_is_room() {
    let mut ledger = ledger(&[("a", &[])]);
    let now = Instant::now();
    want(&mut ledger, "b", 1, now);
    assert_eq!(next(&ledger, now), Next::Order(Work::Load, id("b")));
}

#[tokio::test(start_paused = true)]
async fn never_orders_more_than_the_memory_holds() {
    let mut ledger = ledger(&[("a", &["x", "y"]), ("b", &[])]);
    let now = Instant::now();
    want(&mut ledger, "c", 5, now);
    assert!(matches!(next(&ledger, now), Next::Drain(_)));
    ledger.report.as_mut().expect("a report").models.pop();
    assert_eq!(next(&ledger, now), Next::Order(Work::Load, id("c")));
    ledger.report.as_mut().expect("a report").busy = true;
    assert_eq!(next(&ledger, now), Next::Rest, "one order at a time");
}

#[tokio::test(start_paused = true)]
async fn a_model_drains_before_it_is_unloaded() {
    let mut ledger = ledger(&[("a", &[]), ("b", &[])]);
    let start = Instant::now();
    run(&mut ledger, "a", 1, start);
    run(&mut ledger, "b", 9, start);
    let now = later(KEEP).await;
    want(&mut ledger, "c", 1, now);
    assert_eq!(next(&ledger, now), Next::Drain(name("a")));
    ledger.leaving = Some(Leaving { model: name("a"), since: now });
    let now = later(HEARD).await;
    assert_eq!(next(&ledger, now), Next::Rest, "one request runs");
    run(&mut ledger, "a", 0, now);
    assert_eq!(next(&ledger, now), Next::Order(Work::Unload, id("a")));
}

#[tokio::test(start_paused = true)]
async fn a_drain_that_takes_too_long_ends_all_the_same() {
    let mut ledger = ledger(&[("a", &[]), ("b", &[])]);
    let start = Instant::now();
    run(&mut ledger, "a", 1, start);
    ledger.leaving = Some(Leaving { model: name("a"), since: start });
    want(&mut ledger, "c", 1, start);
    let now = later(DRAINED).await;
    assert_eq!(next(&ledger, now), Next::Order(Work::Unload, id("a")));
}

#[tokio::test(start_paused = true)]
async fn a_model_that_many_come_for_is_kept_and_the_others_are_told_to_ask_elsewhere() {
    let mut ledger = ledger(&[("a", &[]), ("b", &[])]);
    let start = Instant::now();
    run(&mut ledger, "a", 30, start);
    run(&mut ledger, "b", 30, start);
    let now = later(KEEP).await;
    want(&mut ledger, "c", 1, now);
    assert_eq!(next(&ledger, now), Next::Refuse(id("c"), AGAIN));
}

#[tokio::test(start_paused = true)]
async fn what_is_prepared_pushes_out_nothing_that_is_in_use() {
    let mut ledger = ledger(&[("a", &[]), ("b", &[])]);
    let start = Instant::now();
    run(&mut ledger, "a", 1, start);
    run(&mut ledger, "b", 1, start);
    let now = later(IDLE).await;
    run(&mut ledger, "a", 1, now);
    want(&mut ledger, "c", 0, now);
    assert_eq!(next(&ledger, now), Next::Drain(name("b")), "it ran nothing for long");
    run(&mut ledger, "b", 1, now);
    assert_eq!(next(&ledger, now), Next::Refuse(id("c"), AGAIN));
}

#[tokio::test(start_paused = true)]
async fn a_burst_goes_first_and_of_equal_ones_the_one_that_waits_longest() {
    let mut ledger = ledger(&[]);
    let start = Instant::now();
    want(&mut ledger, "c", 1, start);
    let now = later(Duration::from_millis(500)).await;
    want(&mut ledger, "a", 9, now);
    want(&mut ledger, "b", 1, now);
    assert_eq!(next(&ledger, now), Next::Order(Work::Load, id("a")));
    ledger.wants.remove(&id("a"));
    assert_eq!(next(&ledger, now), Next::Order(Work::Load, id("c")));
}

#[tokio::test(start_paused = true)]
async fn the_adapter_asked_for_longest_ago_makes_room() {
    let mut ledger = ledger(&[("a", &["x", "y"])]);
    let start = Instant::now();
    ledger.adapters.insert(id("a/x"), start);
    let now = later(KEEP).await;
    ledger.adapters.insert(id("a/y"), now);
    want(&mut ledger, "a/z", 1, now);
    assert_eq!(next(&ledger, now), Next::Order(Work::Unload, id("a/x")));
}

#[tokio::test(start_paused = true)]
async fn a_router_that_died_holds_no_model_back() {
    let mut ledger = ledger(&[("a", &[]), ("b", &[])]);
    run(&mut ledger, "a", 3, Instant::now());
    assert_eq!(ledger.running(&name("a")), 3);
    later(Duration::from_secs(4)).await;
    assert_eq!(ledger.running(&name("a")), 0);
}

#[tokio::test(start_paused = true)]
async fn nobody_needs_room_any_more() {
    let mut ledger = ledger(&[("a", &[]), ("b", &[])]);
    let now = Instant::now();
    ledger.leaving = Some(Leaving { model: name("a"), since: now });
    assert_eq!(next(&ledger, now), Next::Spare);
}

/// What the next order would take, by adding up anew all that is loaded or on its way.
fn taken_after(ledger: &Ledger, next: &Next) -> u64 {
    let report = ledger.report.as_ref().expect("a report");
    let models = report.models.len() as u64 * 40;
    let held: usize = report.models.iter().map(|held| held.adapters.len()).sum();
    let adapters = (held + report.incoming.len()) as u64;
    let more = match next {
        Next::Order(Work::Load, id) if id.adapter.is_some() => 1,
        Next::Order(Work::Load, _) => 40,
        _ => 0,
    };
    models + adapters + more
}

proptest::proptest! {
    #[test]
    fn no_order_takes_more_than_there_is(
        loaded in proptest::collection::vec((0_usize..4, 0_usize..3), 0..3),
        incoming in 0_usize..3,
        wants in proptest::collection::vec((0_usize..4, 0_usize..3, 0_u32..5), 0..6),
        busy in proptest::bool::ANY,
    ) {
        const NAMES: [&str; 4] = ["a", "b", "c", "d"];
        const ADAPTERS: [&[&str]; 3] = [&[], &["x"], &["x", "y"]];
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(async {
            let mut models: Vec<(&str, &[&str])> = Vec::new();
            for (model, adapters) in loaded {
                if models.iter().all(|(name, _)| *name != NAMES[model]) {
                    models.push((NAMES[model], ADAPTERS[adapters]));
                }
            }
            let mut ledger = ledger(&models);
            let now = Instant::now();
            let report = ledger.report.as_mut().expect("a report");
            report.busy = busy;
            if let Some((model, _)) = models.first() {
                report.incoming = (0..incoming).map(|n| id(&format!("{model}/in{n}"))).collect();
            }
            for (model, adapter, waiting) in wants {
                let text = match adapter {
                    0 => NAMES[model].to_owned(),
                    n => format!("{}/w{n}", NAMES[model]),
                };
                want(&mut ledger, &text, waiting, now);
            }
            let next = next(&ledger, now);
            let before = taken_after(&ledger, &Next::Rest);
            let after = taken_after(&ledger, &next);
            assert!(after == before || after <= 90, "{next:?}: {after}");
            assert!(!busy || !matches!(&next, Next::Order(_, id) if id.adapter.is_none()));
        });
    }
}

#[tokio::test(start_paused = true)]
async fn what_an_earlier_life_ran_and_drained_keeps_nothing_waiting() {
    let now = Instant::now();
    let mut ledger = ledger(&[("a", &[]), ("b", &[])]);
    ledger.leaving = Some(Leaving { model: name("a"), since: now });
    let usage = ledger.usage.entry(name("b")).or_default();
    let heard = Heard { at: now, wait: Duration::ZERO };
    usage.running.insert("router".to_owned(), (9, heard));
    want(&mut ledger, "c", 1, now);
    ledger.restarted();
    assert_eq!(ledger.all_running(), 0);
    assert_eq!(next(&ledger, now), Next::Rest, "its report is waited for");
    ledger.report = super::tests::ledger(&[]).report;
    assert_eq!(next(&ledger, now), Next::Order(Work::Load, id("c")));
}

#[tokio::test(start_paused = true)]
async fn a_model_comes_from_the_weight_store_only_with_a_lane_and_what_has_a_copy_goes_on() {
    let now = Instant::now();
    let mut ledger = ledger(&[]);
    ledger.report.as_mut().expect("a report").copies.disk = vec![name("b")];
    want(&mut ledger, "a", 9, now);
    assert_eq!(next(&ledger, now), Next::Rest);
    want(&mut ledger, "b", 1, now);
    assert_eq!(next(&ledger, now), Next::Order(Work::Load, id("b")));
    ledger.lane = Some(name("a"));
    assert_eq!(next(&ledger, now), Next::Order(Work::Load, id("a")));
}

#[tokio::test(start_paused = true)]
async fn asks_for_the_model_that_most_come_for_and_keeps_to_the_one_that_has_a_lane() {
    let now = Instant::now();
    let mut ledger = ledger(&[]);
    ledger.report.as_mut().expect("a report").copies.disk.clear();
    assert_eq!(cold_want(&ledger), None);
    want(&mut ledger, "a", 1, now);
    want(&mut ledger, "c", 2, now);
    let rates = &mut ledger.wants.get_mut(&id("a")).expect("a want").rates;
    rates.extend([("one".to_owned(), 40.0), ("other".to_owned(), 30.0)]);
    assert_eq!(cold_want(&ledger), Some((&name("a"), 71.0)));
    ledger.lane = Some(name("c"));
    assert_eq!(cold_want(&ledger), Some((&name("c"), 2.0)));
}
