//! Replays seeded traces on endpoints with too little memory, and prints what each way to choose who gives
//! way costs.
//!
//! `cargo run --release -p policy --example evict [SEEDS]`

mod trace;

use std::time::Duration;

use policy::{Costs, Gaps, KeepWarm, idle_value};
use trace::{HOUR, Shape, Trace, traces};
use units::Size;

/// How long a request keeps its replica busy, in seconds.
const BUSY: f64 = 4.0;
/// The engine's own part of a cold start, in seconds; the store gives 1 GiB a second.
const ENGINE: f64 = 12.0;
/// KV cache of a replica, in GiB.
const KV: f64 = 2.0;
/// Memories of an endpoint that are tried, in GiB.
const MEMORIES: [f64; 3] = [24.0, 48.0, 80.0];
/// Endpoints that share the models, so that each has several times its memory in models.
const ENDPOINTS: usize = 4;

/// A way to choose who gives way.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// Idle longest.
    Lru,
    /// Idle longest for what a reload costs.
    Stale,
    /// The least likely cold start for each GiB.
    Value,
}

#[derive(Debug, Default)]
struct Tally {
    requests: u64,
    colds: u64,
    cost: f64,
    idle: f64,
    refused: u64,
}

#[derive(Debug, Default)]
struct Replica {
    gaps: Gaps,
    loaded: bool,
    used: bool,
    free: f64,
    stay: f64,
}

fn reload(trace: &Trace) -> f64 {
    trace.weights + ENGINE
}

fn costs(trace: &Trace) -> Costs {
    let cold = Duration::from_secs_f64(reload(trace));
    Costs { cold, cold_weight: trace.cold_weight, idle_weight: trace.idle_weight }
}

/// How much a replica is worth: the lowest goes first.
fn worth(way: Way, trace: &Trace, replica: &Replica, now: f64) -> f64 {
    let idle = now - replica.free;
    match way {
        Way::Lru => -idle,
        Way::Stale => -idle / reload(trace),
        Way::Value => {
            let span = Duration::from_secs_f64(idle);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a few GiB"
            )]
            let memory = Size::gib((trace.weights + KV) as u64);
            idle_value(&replica.gaps, &costs(trace), span, memory)
        }
    }
}

/// Unloads what has stayed long enough.
fn cool(traces: &[&Trace], replicas: &mut [Replica], now: f64, tally: &mut Tally) {
    for (trace, replica) in traces.iter().zip(replicas) {
        if replica.loaded && now > replica.free + replica.stay {
            replica.loaded = false;
            tally.idle += replica.stay;
            tally.cost += replica.stay * trace.idle_weight;
        }
    }
}

/// Makes room for a load; whether there is enough.
fn make_room(
    traces: &[&Trace],
    replicas: &mut [Replica],
    need: f64,
    now: f64,
    (memory, way): (f64, Way),
    tally: &mut Tally,
) -> bool {
    loop {
        let all = traces.iter().zip(&*replicas).filter(|(_, replica)| replica.loaded);
        let taken: f64 = all.map(|(trace, _)| trace.weights + KV).sum();
        if taken + need <= memory {
            return true;
        }
        let idle = (0..traces.len()).filter(|i| replicas[*i].loaded && replicas[*i].free < now);
        let worth = |i: &usize| worth(way, traces[*i], &replicas[*i], now);
        let Some(victim) = idle.min_by(|a, b| worth(a).total_cmp(&worth(b))) else {
            return false;
        };
        replicas[victim].loaded = false;
        let idle = now - replicas[victim].free;
        tally.idle += idle;
        tally.cost += idle * traces[victim].idle_weight;
    }
}

fn replay(traces: &[&Trace], way: (f64, Way), warm: KeepWarm, tally: &mut Tally) {
    let mut replicas: Vec<Replica> = traces.iter().map(|_| Replica::default()).collect();
    let all = traces.iter().enumerate();
    let mut events: Vec<(f64, usize)> =
        all.flat_map(|(i, trace)| trace.arrivals.iter().map(move |at| (*at, i))).collect();
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, i) in events {
        tally.requests += 1;
        if replicas[i].loaded && at < replicas[i].free {
            replicas[i].free = replicas[i].free.max(at + BUSY);
            continue;
        }
        cool(traces, &mut replicas, at, tally);
        if replicas[i].used {
            let gap = Duration::from_secs_f64((at - replicas[i].free).max(0.0));
            replicas[i].gaps.add(gap);
        }
        let mut wait = 0.0;
        if replicas[i].loaded {
            let idle = at - replicas[i].free;
            tally.idle += idle;
            tally.cost += idle * traces[i].idle_weight;
        } else {
            let need = traces[i].weights + KV;
            if !make_room(traces, &mut replicas, need, at, way, tally) {
                tally.refused += 1;
                continue;
            }
            wait = reload(traces[i]);
            tally.colds += 1;
            tally.cost += wait * traces[i].cold_weight;
        }
        let costs = costs(traces[i]);
        let replica = &mut replicas[i];
        replica.loaded = true;
        replica.used = true;
        replica.free = at + wait + BUSY;
        let most = Duration::from_secs(6 * 3600);
        replica.stay = warm.stay(&replica.gaps, &costs, most).as_secs_f64();
    }
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(5);
    println!(
        "| user | memory | stays | who gives way | cold starts | refused | idle h | cost / idle longest |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let hour = KeepWarm::Fixed(Duration::from_secs(3600));
    for shape in [Shape::Press, Shape::Trust] {
        for memory in MEMORIES {
            compare(shape, seeds, memory, "an hour", hour);
            compare(shape, seeds, memory, "cheapest", KeepWarm::Cheapest);
        }
    }
}

fn compare(shape: Shape, seeds: u64, memory: f64, stays: &str, warm: KeepWarm) {
    let ways = [
        ("idle longest", Way::Lru),
        ("idle longest for its reload", Way::Stale),
        ("least value", Way::Value),
    ];
    let mut bound = None;
    for (name, way) in ways {
        let mut tally = Tally::default();
        for seed in 0..seeds {
            let all = traces(shape, seed);
            for endpoint in 0..ENDPOINTS {
                let own: Vec<&Trace> = all.iter().skip(endpoint).step_by(ENDPOINTS).collect();
                replay(&own, (memory, way), warm, &mut tally);
            }
        }
        let bound = *bound.get_or_insert(tally.cost);
        println!(
            "| {} | {memory} GiB | {stays} | {name} | {} | {} | {:.0} | {:.3} |",
            shape.name(),
            tally.colds,
            tally.refused,
            tally.idle / HOUR,
            tally.cost / bound,
        );
    }
}
