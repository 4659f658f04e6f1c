//! Replays seeded traces on endpoints with too little memory, and prints the cost of each eviction policy.
//!
//! `cargo run --release -p policy --example evict [SEEDS]`

mod trace;

use std::time::Duration;

use policy::{Costs, Gaps, KeepWarm, eviction_cost};
use trace::{HOUR, Shape, Trace, traces};
use units::Size;

/// How long a request keeps its replica busy, in seconds.
const REQUEST_SECS: f64 = 4.0;
/// The engine's part of a cold start, in seconds. The store transfers 1 GiB per second.
const ENGINE_START_SECS: f64 = 12.0;
/// The KV cache of a replica, in GiB.
const KV_CACHE_GIB: f64 = 2.0;
/// The memory sizes of an endpoint that are compared, in GiB.
const MEMORIES_GIB: [f64; 3] = [24.0, 48.0, 80.0];
/// The number of endpoints that share the models. It is small enough that the models of each endpoint need several times
/// its memory.
const ENDPOINTS: usize = 4;

/// A policy to choose the replica to evict.
#[derive(Debug, Clone, Copy)]
enum EvictionPolicy {
    /// The replica that has been idle longest.
    Lru,
    /// The replica with the longest idle time relative to its reload time.
    LruPerReload,
    /// The replica with the lowest expected cold start cost per GiB.
    ExpectedCost,
}

/// The totals over all replays.
#[derive(Debug, Default)]
struct Totals {
    requests: u64,
    cold_starts: u64,
    cost: f64,
    idle_secs: f64,
    refused: u64,
}

/// One model's replica; times are seconds from the start of the trace.
#[derive(Debug, Default)]
struct Replica {
    gaps: Gaps,
    loaded: bool,
    was_used: bool,
    busy_until: f64,
    keep_secs: f64,
}

fn reload_secs(trace: &Trace) -> f64 {
    trace.weights + ENGINE_START_SECS
}

fn costs(trace: &Trace) -> Costs {
    let cold = Duration::from_secs_f64(reload_secs(trace));
    Costs {
        cold_start: cold,
        cold_start_weight: trace.cold_start_weight,
        idle_weight: trace.idle_weight,
    }
}

/// The value of keeping a replica loaded; the replica with the lowest value is evicted first.
fn retention_value(eviction: EvictionPolicy, trace: &Trace, replica: &Replica, now: f64) -> f64 {
    let idle = now - replica.busy_until;
    match eviction {
        EvictionPolicy::Lru => -idle,
        EvictionPolicy::LruPerReload => -idle / reload_secs(trace),
        EvictionPolicy::ExpectedCost => {
            let span = Duration::from_secs_f64(idle);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a few GiB"
            )]
            let memory = Size::gib((trace.weights + KV_CACHE_GIB) as u64);
            eviction_cost(&replica.gaps, &costs(trace), span, memory)
        }
    }
}

/// Unloads replicas whose keep time is over.
fn unload_expired(traces: &[&Trace], replicas: &mut [Replica], now: f64, totals: &mut Totals) {
    for (trace, replica) in traces.iter().zip(replicas) {
        if replica.loaded && now > replica.busy_until + replica.keep_secs {
            replica.loaded = false;
            totals.idle_secs += replica.keep_secs;
            totals.cost += replica.keep_secs * trace.idle_weight;
        }
    }
}

/// Evicts idle replicas until a load fits. Returns whether it does.
fn make_room(
    traces: &[&Trace],
    replicas: &mut [Replica],
    needed: f64,
    now: f64,
    (memory, eviction): (f64, EvictionPolicy),
    totals: &mut Totals,
) -> bool {
    loop {
        let all = traces.iter().zip(&*replicas).filter(|(_, replica)| replica.loaded);
        let taken: f64 = all.map(|(trace, _)| trace.weights + KV_CACHE_GIB).sum();
        if taken + needed <= memory {
            return true;
        }
        let idle =
            (0..traces.len()).filter(|i| replicas[*i].loaded && replicas[*i].busy_until < now);
        let value = |i: &usize| retention_value(eviction, traces[*i], &replicas[*i], now);
        let Some(victim) = idle.min_by(|a, b| value(a).total_cmp(&value(b))) else {
            return false;
        };
        replicas[victim].loaded = false;
        let idle = now - replicas[victim].busy_until;
        totals.idle_secs += idle;
        totals.cost += idle * traces[victim].idle_weight;
    }
}

