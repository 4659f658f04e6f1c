//! Measures the planner's cost at several sizes: the time of a round, and the appends and bytes for an edit, a lost
//! instance and a lost failure domain. Runs with a paused clock and a log in memory.
//!
//! `cargo run --release -p planner --example capacity`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{
    Agents, Entry, Site, add, add_adapter, add_branch, publish, set, set_all, sleep_secs,
};
use jiff::Timestamp;
use serde_json::json;
use state::State;
use tree::Change;

/// How many times a round is measured.
const MEASUREMENTS: usize = 21;
/// The number of changes in one edit while the site is set up.
const CHANGES_PER_EDIT: usize = 400;
/// The minimum number of replicas of each model.
const REPLICAS: usize = 2;
/// Failure domains of the fake agents.
const DOMAINS: usize = 4;

/// The sizes to measure, as numbers of models, adapters and endpoints.
const SIZES: [(usize, usize, usize); 3] = [(70, 64, 12), (115, 500, 650), (230, 1000, 2600)];

/// The rounds, and the appends and bytes to the log, so far.
#[derive(Debug, Clone, Copy)]
struct Usage {
    rounds: usize,
    appends: u64,
    bytes: u64,
}

fn usage(site: &Site) -> Usage {
    let counters = site.log.counters();
    Usage { rounds: site.history().rounds, appends: counters.appends, bytes: counters.bytes }
}

fn changes(models: usize, adapters: usize) -> Vec<Change> {
    let mut changes = add_branch();
    // A round evaluates the closing windows of each model.
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

fn has_grants(state: &State, grants: usize) -> bool {
    state.grants().filter(|grant| !grant.revoked).count() == grants
}

async fn wait_for_grants(site: &Site, what: &str, grants: usize) -> Duration {
    site.until(what, |state| has_grants(state, grants)).await
}

/// The median time of a round, and how many decisions it makes.
fn measure_round(state: &State) -> (Duration, usize) {
    let today = Timestamp::from_second(1_800_000_000).expect("a time");
    let mut times: Vec<Duration> = Vec::with_capacity(MEASUREMENTS);
    let mut count = 0;
    for _ in 0..MEASUREMENTS {
        let began = Instant::now();
        count = planner::preview(state, today, planner::Options::default().max_decisions).len();
        times.push(began.elapsed());
    }
    times.sort();
    (times[MEASUREMENTS / 2], count)
}

/// The median time in which an agent computes which replicas it needs for closing windows.
fn measure_window_needs(state: &State) -> Duration {
    let endpoint = &state.grants().next().expect("a grant").endpoint;
    let now: Timestamp = "2026-12-31T07:50:00Z".parse().expect("a time");
    let mut times: Vec<Duration> = Vec::with_capacity(MEASUREMENTS);
    for _ in 0..MEASUREMENTS {
        let began = Instant::now();
        let needs =
            policy::needed_replicas(state, endpoint, now, &policy::StoreCapacity::default());
        times.push(began.elapsed());
        assert!(needs.len() <= state.grants_at(endpoint).count());
    }
    times.sort();
    times[MEASUREMENTS / 2]
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn report(site: &Site, what: &str, before: Usage, took: Duration) {
    let after = usage(site);
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
    let before = usage(&site);
    for (i, part) in changes(models, adapters).chunks(CHANGES_PER_EDIT).enumerate() {
        publish(&agents.journal, &format!("e{i}"), part.to_vec()).await;
    }
    let grants = models * REPLICAS;
    let empty = site.state();
    let took = wait_for_grants(&site, "all grants", grants).await;
    report(&site, &format!("first {grants} grants"), before, took);
    let (full, count) = measure_round(&empty);
    println!("  a round with {count} decisions: {:.2} ms", millis(full));
    let (idle, count) = measure_round(&site.state());
    println!("  a round with {count} decisions: {:.2} ms", millis(idle));
    let window_time = measure_window_needs(&site.state());
    println!(
        "  an agent's evaluation of closing windows when all open soon: {:.2} ms",
        millis(window_time)
    );
    sleep_secs(10).await;
    one_edit(&site, &agents, grants).await;
    one_instance(&site, &agents, grants + REPLICAS).await;
    one_domain(&site, &agents, grants + REPLICAS, endpoints).await;
    one_hour(&site).await;
}

async fn one_edit(site: &Site, agents: &Agents, grants: usize) {
    let before = usage(site);
    let edit = vec![add("new"), set("new", "replicas-least", json!(REPLICAS))];
    publish(&agents.journal, "new", edit).await;
    let took = wait_for_grants(site, "the new model", grants + REPLICAS).await;
    report(site, "an edit that adds a model", before, took);
}

async fn one_instance(site: &Site, agents: &Agents, grants: usize) {
    sleep_secs(10).await;
    let state = site.state();
    let busy = state.grants().next().expect("a grant").endpoint.clone();
    let number: usize = busy.as_str()["engine-".len()..].parse().expect("a number");
    let (before, members) = (usage(site), state.members().count());
    agents.lose(number..number + 1);
    let gone = |state: &State| state.members().count() < members && has_grants(state, grants);
    let took = site.until("a member less", gone).await;
    report(site, "a lost instance", before, took);
}

async fn one_domain(site: &Site, agents: &Agents, grants: usize, endpoints: usize) {
    sleep_secs(10).await;
    let state = site.state();
    let domain = common::agents::domain(0);
    let lost = state.members().filter(|member| member.attach.domain == domain).count();
    let (before, members) = (usage(site), state.members().count());
    agents.lose((0..endpoints).step_by(DOMAINS));
    let gone =
        |state: &State| state.members().count() == members - lost && has_grants(state, grants);
    let took = site.until("a domain less", gone).await;
    report(site, &format!("a lost domain of {lost}"), before, took);
}

async fn one_hour(site: &Site) {
    let before = usage(site);
    sleep_secs(3600).await;
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
