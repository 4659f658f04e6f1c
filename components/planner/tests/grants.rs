//! Grants as the tree changes.

mod common;

use std::time::Duration;

use common::{Agents, Site, add, add_branch, epoch, pass, publish, publish_on, set};
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
#[case::press(70, 12)]
#[case::two_years(230, 100)]
#[tokio::test(start_paused = true)]
async fn can_grant_all_models_soon_after_an_edit(#[case] models: usize, #[case] agents: usize) {
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
    pass(60).await;
    assert_eq!(site.history().rounds, rounds, "nothing more is decided");
}

#[tokio::test(start_paused = true)]
async fn can_pace_rounds_while_edits_pour_in() {
    let site = Site::default();
    let entry = site.entry(1);
    let agents = Agents::start(&site, 12).await;
    publish(&agents.journal, "e0", add_branch()).await;
    pass(10).await;
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
async fn can_obey_the_first_of_two_edits_that_race_on_a_bound() {
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
    pass(60).await;
    let history = site.history();
    assert_eq!(history.state.grants_of(&model("m")).count(), 1);
    assert_eq!((history.over, history.revokes), (0, 1));
}

#[rstest]
#[case::single(1, 0)]
#[case::pair(2, 1)]
#[case::four(4, 2)]
#[tokio::test(start_paused = true)]
async fn can_roll_a_version_out_without_surge(#[case] most: usize, #[case] kept: usize) {
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
async fn can_add_a_replica_when_requests_are_refused() {
    let site = Site::default();
    let entry = site.entry(1);
    let agents = Agents::start(&site, 8).await;
    publish(&agents.journal, "e1", [add_branch(), vec![add("m")]].concat()).await;
    site.until("a grant", |state| serving(state, "m") == 1).await;
    pass(5).await;
    entry.demand.add(&[Demand { model: model("m"), requests: 20, refused: 3 }]);
    let took = site.until("another grant", |state| serving(state, "m") == 2).await;
    assert!(took < Duration::from_secs(3), "{took:?}");
    let state = site.state();
    let grant = state.grants_of(&model("m")).last().expect("a grant");
    assert_eq!(grant.reason, "requests were refused: 2 wanted");
}

#[tokio::test(start_paused = true)]
async fn can_grant_on_demand_and_take_back_when_nobody_asks() {
    let site = Site::default();
    let entry = site.entry(1);
    let agents = Agents::start(&site, 8).await;
    let start = vec![add("m"), set("m", "replicas-least", json!(0))];
    publish(&agents.journal, "e1", [add_branch(), start].concat()).await;
    pass(30).await;
    assert_eq!(site.history().grants, 0);
    entry.demand.add(&[Demand { model: model("m"), requests: 1, refused: 0 }]);
    let took = site.until("a grant", |state| serving(state, "m") == 1).await;
    assert!(took < Duration::from_millis(500), "{took:?}");
    pass(600).await;
    assert_eq!(serving(&site.state(), "m"), 1);
    pass(600).await;
    let history = site.history();
    assert_eq!(history.state.grants_of(&model("m")).count(), 0);
    assert_eq!((history.grants, history.revokes), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn can_grant_for_a_closing_window_an_hour_ahead() {
    let site = Site::default();
    let _entry = site.entry(1);
    let agents = Agents::start(&site, 8).await;
    // The calendar of these tests starts at 08:00.
    let window =
        json!([{ "opens": "monthly 2 10:00", "lasts": "2h", "zone": "UTC", "replicas": 2 }]);
    let start = vec![add("m"), set("m", "windows", window)];
    publish(&agents.journal, "e1", [add_branch(), start].concat()).await;
    pass(3400).await;
    assert_eq!(serving(&site.state(), "m"), 1);
    pass(300).await;
    assert_eq!(serving(&site.state(), "m"), 2);
}

#[tokio::test(start_paused = true)]
async fn can_grant_again_what_a_planner_left_undone() {
    let site = Site::default();
    let mut entries: Vec<_> = (1..=3).map(|number| site.entry(number)).collect();
    let agents = Agents::start(&site, 8).await;
    site.until("a holder", |state| state.lease().holder.is_some()).await;
    let before = site.state();
    // The holder can't append any more when the edit comes.
    let holder = common::take_holder(&mut entries, &before);
    holder.gate.shut_appends(true);
    publish(&agents.journal, "e1", [add_branch(), vec![add("m")]].concat()).await;
    site.until("another holder", |state| epoch(state) > epoch(&before)).await;
    site.until("a grant", |state| serving(state, "m") == 1).await;
    holder.gate.shut_appends(false);
    pass(30).await;
    assert_eq!(site.history().grants, 1);
}
