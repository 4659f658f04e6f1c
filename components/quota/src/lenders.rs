//! Whom a router asks for tokens that it is short of.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{BucketSpec, LOAN_TIMEOUT};

/// So many that have next to nothing mean that nobody has.
const MIN_SAMPLE: usize = 3;
/// Next to nothing, as a part of what was asked for.
const EXHAUSTED_FRACTION: f64 = 0.25;
/// The most that are asked for one request.
const MAX_LENDERS: usize = 63;
/// A router that answers does so within some milliseconds; a slow one is not waited for.
pub const LENDER_TIMEOUT: Duration = Duration::from_millis(150);
/// One that has callers of the workspace itself lends no more than this part of what it has.
const LENDABLE_FRACTION: f64 = 0.5;
/// It has if one came within this time.
const BUSY_WINDOW: Duration = Duration::from_secs(1);

/// Other routers in a random order, in waves that grow: first as many as lend enough if their buckets are full.
/// Those nearby are not preferred, since a workspace that presses through one failure domain leaves all of that short.
#[derive(Debug)]
pub struct Lenders {
    order: Vec<SocketAddr>,
    wave: usize,
}

impl Lenders {
    /// An order for what is missing, where each has such a share; `key` gives a random number for each.
    pub fn new(
        others: impl IntoIterator<Item = SocketAddr>,
        missing: f64,
        share: BucketSpec,
        mut key: impl FnMut() -> u32,
    ) -> Self {
        let mut all: Vec<(u32, SocketAddr)> =
            others.into_iter().map(|addr| (key(), addr)).collect();
        all.sort_unstable();
        all.truncate(MAX_LENDERS);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number, and cut off at the largest"
        )]
        let wave = (missing / (share.capacity * LENDABLE_FRACTION)).ceil().max(1.0) as usize;
        Self { order: all.into_iter().map(|(_, addr)| addr).collect(), wave }
    }

    /// Who is asked next.
    pub fn next_wave(&mut self) -> Vec<SocketAddr> {
        let rest = self.order.len().saturating_sub(self.wave);
        self.wave = self.wave.saturating_mul(2);
        self.order.split_off(rest)
    }
}

/// Whether there is time for one more wave, so long after the first one: what is lent comes in time to be used, or is lost.
pub fn has_time_for_wave(elapsed: Duration) -> bool {
    elapsed + LENDER_TIMEOUT <= LOAN_TIMEOUT
}

/// What a router lends at most that has so much, if a caller of its own came so long ago.
pub fn lendable(level: f64, idle: Duration) -> f64 {
    if idle < BUSY_WINDOW { level * LENDABLE_FRACTION } else { level }
}

/// Whether nobody is likely to have more, by what so many gave who were asked for so much together.
pub fn likely_exhausted(asked: usize, wanted: f64, got: f64) -> bool {
    asked >= MIN_SAMPLE && got < wanted * EXHAUSTED_FRACTION
}

#[cfg(test)]
mod tests;
