//! Seeded request traces that have the shape of the demand of two users.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The seconds in an hour and in a day.
pub(crate) const HOUR: f64 = 3600.0;
pub(crate) const DAY: f64 = 24.0 * HOUR;
/// The number of days in one trace.
pub(crate) const DAYS: u32 = 30;

/// The requests for one model, with its costs.
#[derive(Debug, Clone)]
pub(crate) struct Trace {
    /// Arrival times in seconds, in order.
    pub(crate) arrivals: Vec<f64>,
    /// The size of the weights in GiB.
    pub(crate) weights: f64,
    /// The cost of a second of cold start for this model.
    pub(crate) cold_start_weight: f64,
    /// The cost of a second of an idle replica.
    pub(crate) idle_weight: f64,
}

/// A user whose demand is simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shape {
    /// Kiosks and classes by day, series at night, four times as much at term close.
    Press,
    /// Tickets by night, bills and contracts by day, eight times as much at month-end.
    Trust,
}

impl Shape {
    /// The cost of a second of an idle replica, as in the user's example tree.
    fn idle_weight(self) -> f64 {
        match self {
            Self::Press => 1.0,
            Self::Trust => 1.5,
        }
    }

    /// The name of the user.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Press => "press",
            Self::Trust => "trust",
        }
    }
}

/// The parameters of the demand for one model. Hours are hours of the day, `spacing` is in seconds.
struct DemandPattern {
    sessions: f64,
    opens: f64,
    closes: f64,
    burst: (u32, u32),
    spacing: f64,
    tail: f64,
    rush: f64,
    weights: f64,
    cold_start_weight: f64,
}

/// Generates the traces of all models of a user.
pub(crate) fn traces(shape: Shape, seed: u64) -> Vec<Trace> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let idle = shape.idle_weight();
    match shape {
        Shape::Press => (0..70).map(|i| trace(&press(i, &mut rng), idle, &mut rng)).collect(),
        Shape::Trust => (0..100).map(|i| trace(&trust(i, &mut rng), idle, &mut rng)).collect(),
    }
}

/// A random number of sessions per day between 0.2 and 12, such that few models are used often and most rarely.
fn random_sessions(rng: &mut ChaCha8Rng) -> f64 {
    0.2 * 60_f64.powf(rng.random::<f64>().powi(2))
}

fn press(i: usize, rng: &mut ChaCha8Rng) -> DemandPattern {
    let sessions = random_sessions(rng);
    match i {
        0..22 => DemandPattern {
            sessions: sessions * 3.0,
            opens: 9.0,
            closes: 19.0,
            burst: (2, 8),
            spacing: 15.0,
            tail: 0.5,
            rush: 2.0,
            weights: 6.0,
            cold_start_weight: 50.0,
        },
        22..52 => DemandPattern {
            sessions,
            opens: 7.0,
            closes: 15.0,
            burst: (8, 30),
            spacing: 4.0,
            tail: 0.4,
            rush: 4.0,
            weights: 8.0,
            cold_start_weight: 20.0,
        },
        _ => DemandPattern {
            sessions: sessions * 0.3,
            opens: 20.0,
            closes: 23.0,
            burst: (40, 200),
            spacing: 5.0,
            tail: 0.1,
            rush: 4.0,
            weights: 14.0,
            cold_start_weight: 1.0,
        },
    }
}

fn trust(i: usize, rng: &mut ChaCha8Rng) -> DemandPattern {
    let sessions = random_sessions(rng);
    match i {
        0..20 => DemandPattern {
            sessions,
            opens: 0.0,
            closes: 24.0,
            burst: (1, 4),
            spacing: 40.0,
            tail: 0.6,
            rush: 1.5,
            weights: 8.0,
            cold_start_weight: 75.0,
        },
        20..75 => DemandPattern {
            sessions,
            opens: 8.0,
            closes: 18.0,
            burst: (2, 10),
            spacing: 20.0,
            tail: 0.5,
            rush: 8.0,
            weights: 8.0,
            cold_start_weight: 15.0,
        },
        _ => DemandPattern {
            sessions: sessions * 0.5,
            opens: 6.0,
            closes: 22.0,
            burst: (1, 30),
            spacing: 8.0,
            tail: 0.2,
            rush: 3.0,
            weights: 16.0,
            cold_start_weight: 1.5,
        },
    }
}

/// A Poisson-distributed number of events with this mean.
fn poisson(mean: f64, rng: &mut ChaCha8Rng) -> u32 {
    let limit = (-mean).exp();
    let (mut count, mut product) = (0, rng.random::<f64>());
    while product > limit && count < 1000 {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}

fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn trace(pattern: &DemandPattern, idle_weight: f64, rng: &mut ChaCha8Rng) -> Trace {
    let mut arrivals = Vec::new();
    for day in 0..DAYS {
        let rush = if day >= DAYS - 4 { pattern.rush } else { 1.0 };
        for _ in 0..poisson(pattern.sessions * rush, rng) {
            let hour = rng.random_range(pattern.opens..pattern.closes);
            session(f64::from(day) * DAY + hour * HOUR, pattern, &mut arrivals, rng);
        }
    }
    arrivals.sort_by(f64::total_cmp);
    Trace {
        arrivals,
        weights: pattern.weights,
        cold_start_weight: pattern.cold_start_weight,
        idle_weight,
    }
}

/// Adds a burst of requests that come through many routers at the same time, then single requests with growing gaps.
fn session(start: f64, pattern: &DemandPattern, arrivals: &mut Vec<f64>, rng: &mut ChaCha8Rng) {
    let mut at = start;
    for _ in 0..rng.random_range(pattern.burst.0..=pattern.burst.1) {
        arrivals.push(at);
        at += exponential(pattern.spacing, rng);
    }
    let mut gap = pattern.spacing * 4.0;
    while rng.random::<f64>() < pattern.tail {
        at += exponential(gap, rng);
        gap *= 3.0;
        arrivals.push(at);
    }
}
