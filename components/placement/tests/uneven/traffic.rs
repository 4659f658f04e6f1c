//! The load: a few busy models and many rare ones.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::day::{ROUTERS, Setup};
use crate::routers::Arrival;

pub(crate) const MODELS: usize = 116;
/// Requests per second, for each unit of the scale of a run.
const RATE: f64 = 177.0;
/// The longest pause that the route allows.
pub(crate) const MAX_PAUSE: Duration = Duration::from_millis(300);
/// Target of requests that callers wait for at a screen, and of others.
const TARGETS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(4_000)];
/// The part of the requests that have the long target.
const LONG_TARGETS: f64 = 0.2;
/// The time that the stream of a request takes without pauses at a nominal endpoint, least and most.
const STREAM_MS: [u64; 2] = [1_000, 4_000];
/// The nominal prefill time per token.
pub(crate) const PREFILL_US_PER_TOKEN: u64 = 30;

/// The number of endpoints that hold a model at first.
pub(crate) fn first_replicas(model: usize) -> usize {
    match model {
        0 => 2,
        1 => 4,
        2..20 => 2,
        _ => 1,
    }
}

/// The share of the requests that are for a model.
pub(crate) fn share(model: usize) -> f64 {
    match model {
        0 => 0.12,
        1 => 0.06,
        2..20 => 0.45 / 18.0,
        _ => 0.37 / (MODELS - 20) as f64,
    }
}

/// A request at its time, the router that it arrives at, and the nominal time of its stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub(crate) at: Duration,
    pub(crate) router: usize,
    pub(crate) arrival: Arrival,
    pub(crate) stream: Duration,
}

/// All requests of a run.
pub(crate) fn requests(setup: &Setup, rng: &mut impl Rng) -> Vec<Request> {
    let rate = RATE * f64::from(setup.scale) * setup.load;
    let mut requests = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        if at >= setup.run_time {
            return requests;
        }
        let target = TARGETS[usize::from(rng.random_bool(LONG_TARGETS))];
        let (model, tokens) = (draw_model(rng), rng.random_range(100..1_500));
        let arrival = Arrival { model, tokens, target, seed: rng.random() };
        let stream = Duration::from_millis(rng.random_range(STREAM_MS[0]..STREAM_MS[1]));
        requests.push(Request { at, router: rng.random_range(0..ROUTERS), arrival, stream });
    }
}

fn draw_model(rng: &mut impl Rng) -> usize {
    let mut left: f64 = rng.random();
    let found = (0..MODELS).find(|model| {
        left -= share(*model);
        left < 0.0
    });
    found.unwrap_or(MODELS - 1)
}
