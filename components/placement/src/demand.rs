//! What a model asks of its holders, learned by one router, and how many of them it needs.
//!
//! Load pattern: demand moves within a second to a model that one endpoint holds, or comes for all models at once after
//! a loss of power. Prompts are read one after another, so a single holder is soon late with all of them, and the
//! pauses of its streams grow with what it reads. How long a model takes for a prompt is not known beforehand: small
//! models are ten times as fast as large ones. It is learned from first events.

use std::time::Duration;

use tokio::time::Instant;

use crate::decay::kept;

/// What a token of a prompt is taken to cost before any answer has come, in milliseconds; the first few correct it.
const FIRST: f64 = 0.03;
/// What is taken to pass before any reading, in milliseconds, until answers tell.
const FIXED: f64 = 5.0;
/// How much the first assumptions weigh, in answers.
const PRIOR: f64 = 2.0;
/// Prompts that the first assumptions stand for, in tokens.
const SAMPLE: f64 = 1_000.0;
/// What an answer weighs after each later one: the last fifty count.
const KEPT: f64 = 0.98;
/// What one that came later than expected weighs: it may have waited for work that this router does not know of.
const LATER: f64 = 0.2;
/// No answer counts as later than so many times what was expected, or a single one would say more than all others.
const STRETCH: f64 = 4.0;
/// A model is never taken to read so many times slower or faster than assumed at first.
const RANGE: f64 = 20.0;
/// The time over which arrivals are counted: a shift shows within a second, and ten arrivals are enough to judge.
const SPAN: Duration = Duration::from_secs(1);
/// The part of an endpoint's time that may go into reading prompts while there is room for more holders. Beyond it they
/// queue, and streams pause.
const BUSY: f64 = 0.6;
/// The part of an endpoint's slots that may be taken by one model's streams.
pub const MAX_MODEL_SLOT_SHARE: f64 = 0.6;
/// Prompts that wait for a model are to be read within this time of its load.
const WAVE: Duration = Duration::from_millis(500);

/// What one model asks for at one router.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    line: Line,
    /// Tokens a second, of late.
    rate: f64,
    /// Requests a second, of late.
    count: f64,
    rated: Option<Instant>,
}

/// Times until the first event over tokens that were to be read before it: a line whose rise is the pace, and whose
/// beginning the part that is no reading. That part differs tenfold among engines; taken for reading, it made models
/// seem to need several times the endpoints that they do.
#[derive(Debug, Clone, Copy)]
struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for Line {
    fn default() -> Self {
        let mut line = Self { weight: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0 };
        line.add(0.0, FIXED, PRIOR);
        line.add(SAMPLE, FIXED + SAMPLE * FIRST, PRIOR);
        line
    }
}

impl Line {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn fade(&mut self) {
        for sum in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= KEPT;
        }
    }

    /// Milliseconds a token.
    fn rise(&self) -> f64 {
        let spread = self.weight * self.xx - self.x * self.x;
        let rise = (self.weight * self.xy - self.x * self.y) / spread.max(f64::MIN_POSITIVE);
        rise.clamp(FIRST / RANGE, FIRST * RANGE)
    }

    /// Milliseconds without any token.
    fn begin(&self) -> f64 {
        ((self.y - self.rise() * self.x) / self.weight).max(0.0)
    }
}

/// What one router knows that bears on the number of holders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingInputs {
    /// Routers that callers are spread over.
    pub routers: u32,
    /// Requests that this router has at endpoints.
    pub running: u32,
    /// Requests that one endpoint runs at once.
    pub slots: u32,
    /// Requests that wait at this router, and their work.
    pub waiting: (u32, Duration),
    /// Whether models wait for room.
    pub memory_scarce: bool,
}

/// What so many requests of one router say of all routers: as much for each, less what chance may have added. One
/// request of a rare model says nothing of the others, ten say that most of them have some.
fn all(value: f64, count: f64, routers: u32) -> f64 {
    let sure = if count > 1.0 { 1.0 - 1.0 / count.sqrt() } else { 0.0 };
    value * (1.0 + f64::from(routers.saturating_sub(1)) * sure)
}

impl Demand {
    /// How long an endpoint takes to read a prompt of this model, with nothing in its way.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.line.rise() * f64::from(tokens) / 1_000.0)
    }

    /// Counts a request that came.
    pub fn record_arrival(&mut self, tokens: u32, now: Instant) {
        let kept = kept(self.rated, now, SPAN);
        self.rate = self.rate * kept + f64::from(tokens) / SPAN.as_secs_f64();
        self.count = self.count * kept + 1.0 / SPAN.as_secs_f64();
        self.rated = Some(now);
    }

    /// Requests a second that came of late.
    pub fn request_rate(&self, now: Instant) -> f64 {
        self.count * kept(self.rated, now, SPAN)
    }

    /// Learns from a first event that came after `took`, where `expect` was the work before it, its own included.
    pub fn learn(&mut self, expect: Duration, took: Duration) {
        let expect = expect.as_secs_f64() * 1_000.0;
        let most = (self.line.begin() + expect) * STRETCH;
        let tokens = expect / self.line.rise();
        let took = took.as_secs_f64() * 1_000.0;
        let weight = if took > self.line.begin() + expect { LATER } else { 1.0 };
        self.line.fade();
        self.line.add(tokens, took.min(most), weight);
    }

    /// The work that comes through so many routers, as a part of one endpoint's time.
    pub fn prefill_load(&self, routers: u32, now: Instant) -> f64 {
        let load = self.rate * kept(self.rated, now, SPAN) * self.line.rise() / 1_000.0;
        all(load, self.request_rate(now) * SPAN.as_secs_f64(), routers)
    }

    /// How many endpoints should hold the model.
    pub fn replicas_needed(&self, pressure: &ScalingInputs, now: Instant) -> u32 {
        let ScalingInputs { routers, running, slots, waiting: (count, work), memory_scarce } =
            *pressure;
        let running = f64::from(running);
        let streams =
            all(running, running, routers) / f64::from(slots.max(1)) / MAX_MODEL_SLOT_SHARE;
        let wave = all(work.as_secs_f64(), f64::from(count), routers) / WAVE.as_secs_f64();
        let reading = self.prefill_load(routers, now) / BUSY + wave;
        // Where other models wait for room, each further holder takes it from them.
        let needed = if memory_scarce { streams } else { reading.max(streams) };
        needed.ceil().max(1.0) as u32
    }
}

#[cfg(test)]
mod tests;
