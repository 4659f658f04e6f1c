use jiff::Timestamp;
use record::{Attach, Body, Decision, Record};
use rstest::rstest;
use sample::id;
use serde_json::{Value, json};
use state::{State, Verdict};
use tree::{Change, Edit, NodeKind};
use units::{Epoch, NodePath, Offset, Revision};

use super::{needed_replicas, prewarm_schedule};
use crate::StoreCapacity;

fn apply(state: &mut State, body: Body) {
    let offset = state.offset().next();
    let name = "entry-1".parse().expect("an instance");
    let record = Record::new(format!("r{offset}"), name, 0, state.offset(), body);
    let applied = state.apply(offset, &record);
    let done = applied.verdicts.iter().all(|verdict| *verdict == Verdict::Done);
    assert!(done, "{:?}", applied.verdicts);
}

fn attach(number: u16, cached: &[&str]) -> Body {
    Body::Attach(Attach {
        instance: id(&format!("server-{number}")),
        cached: cached.iter().map(|name| id(name)).collect(),
        ..sample::attach(&format!("engine-{number}"), sample::addr(9000 + number))
    })
}

fn grant(model: &str, index: u32, number: u16) -> Decision {
    sample::grant(model, index, model, &format!("engine-{number}"))
}

/// Two models whose window opens on the last day of the month at 08:00 and needs one replica.
fn state() -> State {
    let window =
        json!([{ "opens": "monthly last 08:00", "lasts": "8h", "zone": "UTC", "replicas": 1 }]);
    state_with(&window)
}

fn state_with(window: &Value) -> State {
    let mut state = State::default();
    let path = |name: &str| NodePath::root().child(name).expect("a path");
    let set = |name: &str, setting: &str, value| Change::Set {
        path: path(name),
        setting: setting.parse().expect("a setting"),
        value,
    };
    let mut changes = Vec::new();
    for name in ["bills", "terms"] {
        changes.push(Change::Add { path: path(name), kind: NodeKind::Model });
        changes.push(set(name, "service", json!("likhari")));
        changes.push(set(name, "replicas-most", json!(2)));
        changes.push(set(name, "windows", window.clone()));
    }
    let id = "e1".parse().expect("an id");
    let author = "amal".to_owned();
    apply(&mut state, Body::Edit(Edit { id, author, base: Revision(0), changes }));
    apply(&mut state, attach(1, &[]));
    apply(&mut state, attach(2, &["terms"]));
    apply(&mut state, Body::Claim { previous: Epoch(0) });
    let epoch = state.lease().epoch;
    let decisions = vec![grant("bills", 0, 1), grant("bills", 1, 2), grant("terms", 0, 2)];
    apply(&mut state, Body::Decide { epoch, decisions });
    assert_eq!(state.offset(), Offset(5));
    state
}

#[test]
fn replicas_that_the_next_window_needs_are_scheduled() {
    let now: Timestamp = "2026-12-31T07:30:00Z".parse().expect("a time");
    let opens: Timestamp = "2026-12-31T08:00:00Z".parse().expect("a time");
    let slots = prewarm_schedule(&state(), now, &StoreCapacity::default());
    let names: Vec<_> = slots.iter().map(|slot| (slot.model.as_str(), slot.index.0)).collect();
    assert_eq!(names, [("bills", 0), ("terms", 0)], "the cached model starts later");
    assert_eq!(opens.duration_since(slots[0].starts).as_secs(), 25, "8 GiB with slack, and 5 s");
    assert_eq!(opens.duration_since(slots[1].starts).as_secs(), 5);
}

#[test]
fn nothing_is_scheduled_long_before_a_window() {
    let now: Timestamp = "2026-12-31T06:59:59Z".parse().expect("a time");
    assert_eq!(prewarm_schedule(&state(), now, &StoreCapacity::default()), vec![]);
}

#[rstest]
#[case::long_before("2026-12-31T07:30:00Z", &[])]
#[case::when_the_load_is_due("2026-12-31T07:59:36Z", &["bills"])]
#[case::at_the_opening("2026-12-31T08:00:00Z", &["bills"])]
#[case::before_it_closes("2026-12-31T15:59:59Z", &["bills"])]
#[case::after_it_closed("2026-12-31T16:00:00Z", &[])]
fn an_endpoint_needs_replicas_from_their_latest_start_until_the_window_closes(
    #[case] now: &str,
    #[case] models: &[&str],
) {
    let endpoint = "engine-1".parse().expect("an endpoint");
    let now = now.parse().expect("a time");
    let found = needed_replicas(&state(), &endpoint, now, &StoreCapacity::default());
    let names: Vec<_> = found.iter().map(|need| need.model.as_str()).collect();
    assert_eq!(names, models);
    let opens: Timestamp = "2026-12-31T08:00:00Z".parse().expect("a time");
    assert!(found.iter().all(|need| need.opens == opens && need.index.0 == 0));
}

#[test]
fn a_replica_that_two_windows_need_is_included_once() {
    let window = json!([
        { "opens": "monthly last 03:00", "lasts": "8h", "zone": "UTC", "replicas": 1 },
        { "opens": "monthly last 08:00", "lasts": "8h", "zone": "UTC", "replicas": 1 },
    ]);
    let endpoint = "engine-1".parse().expect("an endpoint");
    let now = "2026-12-31T07:59:59Z".parse().expect("a time");
    let found = needed_replicas(&state_with(&window), &endpoint, now, &StoreCapacity::default());
    let opens: Vec<String> = found.iter().map(|need| need.opens.to_string()).collect();
    assert_eq!(opens, ["2026-12-31T08:00:00Z"]);
}
