//! Tests of which endpoints count as gone when the platform's list lags, flaps, fails or shrinks.

mod common;

use common::{Agents, Entry, Site, add, add_branch, publish, set, sleep_secs};
use record::{Body, Decision, Record};
use serde_json::json;
use state::{State, Verdict, Void};
use tree::Change;
use units::InstanceId;

/// Starts a planner and agents, and waits until all models are granted.
async fn start_with_grants(site: &Site, agents: usize, models: usize) -> (Entry, Agents) {
    let entry = site.entry(1);
    let agents = Agents::start(site, agents).await;
    let mut changes = add_branch();
    changes.extend((0..models).map(|i| add(&format!("m{i}"))));
    publish(&agents.journal, "e1", changes).await;
    site.until("all grants", |state| state.grants().count() == models).await;
    sleep_secs(5).await;
    (entry, agents)
}

fn members(state: &State) -> usize {
    state.members().count()
}

#[tokio::test(start_paused = true)]
async fn a_lost_endpoint_is_gone_after_the_absence_timeout_and_its_grants_move() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 4, 8).await;
    agents.lose(0..1);
    let took = site.until("a member less", |state| members(state) == 3).await;
    assert!((10..14).contains(&took.as_secs()), "{took:?}");
    site.until("all grants", |state| state.grants().count() == 8).await;
    let history = site.history();
    assert_eq!((history.gone, history.over), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_answers_stays_although_the_list_lacks_it() {
    let site = Site::default();
    let (_entry, _agents) = start_with_grants(&site, 4, 8).await;
    let mut list = site.list.newest();
    list.remove(0);
    site.list.set(list);
    sleep_secs(300).await;
    let history = site.history();
    assert_eq!((history.gone, members(&history.state)), (0, 4));
    assert_eq!(history.grants, 8);
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_is_unresponsive_but_listed_stays() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 4, 8).await;
    agents.crash(0);
    sleep_secs(300).await;
    assert_eq!(site.history().gone, 0);
}

#[tokio::test(start_paused = true)]
async fn all_endpoints_stay_while_the_list_is_empty_or_unreachable() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 4, 8).await;
    let list = site.list.newest();
    site.list.set(Vec::new());
    (0..4).for_each(|number| agents.crash(number));
    sleep_secs(120).await;
    site.list.set_outage(true);
    sleep_secs(120).await;
    assert_eq!(site.history().gone, 0);
    site.list.set_outage(false);
    site.list.set(list);
    sleep_secs(60).await;
    assert_eq!(site.history().gone, 0);
}

#[tokio::test(start_paused = true)]
async fn a_dead_endpoint_stays_while_a_flapping_list_shows_it_at_times() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 4, 8).await;
    agents.crash(0);
    let whole = site.list.newest();
    for _ in 0..20 {
        site.list.set(whole[1..].to_vec());
        sleep_secs(8).await;
        site.list.set(whole.clone());
        sleep_secs(2).await;
    }
    assert_eq!(site.history().gone, 0);
}

#[tokio::test(start_paused = true)]
async fn a_list_that_lags_behind_the_agents_makes_none_gone() {
    let site = Site::default();
    site.list.set_lag(std::time::Duration::from_secs(30));
    let (_entry, _agents) = start_with_grants(&site, 4, 8).await;
    sleep_secs(120).await;
    assert_eq!(site.history().gone, 0);
}

#[tokio::test(start_paused = true)]
async fn the_absence_timeout_starts_again_after_a_takeover() {
    let site = Site::default();
    let (entry, agents) = start_with_grants(&site, 4, 8).await;
    let second = site.entry(2);
    sleep_secs(5).await;
    agents.lose(0..1);
    sleep_secs(8).await;
    entry.kill();
    let took = site.until("a member less", |state| members(state) == 3).await;
    assert!(second.is_holder(&site.state()));
    assert!(took.as_secs() >= 15, "less than a lease duration and an absence timeout: {took:?}");
}

#[tokio::test(start_paused = true)]
async fn the_grants_of_an_agent_that_leaves_move() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 4, 8).await;
    agents.leave(0).await;
    let took = site.until("a member less", |state| members(state) == 3).await;
    assert!(took.as_secs() < 3, "{took:?}");
    site.until("all grants", |state| state.grants().count() == 8).await;
    let history = site.history();
    assert_eq!((history.gone, history.over), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn a_lost_instance_is_gone_although_another_has_its_address() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 4, 8).await;
    agents.lose(0..1);
    let other: InstanceId = "server-new".parse().expect("an instance");
    let verdict = agents.attach_as(0, other.clone()).await;
    assert!(matches!(verdict, Verdict::Void(Void::Instance { .. })), "{verdict:?}");
    site.until("a member less", |state| members(state) == 3).await;
    assert_eq!(agents.attach_as(0, other).await, Verdict::Done);
}

