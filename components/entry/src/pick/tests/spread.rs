//! A simulation of entries that share a model's replicas, in virtual time: what packing saves and costs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};
use units::{EndpointId, ModelName};
use wire::Report;

use crate::breaker::Admission;
use crate::load::{Loads, Place};
use crate::pick::{Choice, Policy, pick};

const ENTRIES: usize = 4;
const REPLICAS: usize = 4;
const BATCH: u32 = 8;
/// A replica is unloaded after this time without a request.
const KEEP_WARM: Duration = Duration::from_secs(60);
const SPAN: Duration = Duration::from_secs(1800);
/// The mean time that a request runs.
const SERVICE: f64 = 2.0;

/// What a simulation showed.
#[derive(Debug)]
struct Shown {
    /// Loaded time of all replicas as a share of the span.
    warm: f64,
    /// Waits for a place in a batch, in order.
    waits: Vec<Duration>,
}

#[derive(Debug)]
struct Replica {
    places: Semaphore,
    arrivals: Mutex<Vec<Instant>>,
    waiting: Mutex<u32>,
}

impl Replica {
    fn new() -> Self {
        let places = Semaphore::new(BATCH as usize);
        Self { places, arrivals: Mutex::default(), waiting: Mutex::new(0) }
    }

    fn report(&self) -> Report {
        let running = BATCH as usize - self.places.available_permits();
        Report {
            waiting: *self.waiting.lock().expect("unpoisoned"),
            running: u32::try_from(running).expect("a batch is small"),
            awake: REPLICAS as u32,
            ..Report::default()
        }
    }

    /// How long it was loaded, if it unloads when no request has come for a while.
    fn warm(&self) -> Duration {
        let arrivals = self.arrivals.lock().expect("unpoisoned");
        let gaps = arrivals.windows(2).map(|pair| (pair[1] - pair[0]).min(KEEP_WARM));
        let last = if arrivals.is_empty() { Duration::ZERO } else { KEEP_WARM };
        gaps.sum::<Duration>() + last
    }
}

/// Runs entries with requests at a rate for all of them together.
async fn simulate(rate: f64, packed: bool) -> Shown {
    let replicas: Arc<Vec<Replica>> = Arc::new((0..REPLICAS).map(|_| Replica::new()).collect());
    let waits = Arc::new(Mutex::new(Vec::new()));
    let mut entries = tokio::task::JoinSet::new();
    for seed in 0..ENTRIES as u64 {
        entries.spawn(entry(seed, rate / ENTRIES as f64, packed, replicas.clone(), waits.clone()));
    }
    entries.join_all().await;
    sleep(Duration::from_secs(60)).await;
    let mut waits = std::mem::take(&mut *waits.lock().expect("unpoisoned"));
    waits.sort_unstable();
    let warm: Duration = replicas.iter().map(Replica::warm).sum();
    Shown { warm: warm.as_secs_f64() / SPAN.as_secs_f64(), waits }
}

/// Sends requests with random gaps; runs of its own for each request.
async fn entry(
    seed: u64,
    rate: f64,
    packed: bool,
    replicas: Arc<Vec<Replica>>,
    waits: Arc<Mutex<Vec<Duration>>>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let loads = Loads::default();
    let end = Instant::now() + SPAN;
    loop {
        sleep(exponential(&mut rng, 1.0 / rate)).await;
        if Instant::now() >= end {
            return;
        }
        let policy = Policy { awake: REPLICAS, packed, batch: BATCH, probes: true };
        let choices: Vec<Choice> = (0..REPLICAS).map(|at| choice(&loads, at)).collect();
        let at = pick(&choices, &policy, &mut rng).expect("there are replicas");
        let service = exponential(&mut rng, SERVICE);
        tokio::spawn(request(at, service, loads.clone(), replicas.clone(), waits.clone()));
    }
}

async fn request(
    at: usize,
    service: Duration,
    loads: Loads,
    replicas: Arc<Vec<Replica>>,
    waits: Arc<Mutex<Vec<Duration>>>,
) {
    let began = Instant::now();
    let replica = &replicas[at];
    let _ticket = loads.start(place(at));
    replica.arrivals.lock().expect("unpoisoned").push(began);
    *replica.waiting.lock().expect("unpoisoned") += 1;
    let _running = replica.places.acquire().await.expect("never closed");
    *replica.waiting.lock().expect("unpoisoned") -= 1;
    loads.note(&place(at), &replica.report());
    waits.lock().expect("unpoisoned").push(began.elapsed());
    sleep(service).await;
}

fn choice(loads: &Loads, at: usize) -> Choice {
    let load = loads.look(&place(at));
    Choice {
        endpoint: place(at).endpoint,
        near: true,
        requests: load.requests,
        lasting: load.lasting,
        admission: Admission::Closed,
        saves: 0.0,
    }
}

fn place(at: usize) -> Place {
    let endpoint: EndpointId = format!("likhari-{at}").parse().expect("an endpoint id");
    let model: ModelName = "page-text".parse().expect("a model name");
    Place { endpoint, model }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}

fn percentile(shown: &Shown, part: f64) -> Duration {
    let at = (shown.waits.len() as f64 * part) as usize;
    shown.waits[at.min(shown.waits.len() - 1)]
}

/// Compares both policies at a load, as a share of what all replicas can run; prints a row for the docs.
async fn compare(load: f64) -> (Shown, Shown) {
    let rate = load * f64::from(BATCH) * REPLICAS as f64 / SERVICE;
    let spread = simulate(rate, false).await;
    let packed = simulate(rate, true).await;
    println!(
        "load {load:>5}: warm replicas {:.2} spread, {:.2} packed; wait p95 {:?} and {:?}, p99 {:?} and {:?}",
        spread.warm,
        packed.warm,
        percentile(&spread, 0.95),
        percentile(&packed, 0.95),
        percentile(&spread, 0.99),
        percentile(&packed, 0.99),
    );
    (spread, packed)
}

#[tokio::test(start_paused = true)]
async fn can_free_replicas_at_low_load_and_use_all_at_high_load() {
    let limit = Duration::from_millis(100);
    for load in [0.01, 0.05, 0.1, 0.2] {
        let (spread, packed) = compare(load).await;
        assert!(packed.warm < spread.warm, "fewer replicas are kept loaded");
        assert!(percentile(&packed, 0.95) <= percentile(&spread, 0.95) + limit);
    }
    for load in [0.4, 0.6, 0.8] {
        let (spread, packed) = compare(load).await;
        assert!(percentile(&packed, 0.95) <= percentile(&spread, 0.95) + limit);
    }
}
