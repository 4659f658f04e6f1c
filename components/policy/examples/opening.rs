//! Loads the models of a closing window with several start policies. Prints how long requests wait at the opening, how long
//! replicas idle before it, and how long urgent loads of other models take meanwhile.
//!
//! `cargo run --release -p policy --example opening [SEEDS]`

use std::time::Duration;

use jiff::Timestamp;
use policy::{StoreCapacity, WindowLoad, schedule};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{Rate, ReplicaIndex, Size};

/// The length of one step of the replay, in seconds.
const STEP_SECS: f64 = 0.05;
/// How long before the opening the replay starts, in seconds.
const SECS_BEFORE_OPENING: f64 = 1800.0;
/// How long after the opening the replay ends, in seconds.
const SECS_AFTER_OPENING: f64 = 1800.0;
/// The engine's part of a load, in seconds.
const ENGINE_START_SECS: f64 = 12.0;
/// The rate of one load at full speed in GiB per second, and the number of loads that the store serves at full speed.
const STORE_GIB_PER_SEC: f64 = 1.0;
const STORE_CONCURRENT_LOADS: f64 = 4.0;
/// Loads that the store starts per second.
const STORE_STARTS_PER_SEC: f64 = 7.0;
/// The mean time from the opening to the first request of a model, in seconds.
const MEAN_FIRST_REQUEST_SECS: f64 = 60.0;
/// Urgent loads of other models per second.
const URGENT_LOADS_PER_SEC: f64 = 0.05;
/// The values that are compared for the slack with which the agents plan.
const SLACKS: [f64; 3] = [1.0, 1.5, 2.5];

/// The policy for when the models of the window start to load.
#[derive(Debug, Clone, Copy)]
enum StartPolicy {
    /// At the first request for the model.
    OnDemand,
    /// All at the same time, this many seconds before the opening.
    Lead(f64),
    /// At the latest start, computed with this slack.
    Latest(f64),
}

/// A load in the replay. Times are seconds from the start of the replay.
#[derive(Debug, Clone)]
struct SimulatedLoad {
    requested_at: f64,
    urgent: bool,
    remaining_gib: f64,
    running: bool,
    transferred_at: Option<f64>,
}

impl SimulatedLoad {
    fn new(requested_at: f64, urgent: bool, gib: f64) -> Self {
        Self { requested_at, urgent, remaining_gib: gib, running: false, transferred_at: None }
    }

    fn ready_at(&self) -> f64 {
        self.transferred_at.map_or(f64::INFINITY, |at| at + ENGINE_START_SECS)
    }
}

/// Simulates the store: urgent loads start first, the start rate is bounded, and all running loads share the store's rate.
fn simulate_store(loads: &mut [SimulatedLoad], slowdown: f64) {
    let (mut now, mut next_start) = (0.0, 0.0);
    while now < SECS_BEFORE_OPENING + SECS_AFTER_OPENING {
        while next_start <= now {
            let waiting = loads.iter_mut().filter(|load| {
                load.requested_at <= now && !load.running && load.transferred_at.is_none()
            });
            let next = waiting.min_by(|a, b| {
                b.urgent.cmp(&a.urgent).then(a.requested_at.total_cmp(&b.requested_at))
            });
            let Some(next) = next else { break };
            next.running = true;
            next_start = now + 1.0 / STORE_STARTS_PER_SEC;
        }
        #[expect(clippy::cast_precision_loss, reason = "few loads run")]
        let count = loads.iter().filter(|load| load.running).count() as f64;
        let speed =
            STORE_GIB_PER_SEC / slowdown * (STORE_CONCURRENT_LOADS / count.max(1.0)).min(1.0);
        for load in loads.iter_mut().filter(|load| load.running) {
            load.remaining_gib -= speed * STEP_SECS;
            if load.remaining_gib <= 0.0 {
                load.running = false;
                load.transferred_at = Some(now);
            }
        }
        now += STEP_SECS;
    }
}