#[tokio::test(start_paused = true)]
async fn a_late_decision_about_an_old_incarnation_is_void() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 4, 8).await;
    let lost = site.state().members().next().cloned().expect("a member");
    agents.lose(0..1);
    site.until("a member less", |state| members(state) == 3).await;
    assert_eq!(agents.attach(0).await, Verdict::Done);
    let state = site.state();
    let decisions = vec![Decision::Gone {
        endpoint: lost.attach.endpoint.clone(),
        incarnation: lost.incarnation,
    }];
    let body = Body::Decide { epoch: state.lease().epoch, decisions };
    let name = "entry-1".parse().expect("an instance");
    let record = Record::new("late".to_owned(), name, 0, state.offset(), body);
    let text = serde_json::to_vec(&record).expect("text");
    site.log.put(edge::Stream::Control, text);
    sleep_secs(1).await;
    assert_eq!(members(&site.state()), 4);
    let applied = agents.journal.read(|state| state.verdict_of("late").cloned()).expect("folded");
    assert!(matches!(applied.verdicts[0], Verdict::Void(Void::Incarnation { .. })));
}

/// The changes that add models with two replicas each.
fn pairs(count: usize) -> Vec<Change> {
    let mut changes = add_branch();
    for i in 0..count {
        let name = format!("m{i}");
        changes.push(add(&name));
        changes.push(set(&name, "replicas-least", json!(2)));
    }
    changes
}

/// A quarter of 100 endpoints is lost at once. Every model keeps a replica in another failure domain, the lost
/// endpoints are declared gone, and their replicas are granted elsewhere, in rounds of bounded size and number.
#[tokio::test(start_paused = true)]
async fn the_loss_of_a_failure_domain_takes_a_bounded_number_of_appends() {
    let site = Site::default();
    let entry = site.entry(1);
    let agents = Agents::start(&site, 100).await;
    let models = 230;
    publish(&agents.journal, "e1", pairs(models)).await;
    site.until("all grants", |state| state.grants().count() == 2 * models).await;
    sleep_secs(5).await;
    let before = site.history();
    let lost: Vec<usize> = (0..100).filter(|number| number % 4 == 0).collect();
    let held = before
        .state
        .grants()
        .filter(|grant| lost.iter().any(|n| grant.endpoint == common::agents::endpoint(*n)));
    let held = held.count();
    agents.lose(lost.iter().copied());
    let took = site.until("the lost are dropped", |state| members(state) == 75).await;
    assert!(took.as_secs() <= 20, "{took:?}");
    site.until("all grants", |state| state.grants().count() == 2 * models).await;
    let after = site.history();
    let (gone, grants) = (after.gone - before.gone, after.grants - before.grants);
    assert_eq!((gone, grants, after.over), (25, held, 0));
    let rounds = after.rounds - before.rounds;
    let bound = planner::max_rounds(gone + grants, entry.options.max_decisions) + 1;
    println!(
        "{held} grants lost; {gone} gone and {grants} granted in {rounds} rounds within {took:?}"
    );
    assert!(rounds <= bound, "{rounds} rounds, the bound is {bound}");
    assert_eq!(after.void, before.void);
}

#[tokio::test(start_paused = true)]
async fn a_failure_domain_that_returns_gets_grants_again() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 8, 64).await;
    agents.lose([0, 4].into_iter());
    site.until("two members less", |state| members(state) == 6).await;
    site.until("all grants", |state| state.grants().count() == 64).await;
    for number in [0, 4] {
        assert_eq!(agents.attach(number).await, Verdict::Done);
    }
    agents.list(&[0, 4]);
    let before = site.history();
    sleep_secs(1800).await;
    let after = site.history();
    let held = |number| after.state.grants_at(&common::agents::endpoint(number)).count();
    assert!(held(0) >= 4 && held(4) >= 4, "{} and {} grants came back", held(0), held(4));
    let moved = after.revokes - before.revokes;
    assert!(moved <= 16, "{moved} grants moved");
    assert_eq!((after.over, after.state.grants().count()), (0, 64));
    sleep_secs(1800).await;
    assert_eq!(site.history().revokes, after.revokes, "grants keep moving");
}

#[tokio::test(start_paused = true)]
async fn an_agent_is_notified_that_its_instance_leaves_until_the_log_shows_it() {
    let site = Site::default();
    let (_entry, agents) = start_with_grants(&site, 4, 8).await;
    let leaving = common::agents::instance(1);
    let leaving_notices = agents.leaving_notices();
    site.list.mark_leaving(&leaving);
    sleep_secs(3).await;
    let early = leaving_notices.lock().expect("no panic").clone();
    assert!(early.len() >= 2 && early.iter().all(|instance| *instance == leaving), "{early:?}");
    agents.leave(1).await;
    sleep_secs(2).await;
    let count = leaving_notices.lock().expect("no panic").len();
    sleep_secs(10).await;
    assert_eq!(
        leaving_notices.lock().expect("no panic").len(),
        count,
        "the agent was notified again"
    );
}
