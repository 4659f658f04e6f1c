//! Decides how many requests a process reads, by the time that its thread has left.
//!
//! Load pattern: for some seconds most new connections of callers go to one process, which can serve a fraction of what arrives.
//! What it has read it must serve, so that reading everything makes all requests late; a connection that is closed before its
//! request is read costs little, and its caller may send the request to another process at once.
//!
//! The rate of reads that the thread bears follows from how busy it was while it gave the last answers. It is enforced only
//! while the thread is busy for much of its time or has been busy without a break.

use std::time::Duration;

use tokio::time::Instant;

/// The share of the time for which the thread may be busy.
const TARGET_BUSY_SHARE: f64 = 0.8;
/// By how much the rate is corrected at most if the thread is less or more busy than that.
const MAX_CORRECTION: f64 = 1.5;
/// The rate of reads is limited while the thread is busy for more than this share of the last seconds.
const MAX_UNLIMITED_BUSY_SHARE: f64 = 0.6;
/// The rate of reads is limited while the thread is busy for more than this share of the last moments.
const MAX_UNLIMITED_RECENT_SHARE: f64 = 0.8;
/// The rate is limited in any case once the thread has been busy without a break for this time.
const MAX_UNBROKEN_BUSY_TIME: Duration = Duration::from_millis(100);
/// After this time without a break, work has piled up, and fewer requests are read until it is done.
const BACKLOG_BUSY_TIME: Duration = Duration::from_millis(400);
/// The part of the rate that is read meanwhile.
const BACKLOG_RATE_PART: f64 = 0.4;
/// The shortest time between two measurements.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(50);
/// A thread that was busy for longer than this between two measurements has stood still, which tells nothing about its load.
const MAX_SAMPLE_BUSY_TIME: Duration = Duration::from_millis(500);
/// The time constants of the mean share of the time for which the thread is busy, over the last seconds and the last moments.
const BUSY_TIME_CONSTANT: Duration = Duration::from_secs(1);
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(200);
/// The time constant of the mean time for which a request keeps the thread busy; most of the work for a stream comes seconds
/// after it was read.
const COST_TIME_CONSTANT: Duration = Duration::from_secs(6);
/// The cost of a request is unknown before this many answers.
const MIN_ANSWERS: f64 = 5.0;
/// Reads that may follow each other at once, as a part of those of a second.
const BURST_S: f64 = 0.5;
/// The smallest such burst.
const MIN_BURST: f64 = 4.0;
/// The longest that later reads make up for earlier ones beyond the rate.
const MAX_DEBT_S: f64 = 1.0;
/// A connection is accepted after this time without one, however busy the thread is.
const MAX_TIME_WITHOUT_CONNECTION: Duration = Duration::from_millis(500);
/// How long the thread counts as overloaded after a connection was refused.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);

/// How busy a thread has been until some moment.
#[derive(Debug, Clone, Copy)]
pub struct BusyReading {
    /// The moment.
    pub at: Instant,
    /// For how long the thread has been idle in all.
    pub idle_total: Duration,
    /// For how long it has been busy without a break.
    pub busy_for: Duration,
}

/// Limits the rate at which one process reads requests.
#[derive(Debug, Default)]
pub struct LoadShedder {
    last: Option<BusyReading>,
    /// Answers that were begun since the last measurement.
    new_answers: f64,
    /// The mean share of the last seconds and of the last moments for which the thread was busy.
    busy_share: f64,
    recent_share: f64,
    /// Answers that were begun of late and the time in seconds for which the thread was busy meanwhile, both weighted by their age.
    /// Reads would not tell what the thread bears: it may have read more than it has served.
    answers: f64,
    busy_s: f64,
    /// Reads that may follow at once; negative after reads that were not limited.
    tokens: f64,
    last_admitted: Option<Instant>,
    last_refused: Option<Instant>,
}

