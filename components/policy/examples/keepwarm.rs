//! Replays seeded traces with each policy to keep replicas loaded, and prints what each costs.
//!
//! `cargo run --release -p policy --example keepwarm [SEEDS]`

mod trace;

use std::time::Duration;

use policy::{Costs, Gaps, KeepWarm};
use trace::{HOUR, Shape, Trace, traces};

/// How long a request keeps its replica busy, in seconds.
const REQUEST_SECS: f64 = 4.0;
/// The engine's part of a cold start, in seconds.
const ENGINE_START_SECS: f64 = 12.0;
/// The rate of one load from the store at full speed, in GiB per second.
const STORE_GIB_PER_SEC: f64 = 1.0;
/// The number of loads that the store serves at full speed at the same time.
const STORE_CONCURRENT_LOADS: usize = 4;
/// The least time between two starts of loads from the store, in seconds.
const STORE_START_INTERVAL_SECS: f64 = 1.0 / 7.0;
/// The operator's limit on how long an idle replica stays loaded.
const MAX_KEEP_TIME: Duration = Duration::from_secs(6 * 3600);

/// The ratios of cold start weight to idle weight that are compared, each for all models.
const COLD_IDLE_RATIOS: [f64; 5] = [1.0, 3.0, 10.0, 30.0, 100.0];

/// A choice of how long an idle replica stays loaded.
#[derive(Debug, Clone, Copy)]
enum Chooser {
    Policy(KeepWarm),
    /// Knows the next gap in advance, which gives the lowest possible cost of each gap.
    Clairvoyant,
}

/// The outcome of one replay.
#[derive(Debug, Default)]
struct Totals {
    requests: u64,
    waits: Vec<f64>,
    cold_start_secs: Vec<f64>,
    idle_secs: f64,
    cost: f64,
}

/// The weight store: the ends of the loads that run, and the earliest start of the next one.
#[derive(Debug, Default)]
struct StoreModel {
    ends: Vec<f64>,
    next_start: f64,
}

impl StoreModel {
    /// Starts a load now and returns how long it takes. Loads that already run slow it down.
    fn load(&mut self, now: f64, weights: f64) -> f64 {
        self.ends.retain(|end| *end > now);
        let start = now.max(self.next_start);
        self.next_start = start + STORE_START_INTERVAL_SECS;
        #[expect(clippy::cast_precision_loss, reason = "few loads run at the same time")]
        let share = ((self.ends.len() + 1) as f64 / STORE_CONCURRENT_LOADS as f64).max(1.0);
        let fetched = start + weights / STORE_GIB_PER_SEC * share;
        self.ends.push(fetched);
        fetched + ENGINE_START_SECS - now
    }
}

/// One model's replica; times are seconds from the start of the trace.
#[derive(Debug, Default)]
struct Replica {
    gaps: Gaps,
    /// When its last request ends. It is loaded from `ready_at` until `keep_secs` after its last request.
    busy_until: f64,
    ready_at: f64,
    keep_secs: f64,
    started: bool,
}

/// How long a cold start takes if no other load runs at the store.
fn unshared_reload_secs(trace: &Trace) -> f64 {
    trace.weights / STORE_GIB_PER_SEC + ENGINE_START_SECS
}

fn costs(trace: &Trace) -> Costs {
    let cold = Duration::from_secs_f64(unshared_reload_secs(trace));
    Costs {
        cold_start: cold,
        cold_start_weight: trace.cold_start_weight,
        idle_weight: trace.idle_weight,
    }
}

fn replay(traces: &[Trace], chooser: Chooser) -> Totals {
    let mut totals = Totals::default();
    let mut store = StoreModel::default();
    let mut replicas: Vec<Replica> = traces.iter().map(|_| Replica::default()).collect();
    let all = traces.iter().enumerate();
    let mut events: Vec<(f64, usize)> =
        all.flat_map(|(i, trace)| trace.arrivals.iter().map(move |at| (*at, i))).collect();
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, i) in events {
        arrive(at, &traces[i], &mut replicas[i], &mut store, chooser, &mut totals);
    }
    for (replica, trace) in replicas.iter().zip(traces) {
        // Adds the idle time after the last request, which a clairvoyant choice does not have.
        if replica.started {
            totals.idle_secs += replica.keep_secs;
            totals.cost += replica.keep_secs * costs(trace).idle_weight;
        }
    }
    totals
}

