//! Arrivals drawn from a seed: the same experiment file gives the same trace.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{Rate, Span};

use crate::experiment::{Experiment, Load, Shape, Target};

/// One request to come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Arrival {
    /// When.
    pub(crate) at: Duration,
    /// Which load of the experiment it belongs to.
    pub(crate) load: usize,
    /// Which of the load's models it asks for.
    pub(crate) model: usize,
    /// Its number within the load.
    pub(crate) number: usize,
}

/// All arrivals of an experiment in their order.
pub(crate) fn arrivals(experiment: &Experiment) -> Vec<Arrival> {
    let mut all: Vec<Arrival> = Vec::new();
    for (index, load) in experiment.loads.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(experiment.seed);
        rng.set_stream(index as u64);
        let end = load.to.unwrap_or(experiment.lasts).0;
        let lasts = end.saturating_sub(load.from.0);
        for (number, (at, wave)) in times(load.shape, lasts, &mut rng).into_iter().enumerate() {
            let model = match wave {
                Some(wave) => wave % models(load),
                None => pick(load, &mut rng),
            };
            all.push(Arrival { at: load.from.0 + at, load: index, model, number });
        }
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.load, arrival.number));
    all
}

/// The times of a load, each with its wave if it comes in waves.
fn times(shape: Shape, lasts: Duration, rng: &mut ChaCha8Rng) -> Vec<(Duration, Option<usize>)> {
    match shape {
        Shape::WakeBurst { count, spread, every } => waves(count, spread, every, lasts, rng),
        _ => thinned(shape, lasts, rng).into_iter().map(|at| (at, None)).collect(),
    }
}

fn waves(
    count: u32,
    spread: Span,
    every: Span,
    lasts: Duration,
    rng: &mut ChaCha8Rng,
) -> Vec<(Duration, Option<usize>)> {
    let mut times = Vec::new();
    let mut begin = Duration::ZERO;
    let mut wave = 0;
    while begin < lasts {
        let mut own: Vec<Duration> =
            (0..count).map(|_| begin + spread.0.mul_f64(rng.random())).collect();
        own.sort();
        times.extend(own.into_iter().map(|at| (at, Some(wave))));
        wave += 1;
        if every.0.is_zero() {
            break;
        }
        begin += every.0;
    }
    times
}

/// A Poisson process whose rate follows the shape: draws at the peak rate and drops what is too much.
fn thinned(shape: Shape, lasts: Duration, rng: &mut ChaCha8Rng) -> Vec<Duration> {
    let peak = peak(shape);
    let mut times = Vec::new();
    if peak <= 0.0 {
        return times;
    }
    let mut at = 0.0;
    loop {
        let draw: f64 = rng.random();
        at -= (1.0 - draw).ln() / peak;
        if at >= lasts.as_secs_f64() {
            break;
        }
        let kept: f64 = rng.random();
        if kept * peak < rate(shape, at, lasts.as_secs_f64()) {
            times.push(Duration::from_secs_f64(at));
        }
    }
    times
}

fn peak(shape: Shape) -> f64 {
    match shape {
        Shape::Steady { rate } | Shape::IdleTail { rate, .. } => rate.0,
        Shape::MonthEnd { base, peak } | Shape::TermClose { base, peak, .. } => peak.0.max(base.0),
        Shape::WakeBurst { .. } => 0.0,
    }
}

/// The rate at a time.
fn rate(shape: Shape, at: f64, lasts: f64) -> f64 {
    let between = |base: Rate, peak: Rate, part: f64| base.0 + (peak.0 - base.0) * part;
    match shape {
        Shape::Steady { rate } => rate.0,
        Shape::MonthEnd { base, peak } => between(base, peak, (at / lasts).powi(3)),
        Shape::TermClose { base, peak, closes } => {
            let closes = closes.0.as_secs_f64();
            if at < closes { between(base, peak, at / closes) } else { base.0 }
        }
        Shape::IdleTail { rate, half } => rate.0 * (-at / half.0.as_secs_f64()).exp2(),
        Shape::WakeBurst { .. } => 0.0,
    }
}

fn models(load: &Load) -> usize {
    match &load.target {
        Target::Models { names, .. } => names.len().max(1),
        Target::Unrepeatable => 1,
    }
}

/// Draws a model: the one at place `k` with weight `1 / k^skew`.
fn pick(load: &Load, rng: &mut ChaCha8Rng) -> usize {
    let skew = match &load.target {
        Target::Models { skew, .. } => *skew,
        Target::Unrepeatable => 0.0,
    };
    let weight = |place: usize| (place as f64 + 1.0).powf(-skew);
    let count = models(load);
    let total: f64 = (0..count).map(weight).sum();
    let draw: f64 = rng.random();
    let mut left = draw * total;
    for place in 0..count {
        left -= weight(place);
        if left < 0.0 {
            return place;
        }
    }
    count - 1
}

#[cfg(test)]
mod tests;