impl LoadShedder {
    /// Whether the request that has arrived on a new connection may be read; counts it if so.
    pub fn admit(&mut self, reading: BusyReading) -> bool {
        self.update(reading);
        let overdue = self
            .last_admitted
            .is_none_or(|last| reading.at.duration_since(last) >= MAX_TIME_WITHOUT_CONNECTION);
        let admitted = overdue || self.tokens >= 1.0 || !self.is_limited(reading);
        if admitted {
            self.last_admitted = Some(reading.at);
            self.tokens -= 1.0;
        } else {
            self.last_refused = Some(reading.at);
        }
        admitted
    }

    /// Counts a request that was read on a connection after others.
    pub fn record_read(&mut self, reading: BusyReading) {
        self.update(reading);
        self.tokens -= 1.0;
    }

    /// Counts an answer that was begun.
    pub fn record_answer(&mut self) {
        self.new_answers += 1.0;
    }

    /// Whether more requests arrive than the thread can serve, so that callers should use their connections no longer.
    pub fn is_overloaded(&self, reading: BusyReading) -> bool {
        let refuses =
            self.last_refused.is_some_and(|last| reading.at.duration_since(last) < OVERLOAD_TIME);
        (refuses || self.tokens < 0.0) && self.is_limited(reading)
    }

    /// Whether the thread is so busy that the rate of reads matters.
    fn is_limited(&self, reading: BusyReading) -> bool {
        self.rate().is_some()
            && (reading.busy_for > MAX_UNBROKEN_BUSY_TIME
                || self.busy_share > MAX_UNLIMITED_BUSY_SHARE
                || self.recent_share > MAX_UNLIMITED_RECENT_SHARE)
    }

    /// The reads per second that keep the thread busy for the target share of the time. What a request costs is known from seconds
    /// that differ from the present one, so it is corrected by how busy the thread is now.
    fn rate(&self) -> Option<f64> {
        if self.answers < MIN_ANSWERS || self.busy_s <= 0.0 {
            return None;
        }
        let correction =
            TARGET_BUSY_SHARE / self.busy_share.max(TARGET_BUSY_SHARE / MAX_CORRECTION);
        Some(TARGET_BUSY_SHARE * self.answers / self.busy_s * correction)
    }

    fn update(&mut self, reading: BusyReading) {
        let Some(last) = self.last else {
            self.last = Some(reading);
            return;
        };
        let elapsed = reading.at.duration_since(last.at);
        if elapsed < MIN_SAMPLE_TIME {
            return;
        }
        let idle = reading.idle_total.saturating_sub(last.idle_total);
        let busy = elapsed.saturating_sub(idle);
        self.last = Some(reading);
        if busy > MAX_SAMPLE_BUSY_TIME {
            return;
        }
        let (elapsed_s, busy_s) = (elapsed.as_secs_f64(), busy.as_secs_f64());
        let kept = |constant: Duration| (-elapsed_s / constant.as_secs_f64()).exp();
        let mean = |before: f64, constant| {
            before * kept(constant) + busy_s / elapsed_s * (1.0 - kept(constant))
        };
        self.busy_share = mean(self.busy_share, BUSY_TIME_CONSTANT);
        self.recent_share = mean(self.recent_share, RECENT_TIME_CONSTANT);
        let kept_cost = kept(COST_TIME_CONSTANT);
        self.answers = self.answers * kept_cost + std::mem::take(&mut self.new_answers);
        self.busy_s = self.busy_s * kept_cost + busy_s;
        if let Some(rate) = self.rate() {
            let backlog = reading.busy_for > BACKLOG_BUSY_TIME;
            let earned = rate * elapsed_s * if backlog { BACKLOG_RATE_PART } else { 1.0 };
            let most = (rate * BURST_S).max(MIN_BURST);
            self.tokens = (self.tokens + earned).clamp(-rate * MAX_DEBT_S, most);
        }
    }
}

#[cfg(test)]
mod tests;