fn arrive(
    at: f64,
    trace: &Trace,
    replica: &mut Replica,
    store: &mut StoreModel,
    chooser: Chooser,
    totals: &mut Totals,
) {
    let costs = costs(trace);
    totals.requests += 1;
    if replica.started && at < replica.busy_until {
        let wait = (replica.ready_at - at).max(0.0);
        totals.waits.push(wait);
        replica.busy_until = replica.busy_until.max(at + wait + REQUEST_SECS);
        return;
    }
    let gap = at - replica.busy_until;
    let keep = match chooser {
        Chooser::Policy(_) => replica.keep_secs,
        Chooser::Clairvoyant if gap * costs.idle_weight <= costs.cold_start_cost() => gap,
        Chooser::Clairvoyant => 0.0,
    };
    let warm = replica.started && gap <= keep;
    if replica.started {
        totals.idle_secs += gap.min(keep);
        totals.cost += gap.min(keep) * costs.idle_weight;
        replica.gaps.add(Duration::from_secs_f64(gap));
    }
    let wait = if warm { 0.0 } else { store.load(at, trace.weights) };
    if !warm {
        totals.cold_start_secs.push(wait);
        totals.cost += wait * costs.cold_start_weight;
    }
    totals.waits.push(wait);
    replica.started = true;
    replica.ready_at = at + wait;
    replica.busy_until = at + wait + REQUEST_SECS;
    let keep = match chooser {
        Chooser::Policy(policy) => policy.keep_time(&replica.gaps, &costs, MAX_KEEP_TIME),
        Chooser::Clairvoyant => Duration::ZERO,
    };
    replica.keep_secs = keep.as_secs_f64();
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
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(5);
    let fixed = |seconds| Chooser::Policy(KeepWarm::Fixed(Duration::from_secs(seconds)));
    let choosers = [
        ("fixed 0 s", fixed(0)),
        ("fixed 30 s", fixed(30)),
        ("fixed 60 s", fixed(60)),
        ("fixed 300 s", fixed(300)),
        ("fixed 900 s", fixed(900)),
        ("fixed 3600 s", fixed(3600)),
        ("histogram", Chooser::Policy(KeepWarm::Histogram)),
        ("break even", Chooser::Policy(KeepWarm::BreakEven)),
        ("cheapest", Chooser::Policy(KeepWarm::Cheapest)),
        ("clairvoyant", Chooser::Clairvoyant),
    ];
    println!("With the weights of the example trees:\n");
    for shape in [Shape::Press, Shape::Trust] {
        compare(shape, seeds, None, &choosers);
    }
    println!("\nWith one weight for all models:\n");
    let some = [choosers[3], choosers[7], choosers[8], choosers[9]];
    for shape in [Shape::Press, Shape::Trust] {
        for ratio in COLD_IDLE_RATIOS {
            compare(shape, seeds, Some(ratio), &some);
        }
    }
}

/// Prints what each policy costs relative to the last one, which must be the clairvoyant one.
fn compare(shape: Shape, seeds: u64, ratio: Option<f64>, choosers: &[(&str, Chooser)]) {
    println!(
        "| {} | starts for 1000 requests | cold p99 s | wait p95 s | wait p99 s | idle h | cost / clairvoyant |",
        shape.name()
    );
    println!("|---|---|---|---|---|---|---|");
    let runs: Vec<Totals> =
        choosers.iter().map(|(_, one)| run(shape, seeds, ratio, *one)).collect();
    let baseline = runs.last().map_or(1.0, |totals| totals.cost);
    let at = ratio.map_or_else(String::new, |ratio| format!(", cold/idle {ratio}"));
    for ((name, _), mut totals) in choosers.iter().zip(runs) {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let starts = totals.cold_start_secs.len() as f64 * 1000.0 / totals.requests as f64;
        println!(
            "| {name}{at} | {starts:.0} | {:.1} | {:.1} | {:.1} | {:.0} | {:.2} |",
            quantile(&mut totals.cold_start_secs, 0.99),
            quantile(&mut totals.waits, 0.95),
            quantile(&mut totals.waits, 0.99),
            totals.idle_secs / HOUR,
            totals.cost / baseline,
        );
    }
}

/// Adds up the replays of all seeds.
fn run(shape: Shape, seeds: u64, ratio: Option<f64>, chooser: Chooser) -> Totals {
    let mut sum = Totals::default();
    for seed in 0..seeds {
        let mut traces = traces(shape, seed);
        for trace in &mut traces {
            trace.cold_start_weight =
                ratio.map_or(trace.cold_start_weight, |ratio| ratio * trace.idle_weight);
        }
        let totals = replay(&traces, chooser);
        sum.requests += totals.requests;
        sum.waits.extend(totals.waits);
        sum.cold_start_secs.extend(totals.cold_start_secs);
        sum.idle_secs += totals.idle_secs;
        sum.cost += totals.cost;
    }
    sum
}