/// The start times of the window's loads, in seconds from the start of the replay.
fn starts(sizes: &[u64], first_requests: &[f64], policy: StartPolicy) -> Vec<f64> {
    match policy {
        StartPolicy::OnDemand => {
            first_requests.iter().map(|first| SECS_BEFORE_OPENING + first).collect()
        }
        StartPolicy::Lead(lead) => sizes.iter().map(|_| SECS_BEFORE_OPENING - lead).collect(),
        StartPolicy::Latest(slack) => {
            let opens = Timestamp::from_second(1_800_000_000).expect("a time");
            let load = |(i, gib): (usize, &u64)| WindowLoad {
                model: format!("m{i}").parse().expect("a model"),
                index: ReplicaIndex(0),
                endpoint: format!("engine-{i}").parse().expect("an endpoint"),
                weights: Size::gib(*gib),
                opens,
            };
            let loads = sizes.iter().enumerate().map(load).collect();
            let store = StoreCapacity {
                start_rate: Rate(STORE_STARTS_PER_SEC),
                concurrent_loads: 4,
                load_rate: Size::gib(1),
                fixed_time: Duration::from_secs_f64(ENGINE_START_SECS),
                slack,
            };
            let mut starts = vec![0.0; sizes.len()];
            for slot in schedule(loads, &store) {
                let i: usize = slot.model.as_str()[1..].parse().expect("a number");
                let before = opens.duration_since(slot.starts).as_secs_f64();
                starts[i] = SECS_BEFORE_OPENING - before;
            }
            starts
        }
    }
}

/// The totals over all replays; times are in seconds.
#[derive(Debug, Default)]
struct Totals {
    waits: Vec<f64>,
    late: u32,
    idle_secs: f64,
    urgent: Vec<f64>,
}

fn replay(models: usize, slowdown: f64, policy: StartPolicy, seed: u64, totals: &mut Totals) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sizes: Vec<u64> = (0..models).map(|_| rng.random_range(6..=16)).collect();
    let first: Vec<f64> =
        (0..models).map(|_| -MEAN_FIRST_REQUEST_SECS * (1.0 - rng.random::<f64>()).ln()).collect();
    let mut loads: Vec<SimulatedLoad> = starts(&sizes, &first, policy)
        .iter()
        .zip(&sizes)
        .map(|(at, gib)| {
            #[expect(clippy::cast_precision_loss, reason = "a few GiB")]
            SimulatedLoad::new(*at, matches!(policy, StartPolicy::OnDemand), *gib as f64)
        })
        .collect();
    let mut at = 0.0;
    while at < SECS_BEFORE_OPENING + SECS_AFTER_OPENING / 2.0 {
        at += -(1.0 - rng.random::<f64>()).ln() / URGENT_LOADS_PER_SEC;
        loads.push(SimulatedLoad::new(at, true, 8.0));
    }
    // Loads of the window are urgent only with `StartPolicy::OnDemand`.
    simulate_store(&mut loads, slowdown);
    let (window, urgent) = loads.split_at(models);
    for (load, first) in window.iter().zip(&first) {
        let requested_at = SECS_BEFORE_OPENING + first;
        totals.waits.push((load.ready_at() - requested_at).max(0.0));
        totals.late += u32::from(load.ready_at() > SECS_BEFORE_OPENING);
        totals.idle_secs += (requested_at - load.ready_at()).max(0.0);
    }
    totals.urgent.extend(
        urgent
            .iter()
            .filter(|load| load.requested_at < SECS_BEFORE_OPENING + 300.0)
            .map(|load| load.ready_at() - load.requested_at),
    );
}

fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index into a list"
    )]
    let at = (values.len() as f64 * fraction) as usize;
    values.get(at).or(values.last()).copied().unwrap_or_default()
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    println!(
        "| models | store | policy | not ready at opening % | first wait p95 s | p99 s | idle before use, h a site | urgent load p95 s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut policies = vec![
        ("on demand".to_owned(), StartPolicy::OnDemand),
        ("all 120 s before".to_owned(), StartPolicy::Lead(120.0)),
        ("all 600 s before".to_owned(), StartPolicy::Lead(600.0)),
    ];
    policies.extend(
        SLACKS.map(|slack| (format!("latest start, slack {slack}"), StartPolicy::Latest(slack))),
    );
    for models in [70, 100] {
        for slowdown in [1.0, 2.0] {
            for (name, policy) in &policies {
                let mut totals = Totals::default();
                (0..seeds).for_each(|seed| replay(models, slowdown, *policy, seed, &mut totals));
                #[expect(clippy::cast_precision_loss, reason = "few replays")]
                let (count, sites) = (totals.waits.len() as f64, seeds as f64);
                println!(
                    "| {models} | {} | {name} | {:.0} | {:.0} | {:.0} | {:.1} | {:.0} |",
                    if slowdown > 1.0 { "half speed" } else { "full speed" },
                    100.0 * f64::from(totals.late) / count,
                    quantile(&mut totals.waits, 0.95),
                    quantile(&mut totals.waits, 0.99),
                    totals.idle_secs / 3600.0 / sites,
                    quantile(&mut totals.urgent, 0.95),
                );
            }
        }
    }
}
