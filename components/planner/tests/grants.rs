//! Tests of the grants that follow changes of the tree and of demand.

mod common;

use std::time::Duration;

use common::{Agents, Site, add, add_branch, epoch, publish, publish_on, set, sleep_secs};
use rstest::rstest;
use serde_json::json;
use state::{State, Verdict};
use tokio::time::{Instant, sleep};
use tree::{Change, NodeKind};
use units::ModelName;
use wire::Demand;

fn model(name: &str) -> ModelName {
    name.parse().expect("a model")
}

fn serving(state: &State, name: &str) -> usize {
    state.grants_of(&model(name)).filter(|grant| !grant.revoked).count()
}

#[rstest]
#[case::few_models(70, 12)]
#[case::many_models(230, 100)]
#[tokio::test(start_paused = true)]
async fn all_models_are_granted_soon_after_an_edit(#[case] models: usize, #[case] agents: usize) {
    let site = Site::default();
    let entry = site.entry(1);
    let agents = Agents::start(&site, agents).await;
    site.until("a holder", |state| state.lease().holder.is_some()).await;
    let mut changes = add_branch();
    changes.extend((0..models).map(|i| add(&format!("m{i}"))));
    publish(&agents.journal, "e1", changes).await;
    let took = site.until("all grants", |state| state.grants().count() == models).await;
    assert!(took < Duration::from_secs(2), "{took:?}");
    let rounds = site.history().rounds;
    assert!(rounds <= planner::max_rounds(models, entry.options.max_decisions), "{rounds} rounds");
    sleep_secs(60).await;
    assert_eq!(site.history().rounds, rounds, "a round was decided without a change");
}

#[tokio::test(start_paused = true)]
async fn rounds_keep_their_interval_during_many_edits() {
    let site = Site::default();
    let entry = site.entry(1);
    let agents = Agents::start(&site, 12).await;
    publish(&agents.journal, "e0", add_branch()).await;
    sleep_secs(10).await;
    let (before, began) = (site.history().rounds, Instant::now());
    for i in 1..=100 {
        publish(&agents.journal, &format!("e{i}"), vec![add(&format!("m{i}"))]).await;
        sleep(Duration::from_millis(50)).await;
    }
    site.until("all grants", |state| state.grants().count() == 100).await;
    let took = began.elapsed().as_millis() / entry.options.round_interval.as_millis();
    let rounds = (site.history().rounds - before) as u128;
    assert!(rounds <= took + 1, "{rounds} rounds in the time of {took}");
}

#[tokio::test(start_paused = true)]
async fn the_first_of_two_concurrent_edits_of_a_bound_takes_effect() {
    let site = Site::default();
    let _entry = site.entry(1);
    let agents = Agents::start(&site, 8).await;
    let start = vec![add("m"), set("m", "replicas-least", json!(2))];
    publish(&agents.journal, "e1", [add_branch(), start].concat()).await;
    site.until("two grants", |state| serving(state, "m") == 2).await;
    let base = site.state().revision();
    let shrink = vec![set("m", "replicas-most", json!(1)), set("m", "replicas-least", json!(1))];
    let grow = vec![set("m", "replicas-most", json!(4)), set("m", "replicas-least", json!(4))];
    let (first, second) = tokio::join!(
        publish_on(&agents.journal, "e2", base, shrink),
        publish_on(&agents.journal, "e3", base, grow),
    );
    assert_eq!(first.verdicts, vec![Verdict::Done]);
    assert!(matches!(second.verdicts[0], Verdict::Void(_)));
    site.until("one grant", |state| state.grants_of(&model("m")).count() == 1).await;
    sleep_secs(60).await;
    let history = site.history();
    assert_eq!(history.state.grants_of(&model("m")).count(), 1);
    assert_eq!((history.over, history.revokes), (0, 1));
}

