//! Replays seeded traces against the ways to keep replicas warm and prints what each costs.
//!
//! `cargo run --release -p policy --example keepwarm [SEEDS]`

mod trace;

use std::time::Duration;

use policy::{Costs, Gaps, KeepWarm};
use trace::{HOUR, Shape, Trace, traces};

/// How long a request keeps its replica busy, in seconds.
const BUSY: f64 = 4.0;
/// The engine's own part of a cold start, in seconds.
const ENGINE: f64 = 12.0;
/// Bytes a second of one lane of the store, in GiB.
const LANE: f64 = 1.0;
/// Lanes of the store at full speed.
const LANES: usize = 4;
/// The pause between two starts of the store, in seconds.
const TURN: f64 = 1.0 / 7.0;
/// The operator's limit on staying warm.
const MOST: Duration = Duration::from_secs(6 * 3600);

/// Cold weights against idle weights that are tried for all models.
const RATIOS: [f64; 5] = [1.0, 3.0, 10.0, 30.0, 100.0];

/// A way to choose how long to stay.
#[derive(Debug, Clone, Copy)]
enum Chooser {
    Policy(KeepWarm),
    /// Knows the next gap.
    Clairvoyant,
}

/// The outcome of one replay.
#[derive(Debug, Default)]
struct Tally {
    requests: u64,
    waits: Vec<f64>,
    colds: Vec<f64>,
    idle: f64,
    cost: f64,
}

/// Loads under way at the store: when each ends.
#[derive(Debug, Default)]
struct Store {
    ends: Vec<f64>,
    turn: f64,
}

impl Store {
    /// How long a load that is asked for now takes; what runs already slows it down.
    fn load(&mut self, now: f64, weights: f64) -> f64 {
        self.ends.retain(|end| *end > now);
        let start = now.max(self.turn);
        self.turn = start + TURN;
        #[expect(clippy::cast_precision_loss, reason = "few loads run at the same time")]
        let share = ((self.ends.len() + 1) as f64 / LANES as f64).max(1.0);
        let fetched = start + weights / LANE * share;
        self.ends.push(fetched);
        fetched + ENGINE - now
    }
}

#[derive(Debug, Default)]
struct Replica {
    gaps: Gaps,
    /// When it is free; with `ready` before `free` it is warm until it has stayed.
    free: f64,
    ready: f64,
    stay: f64,
    started: bool,
}

fn alone(trace: &Trace) -> f64 {
    trace.weights / LANE + ENGINE
}

fn costs(trace: &Trace) -> Costs {
    let cold = Duration::from_secs_f64(alone(trace));
    Costs { cold, cold_weight: trace.cold_weight, idle_weight: trace.idle_weight }
}

fn replay(traces: &[Trace], chooser: Chooser) -> Tally {
    let mut tally = Tally::default();
    let mut store = Store::default();
    let mut replicas: Vec<Replica> = traces.iter().map(|_| Replica::default()).collect();
    let all = traces.iter().enumerate();
    let mut events: Vec<(f64, usize)> =
        all.flat_map(|(i, trace)| trace.arrivals.iter().map(move |at| (*at, i))).collect();
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, i) in events {
        arrive(at, &traces[i], &mut replicas[i], &mut store, chooser, &mut tally);
    }
    for (replica, trace) in replicas.iter().zip(traces) {
        // The last stay runs out; one that knows the future had none.
        if replica.started {
            tally.idle += replica.stay;
            tally.cost += replica.stay * costs(trace).idle_weight;
        }
    }
    tally
}

fn arrive(
    at: f64,
    trace: &Trace,
    replica: &mut Replica,
    store: &mut Store,
    chooser: Chooser,
    tally: &mut Tally,
) {
    let costs = costs(trace);
    tally.requests += 1;
    if replica.started && at < replica.free {
        let wait = (replica.ready - at).max(0.0);
        tally.waits.push(wait);
        replica.free = replica.free.max(at + wait + BUSY);
        return;
    }
    let gap = at - replica.free;
    let stay = match chooser {
        Chooser::Policy(_) => replica.stay,
        Chooser::Clairvoyant if gap * costs.idle_weight <= costs.miss() => gap,
        Chooser::Clairvoyant => 0.0,
    };
    let warm = replica.started && gap <= stay;
    if replica.started {
        tally.idle += gap.min(stay);
        tally.cost += gap.min(stay) * costs.idle_weight;
        replica.gaps.add(Duration::from_secs_f64(gap));
    }
    let wait = if warm { 0.0 } else { store.load(at, trace.weights) };
    if !warm {
        tally.colds.push(wait);
        tally.cost += wait * costs.cold_weight;
    }
    tally.waits.push(wait);
    replica.started = true;
    replica.ready = at + wait;
    replica.free = at + wait + BUSY;
    let stay = match chooser {
        Chooser::Policy(policy) => policy.stay(&replica.gaps, &costs, MOST),
        Chooser::Clairvoyant => Duration::ZERO,
    };
    replica.stay = stay.as_secs_f64();
}

fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index into a list"
    )]
    let at = (values.len() as f64 * part) as usize;
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
        ("even", Chooser::Policy(KeepWarm::Even)),
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
        for ratio in RATIOS {
            compare(shape, seeds, Some(ratio), &some);
        }
    }
}

/// Prints what each policy costs, the last of which knows the future.
fn compare(shape: Shape, seeds: u64, ratio: Option<f64>, choosers: &[(&str, Chooser)]) {
    println!(
        "| {} | starts for 1000 requests | cold p99 s | wait p95 s | wait p99 s | idle h | cost / clairvoyant |",
        shape.name()
    );
    println!("|---|---|---|---|---|---|---|");
    let runs: Vec<Tally> = choosers.iter().map(|(_, one)| run(shape, seeds, ratio, *one)).collect();
    let bound = runs.last().map_or(1.0, |tally| tally.cost);
    let at = ratio.map_or_else(String::new, |ratio| format!(", cold/idle {ratio}"));
    for ((name, _), mut tally) in choosers.iter().zip(runs) {
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let starts = tally.colds.len() as f64 * 1000.0 / tally.requests as f64;
        println!(
            "| {name}{at} | {starts:.0} | {:.1} | {:.1} | {:.1} | {:.0} | {:.2} |",
            quantile(&mut tally.colds, 0.99),
            quantile(&mut tally.waits, 0.95),
            quantile(&mut tally.waits, 0.99),
            tally.idle / HOUR,
            tally.cost / bound,
        );
    }
}

/// Adds up the replays of several seeds.
fn run(shape: Shape, seeds: u64, ratio: Option<f64>, chooser: Chooser) -> Tally {
    let mut sum = Tally::default();
    for seed in 0..seeds {
        let mut traces = traces(shape, seed);
        for trace in &mut traces {
            trace.cold_weight = ratio.map_or(trace.cold_weight, |ratio| ratio * trace.idle_weight);
        }
        let tally = replay(&traces, chooser);
        sum.requests += tally.requests;
        sum.waits.extend(tally.waits);
        sum.colds.extend(tally.colds);
        sum.idle += tally.idle;
        sum.cost += tally.cost;
    }
    sum
}
