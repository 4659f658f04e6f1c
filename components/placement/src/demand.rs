//! The demand for one model as one router sees it, and the number of replicas that the model needs.
//!
//! Load pattern: demand shifts within a second to a model with a single replica, or returns for all models at once
//! after a power failure. An engine processes prompts one after another, so a single replica is soon late with all of
//! them, and the pauses of its streams grow with the prompts that it processes. The time that a model takes for a
//! prompt is not known beforehand, and small models are ten times as fast as large ones; it is learned from first
//! events.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::remaining_weight;

/// Assumed prefill time per token before any first event, in milliseconds; the first few events correct it.
const INITIAL_MS_PER_TOKEN: f64 = 0.03;
/// Assumed time before the first event that doesn't depend on the prompt, in milliseconds, until events have been seen.
const INITIAL_FIXED_MS: f64 = 5.0;
/// The weight of the initial assumptions, in number of events.
const INITIAL_WEIGHT: f64 = 2.0;
/// The prompt length for which the initial assumptions are entered, in tokens.
const INITIAL_PROMPT_TOKENS: f64 = 1_000.0;
/// Factor on the weight of older events with each new one: about the last fifty count.
const EVENT_DECAY: f64 = 0.98;
/// The weight of an event that came later than expected: the request may have waited for work that this router doesn't
/// know of.
const LATE_EVENT_WEIGHT: f64 = 0.2;
/// An event counts as no later than this many times the expected time; otherwise a single one would outweigh all
/// others.
const MAX_LATENESS_FACTOR: f64 = 4.0;
/// A model is never taken to be more than this many times slower or faster than initially assumed.
const MAX_SPEED_RATIO: f64 = 20.0;
/// Time constant of the arrival rate: a shift of demand shows within a second, and ten arrivals are enough to judge.
const ARRIVAL_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// The part of an endpoint's time that may go into prefill while there is room for more replicas. Beyond it prompts
/// queue, and streams pause.
const MAX_PREFILL_LOAD: f64 = 0.6;
/// The part of an endpoint's slots that may be taken by the streams of one model.
pub const MAX_MODEL_SLOT_SHARE: f64 = 0.6;
/// Prompts that wait for a model are to be processed within this time after the model is loaded.
const WAITING_PROMPTS_TARGET: Duration = Duration::from_millis(500);

/// The demand for one model at one router.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    latency: LatencyFit,
    arrivals: Arrivals,
}

/// The rate at which requests arrive at one router.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    /// Prompt tokens a second, decaying.
    token_rate: f64,
    /// Requests a second, decaying.
    request_rate: f64,
    /// When the rates were last updated.
    updated: Option<Instant>,
}

impl Arrivals {
    /// Counts a request.
    pub fn record(&mut self, tokens: u32, now: Instant) {
        let weight = self.weight(now);
        self.token_rate =
            self.token_rate * weight + f64::from(tokens) / ARRIVAL_TIME_CONSTANT.as_secs_f64();
        self.request_rate = self.request_rate * weight + 1.0 / ARRIVAL_TIME_CONSTANT.as_secs_f64();
        self.updated = Some(now);
    }

    /// Requests per second.
    pub fn request_rate(&self, now: Instant) -> f64 {
        self.request_rate * self.weight(now)
    }

    fn weight(&self, now: Instant) -> f64 {
        remaining_weight(self.updated, now, ARRIVAL_TIME_CONSTANT)
    }
}

/// A linear fit of the time until the first event (`y`, in milliseconds) over the prompt tokens to be processed before
/// it (`x`), as weighted sums. The slope is the prefill time per token, the intercept the time that is not prefill. The
/// intercept differs tenfold among engines; if it counted as prefill, models would seem to need several times the
/// endpoints that they do.
#[derive(Debug, Clone, Copy)]
struct LatencyFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for LatencyFit {
    fn default() -> Self {
        let mut fit = Self { weight: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0 };
        fit.add(0.0, INITIAL_FIXED_MS, INITIAL_WEIGHT);
        fit.add(
            INITIAL_PROMPT_TOKENS,
            INITIAL_FIXED_MS + INITIAL_PROMPT_TOKENS * INITIAL_MS_PER_TOKEN,
            INITIAL_WEIGHT,
        );
        fit
    }
}

impl LatencyFit {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn decay(&mut self) {
        for sum in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= EVENT_DECAY;
        }
    }

    fn ms_per_token(&self) -> f64 {
        let variance = self.weight * self.xx - self.x * self.x;
        let slope = (self.weight * self.xy - self.x * self.y) / variance.max(f64::MIN_POSITIVE);
        slope.clamp(INITIAL_MS_PER_TOKEN / MAX_SPEED_RATIO, INITIAL_MS_PER_TOKEN * MAX_SPEED_RATIO)
    }

    /// The time until the first event without any prompt tokens, in milliseconds.
    fn fixed_ms(&self) -> f64 {
        ((self.y - self.ms_per_token() * self.x) / self.weight).max(0.0)
    }
}