#[rstest]
#[case::single(1, 0)]
#[case::pair(2, 1)]
#[case::four(4, 2)]
#[tokio::test(start_paused = true)]
async fn a_version_rolls_out_without_extra_replicas(#[case] most: usize, #[case] kept: usize) {
    let site = Site::default();
    let _entry = site.entry(1);
    let agents = Agents::start(&site, 8).await;
    let version = |name: &str| Change::Add {
        path: units::NodePath::root()
            .child("press")
            .and_then(|path| path.child("m"))
            .and_then(|path| path.child(name))
            .expect("a path"),
        kind: NodeKind::Version,
    };
    let start = vec![
        add("m"),
        version("v1"),
        version("v2"),
        set("m", "version", json!("v1")),
        set("m", "replicas-most", json!(most)),
        set("m", "replicas-least", json!(most)),
    ];
    publish(&agents.journal, "e1", [add_branch(), start].concat()).await;
    site.until("all grants", |state| serving(state, "m") == most).await;
    publish(&agents.journal, "e2", vec![set("m", "version", json!("v2"))]).await;
    let done = |state: &State| {
        let serving = serving(state, "m");
        assert!(serving >= kept, "{serving} replicas serve");
        let (name, wanted) = (model("m"), model("m@v2"));
        let new = state.grants_of(&name).filter(|grant| grant.artifact == wanted);
        new.filter(|grant| !grant.revoked).count() == most
    };
    let took = site.until("the new version", done).await;
    assert!(took < Duration::from_secs(5), "{took:?}");
    assert_eq!(site.history().over, 0);
}

#[tokio::test(start_paused = true)]
async fn refused_requests_add_a_replica() {
    let site = Site::default();
    let entry = site.entry(1);
    let agents = Agents::start(&site, 8).await;
    publish(&agents.journal, "e1", [add_branch(), vec![add("m")]].concat()).await;
    site.until("a grant", |state| serving(state, "m") == 1).await;
    sleep_secs(5).await;
    entry.demand.add(&[Demand { model: model("m"), requests: 20, refused: 3 }]);
    let took = site.until("another grant", |state| serving(state, "m") == 2).await;
    assert!(took < Duration::from_secs(3), "{took:?}");
    let state = site.state();
    let grant = state.grants_of(&model("m")).last().expect("a grant");
    assert_eq!(grant.reason, "requests were refused: 2 wanted");
}

#[tokio::test(start_paused = true)]
async fn a_model_is_granted_on_demand_and_revoked_when_idle() {
    let site = Site::default();
    let entry = site.entry(1);
    let agents = Agents::start(&site, 8).await;
    let start = vec![add("m"), set("m", "replicas-least", json!(0))];
    publish(&agents.journal, "e1", [add_branch(), start].concat()).await;
    sleep_secs(30).await;
    assert_eq!(site.history().grants, 0);
    entry.demand.add(&[Demand { model: model("m"), requests: 1, refused: 0 }]);
    let took = site.until("a grant", |state| serving(state, "m") == 1).await;
    assert!(took < Duration::from_millis(500), "{took:?}");
    sleep_secs(600).await;
    assert_eq!(serving(&site.state(), "m"), 1);
    sleep_secs(600).await;
    let history = site.history();
    assert_eq!(history.state.grants_of(&model("m")).count(), 0);
    assert_eq!((history.grants, history.revokes), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn replicas_for_a_closing_window_are_granted_an_hour_ahead() {
    let site = Site::default();
    let _entry = site.entry(1);
    let agents = Agents::start(&site, 8).await;
    // The calendar of these tests starts at 08:00.
    let window =
        json!([{ "opens": "monthly 2 10:00", "lasts": "2h", "zone": "UTC", "replicas": 2 }]);
    let start = vec![add("m"), set("m", "windows", window)];
    publish(&agents.journal, "e1", [add_branch(), start].concat()).await;
    sleep_secs(3400).await;
    assert_eq!(serving(&site.state(), "m"), 1);
    sleep_secs(300).await;
    assert_eq!(serving(&site.state(), "m"), 2);
}

#[tokio::test(start_paused = true)]
async fn a_new_planner_grants_what_the_last_one_did_not() {
    let site = Site::default();
    let mut entries: Vec<_> = (1..=3).map(|number| site.entry(number)).collect();
    let agents = Agents::start(&site, 8).await;
    site.until("a holder", |state| state.lease().holder.is_some()).await;
    let before = site.state();
    // The holder cannot append any more when the edit arrives.
    let holder = common::take_holder(&mut entries, &before);
    holder.gate.shut_appends(true);
    publish(&agents.journal, "e1", [add_branch(), vec![add("m")]].concat()).await;
    site.until("another holder", |state| epoch(state) > epoch(&before)).await;
    site.until("a grant", |state| serving(state, "m") == 1).await;
    holder.gate.shut_appends(false);
    sleep_secs(30).await;
    assert_eq!(site.history().grants, 1);
}