fn replay(
    traces: &[&Trace],
    eviction: (f64, EvictionPolicy),
    keep_policy: KeepWarm,
    totals: &mut Totals,
) {
    let mut replicas: Vec<Replica> = traces.iter().map(|_| Replica::default()).collect();
    let all = traces.iter().enumerate();
    let mut events: Vec<(f64, usize)> =
        all.flat_map(|(i, trace)| trace.arrivals.iter().map(move |at| (*at, i))).collect();
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, i) in events {
        totals.requests += 1;
        if replicas[i].loaded && at < replicas[i].busy_until {
            replicas[i].busy_until = replicas[i].busy_until.max(at + REQUEST_SECS);
            continue;
        }
        unload_expired(traces, &mut replicas, at, totals);
        if replicas[i].was_used {
            let gap = Duration::from_secs_f64((at - replicas[i].busy_until).max(0.0));
            replicas[i].gaps.add(gap);
        }
        let mut wait = 0.0;
        if replicas[i].loaded {
            let idle = at - replicas[i].busy_until;
            totals.idle_secs += idle;
            totals.cost += idle * traces[i].idle_weight;
        } else {
            let needed = traces[i].weights + KV_CACHE_GIB;
            if !make_room(traces, &mut replicas, needed, at, eviction, totals) {
                totals.refused += 1;
                continue;
            }
            wait = reload_secs(traces[i]);
            totals.cold_starts += 1;
            totals.cost += wait * traces[i].cold_start_weight;
        }
        let costs = costs(traces[i]);
        let replica = &mut replicas[i];
        replica.loaded = true;
        replica.was_used = true;
        replica.busy_until = at + wait + REQUEST_SECS;
        let max_keep = Duration::from_secs(6 * 3600);
        replica.keep_secs = keep_policy.keep_time(&replica.gaps, &costs, max_keep).as_secs_f64();
    }
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(5);
    println!(
        "| user | memory | keep time | eviction policy | cold starts | refused | idle h | cost / idle longest |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let hour = KeepWarm::Fixed(Duration::from_secs(3600));
    for shape in [Shape::Press, Shape::Trust] {
        for memory in MEMORIES_GIB {
            compare(shape, seeds, memory, "an hour", hour);
            compare(shape, seeds, memory, "cheapest", KeepWarm::Cheapest);
        }
    }
}

fn compare(shape: Shape, seeds: u64, memory: f64, keep_warm: &str, keep_policy: KeepWarm) {
    let policies = [
        ("idle longest", EvictionPolicy::Lru),
        ("idle longest per reload time", EvictionPolicy::LruPerReload),
        ("lowest expected cost", EvictionPolicy::ExpectedCost),
    ];
    let mut baseline = None;
    for (name, eviction) in policies {
        let mut totals = Totals::default();
        for seed in 0..seeds {
            let all = traces(shape, seed);
            for endpoint in 0..ENDPOINTS {
                let assigned: Vec<&Trace> = all.iter().skip(endpoint).step_by(ENDPOINTS).collect();
                replay(&assigned, (memory, eviction), keep_policy, &mut totals);
            }
        }
        let baseline = *baseline.get_or_insert(totals.cost);
        println!(
            "| {} | {memory} GiB | {keep_warm} | {name} | {} | {} | {:.0} | {:.3} |",
            shape.name(),
            totals.cold_starts,
            totals.refused,
            totals.idle_secs / HOUR,
            totals.cost / baseline,
        );
    }
}
