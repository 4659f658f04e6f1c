//! Measures what the planner costs at several sizes: the time of a round, and appends and bytes for
//! an edit, a lost instance and a lost failure domain. Time passes at once; the log is in memory.
//!
//! `cargo run --release -p planner --example capacity`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Agents, Entry, Site, add, add_adapter, add_branch, pass, publish, set, set_all};
use jiff::Timestamp;
use serde_json::json;
use state::State;
use tree::Change;

/// How often a round is measured.
const RUNS: usize = 21;
/// Changes of one edit while the site is set up.
const EDIT: usize = 400;
/// Replicas of each model.
const REPLICAS: usize = 2;
/// Failure domains of the fake agents.
const DOMAINS: usize = 4;

/// The sizes: models, adapters and endpoints.
const SIZES: [(usize, usize, usize); 3] = [(70, 64, 12), (115, 500, 650), (230, 1000, 2600)];

/// Appends, records and bytes so far.
#[derive(Debug, Clone, Copy)]
struct Mark {
    rounds: usize,
    appends: u64,
    bytes: u64,
}

fn mark(site: &Site) -> Mark {
    let counters = site.log.counters();
    Mark { rounds: site.history().rounds, appends: counters.appends, bytes: counters.bytes }
}

fn changes(models: usize, adapters: usize) -> Vec<Change> {
    let mut changes = add_branch();
    // Windows are part of what a round looks at.
    changes.push(set_all(
        "windows",
        json!([
            { "opens": "monthly last 08:00", "lasts": "10h", "zone": "Asia/Karachi", "replicas": 2 },
            { "opens": "monthly last 08:00", "lasts": "10h", "zone": "UTC", "replicas": 2 },
            { "opens": "yearly 03-31 08:00", "lasts": "10h", "zone": "UTC", "replicas": 1 },
        ]),
    ));
    for i in 0..models {
        let name = format!("m{i}");
        changes.push(add(&name));
        changes.push(set(&name, "replicas-least", json!(REPLICAS)));
    }
    changes
        .extend((0..adapters).map(|i| add_adapter(&format!("m{}", i % models), &format!("a{i}"))));
    changes
}

fn is_settled(state: &State, grants: usize) -> bool {
    state.grants().filter(|grant| !grant.revoked).count() == grants
}

async fn settle(site: &Site, what: &str, grants: usize) -> Duration {
    site.until(what, |state| is_settled(state, grants)).await
}

/// The middle of the times that a round takes, and how many decisions it makes.
fn round(state: &State) -> (Duration, usize) {
    let today = Timestamp::from_second(1_800_000_000).expect("a time");
    let mut times: Vec<Duration> = Vec::with_capacity(RUNS);
    let mut count = 0;
    for _ in 0..RUNS {
        let began = Instant::now();
        count = planner::preview(state, today, planner::Options::default().max_decisions).len();
        times.push(began.elapsed());
    }
    times.sort();
    (times[RUNS / 2], count)
}

/// The middle of the times that an agent needs to see what closing windows need of it.
fn look_at_windows(state: &State) -> Duration {
    let endpoint = &state.grants().next().expect("a grant").endpoint;
    let now: Timestamp = "2026-12-31T07:50:00Z".parse().expect("a time");
    let mut times: Vec<Duration> = Vec::with_capacity(RUNS);
    for _ in 0..RUNS {
        let began = Instant::now();
        let needs = policy::needs(state, endpoint, now, &policy::Store::default());
        times.push(began.elapsed());
        assert!(needs.len() <= state.grants_at(endpoint).count());
    }
    times.sort();
    times[RUNS / 2]
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn report(site: &Site, what: &str, before: Mark, took: Duration) {
    let after = mark(site);
    println!(
        "  {what}: {} rounds, {} appends and {} KB to the log in all, done after {:.1} s",
        after.rounds - before.rounds,
        after.appends - before.appends,
        (after.bytes - before.bytes) / 1000,
        took.as_secs_f64(),
    );
}

async fn measure(models: usize, adapters: usize, endpoints: usize) {
    let site = Site::default();
    let _entry: Entry = site.entry(1);
    site.until("a holder", |state| state.lease().holder.is_some()).await;
    let agents = Agents::start(&site, endpoints).await;
    println!("{models} models, {adapters} adapters, {endpoints} endpoints:");
    let before = mark(&site);
    for (i, part) in changes(models, adapters).chunks(EDIT).enumerate() {
        publish(&agents.journal, &format!("e{i}"), part.to_vec()).await;
    }
    let grants = models * REPLICAS;
    let empty = site.state();
    let took = settle(&site, "all grants", grants).await;
    report(&site, &format!("first {grants} grants"), before, took);
    let (full, count) = round(&empty);
    println!("  a round with {count} decisions: {:.2} ms", millis(full));
    let (idle, count) = round(&site.state());
    println!("  a round with {count} decisions: {:.2} ms", millis(idle));
    let look = look_at_windows(&site.state());
    println!("  an agent's look at closing windows when all open soon: {:.2} ms", millis(look));
    pass(10).await;
    one_edit(&site, &agents, grants).await;
    one_instance(&site, &agents, grants + REPLICAS).await;
    one_domain(&site, &agents, grants + REPLICAS, endpoints).await;
    one_hour(&site).await;
}

async fn one_edit(site: &Site, agents: &Agents, grants: usize) {
    let before = mark(site);
    let edit = vec![add("new"), set("new", "replicas-least", json!(REPLICAS))];
    publish(&agents.journal, "new", edit).await;
    let took = settle(site, "the new model", grants + REPLICAS).await;
    report(site, "an edit that adds a model", before, took);
}

async fn one_instance(site: &Site, agents: &Agents, grants: usize) {
    pass(10).await;
    let state = site.state();
    let busy = state.grants().next().expect("a grant").endpoint.clone();
    let number: usize = busy.as_str()["engine-".len()..].parse().expect("a number");
    let (before, members) = (mark(site), state.members().count());
    agents.lose(number..number + 1);
    let gone = |state: &State| state.members().count() < members && is_settled(state, grants);
    let took = site.until("a member less", gone).await;
    report(site, "a lost instance", before, took);
}

async fn one_domain(site: &Site, agents: &Agents, grants: usize, endpoints: usize) {
    pass(10).await;
    let state = site.state();
    let domain = common::agents::domain(0);
    let lost = state.members().filter(|member| member.attach.domain == domain).count();
    let (before, members) = (mark(site), state.members().count());
    agents.lose((0..endpoints).step_by(DOMAINS));
    let gone =
        |state: &State| state.members().count() == members - lost && is_settled(state, grants);
    let took = site.until("a domain less", gone).await;
    report(site, &format!("a lost domain of {lost}"), before, took);
}

async fn one_hour(site: &Site) {
    let before = mark(site);
    pass(3600).await;
    report(site, "an hour without a change", before, Duration::from_secs(3600));
}

fn main() {
    for (models, adapters, endpoints) in SIZES {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(measure(models, adapters, endpoints));
    }
}