/// What one router knows that decides how many replicas a model needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingInputs {
    /// Routers that callers are spread over.
    pub routers: u32,
    /// Requests for the model that this router has at endpoints.
    pub running: u32,
    /// Requests that one endpoint runs at once.
    pub slots: u32,
    /// Requests that wait for the model at this router, and their total prefill time.
    pub waiting: (u32, Duration),
    /// Whether accelerator memory is scarce, so that models wait for room.
    pub memory_scarce: bool,
}

/// Extrapolates `value`, which one router has seen in `count` requests, to all routers: as much for each, less what
/// chance may have added. One request for a rare model says nothing about the other routers; ten say that most of them
/// have some.
fn extrapolate(value: f64, count: f64, routers: u32) -> f64 {
    let confidence = if count > 1.0 { 1.0 - 1.0 / count.sqrt() } else { 0.0 };
    value * (1.0 + f64::from(routers.saturating_sub(1)) * confidence)
}

impl Demand {
    /// The time that an idle endpoint takes to process a prompt of this model.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.latency.ms_per_token() * f64::from(tokens) / 1_000.0)
    }

    /// Counts a request that arrived at this router.
    pub fn record_arrival(&mut self, tokens: u32, now: Instant) {
        self.arrivals.record(tokens, now);
    }

    /// The same model with other arrivals.
    pub fn with_arrivals(self, arrivals: Arrivals) -> Self {
        Self { arrivals, ..self }
    }

    /// The recent rate of requests that arrived at this router, per second.
    pub fn request_rate(&self, now: Instant) -> f64 {
        self.arrivals.request_rate(now)
    }

    /// Learns from a first event that came after `took`, where `expected` is the prefill time of the request's own
    /// prompt and of all prompts before it.
    pub fn learn(&mut self, expected: Duration, took: Duration) {
        let expected = expected.as_secs_f64() * 1_000.0;
        let max = (self.latency.fixed_ms() + expected) * MAX_LATENESS_FACTOR;
        let tokens = expected / self.latency.ms_per_token();
        let took = took.as_secs_f64() * 1_000.0;
        let weight =
            if took > self.latency.fixed_ms() + expected { LATE_EVENT_WEIGHT } else { 1.0 };
        self.latency.decay();
        self.latency.add(tokens, took.min(max), weight);
    }

    /// The prefill time of the requests that arrive through all routers, as a part of one endpoint's time.
    pub fn prefill_load(&self, routers: u32, now: Instant) -> f64 {
        let load =
            self.arrivals.token_rate * self.arrivals.weight(now) * self.latency.ms_per_token()
                / 1_000.0;
        extrapolate(load, self.request_rate(now) * ARRIVAL_TIME_CONSTANT.as_secs_f64(), routers)
    }

    /// The rate of requests for the model at all routers, per second, given what loaders have reported of it; 0 if they
    /// have reported none.
    pub fn total_request_rate(&self, routers: u32, reported: f64, now: Instant) -> f64 {
        let rate = self.request_rate(now);
        extrapolate(rate, rate * ARRIVAL_TIME_CONSTANT.as_secs_f64(), routers).max(reported)
    }

    /// The prefill time of `rate` requests a second like those that arrived at this router, as a part of one endpoint's
    /// time.
    fn prefill_load_at(&self, rate: f64) -> f64 {
        // Both rates decay alike, so their ratio stays the mean prompt of the last arrivals.
        let Arrivals { token_rate, request_rate, .. } = self.arrivals;
        let seen = request_rate > f64::MIN_POSITIVE;
        let tokens = if seen { token_rate / request_rate } else { INITIAL_PROMPT_TOKENS };
        rate * tokens * self.latency.ms_per_token() / 1_000.0
    }

    /// The number of endpoints that should have the model loaded.
    pub fn replicas_needed(&self, inputs: &ScalingInputs, now: Instant) -> u32 {
        self.replicas_needed_at(inputs, 0.0, now)
    }

    /// The same, given the requests per second of all routers that loaders have reported; 0 if they have reported none.
    /// With 25 routers each of them extrapolates from its own tenth request on, and the loaders know of the first ones.
    pub fn replicas_needed_at(&self, inputs: &ScalingInputs, reported: f64, now: Instant) -> u32 {
        let ScalingInputs { routers, running, slots, waiting: (count, prefill), memory_scarce } =
            *inputs;
        let running = f64::from(running);
        let for_streams =
            extrapolate(running, running, routers) / f64::from(slots.max(1)) / MAX_MODEL_SLOT_SHARE;
        let for_waiting = extrapolate(prefill.as_secs_f64(), f64::from(count), routers)
            / WAITING_PROMPTS_TARGET.as_secs_f64();
        let prefill_load = self.prefill_load(routers, now).max(self.prefill_load_at(reported));
        let for_prefill = prefill_load / MAX_PREFILL_LOAD + for_waiting;
        // While other models wait for room, each further replica takes memory from them.
        let needed = if memory_scarce { for_streams } else { for_prefill.max(for_streams) };
        needed.ceil().max(1.0) as u32
    }
}

#[cfg(test)]
mod tests;
