//! Selects the routers from which a router borrows tokens that it is short of.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{BucketSpec, LOAN_TIMEOUT};

/// If this many routers together lent next to nothing, the other routers are assumed to have no tokens either.
const MIN_SAMPLE: usize = 3;
/// Less than this fraction of the wanted tokens is next to nothing.
const EXHAUSTED_FRACTION: f64 = 0.25;
/// The most routers that are asked on behalf of one request.
const MAX_LENDERS: usize = 63;
/// How long the answer of a lender is awaited. A router that answers at all does so within some milliseconds.
pub const LENDER_TIMEOUT: Duration = Duration::from_millis(150);
/// The largest fraction of its tokens that a router lends while it has callers of the workspace itself.
const LENDABLE_FRACTION: f64 = 0.5;
/// A router has callers of the workspace if one sent a request within this time.
const BUSY_WINDOW: Duration = Duration::from_secs(1);

/// The other routers in random order, to be asked in waves that double in size. The first wave has as many routers as lend enough if
/// their buckets are full. Routers in the same failure domain are not preferred, since a workspace that sends its requests through
/// one failure domain exhausts all routers there.
#[derive(Debug)]
pub struct Lenders {
    order: Vec<SocketAddr>,
    wave_size: usize,
}

impl Lenders {
    /// Orders the other routers, each of which has a bucket of the size `share`, to lend `missing` tokens. `random_key` returns a
    /// random number for each router.
    pub fn new(
        others: impl IntoIterator<Item = SocketAddr>,
        missing: f64,
        share: BucketSpec,
        mut random_key: impl FnMut() -> u32,
    ) -> Self {
        let mut all: Vec<(u32, SocketAddr)> =
            others.into_iter().map(|addr| (random_key(), addr)).collect();
        all.sort_unstable();
        all.truncate(MAX_LENDERS);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number; larger ones saturate"
        )]
        let wave_size = (missing / (share.capacity * LENDABLE_FRACTION)).ceil().max(1.0) as usize;
        Self { order: all.into_iter().map(|(_, addr)| addr).collect(), wave_size }
    }

    /// The routers to ask next; empty once all have been asked.
    pub fn next_wave(&mut self) -> Vec<SocketAddr> {
        let rest = self.order.len().saturating_sub(self.wave_size);
        self.wave_size = self.wave_size.saturating_mul(2);
        self.order.split_off(rest)
    }
}

/// Whether there is time for another wave this long after the first one: borrowed tokens that arrive later than [`LOAN_TIMEOUT`] are
/// lost.
pub fn has_time_for_wave(elapsed: Duration) -> bool {
    elapsed + LENDER_TIMEOUT <= LOAN_TIMEOUT
}

/// The most tokens that a router with this level lends, if the last request of its own callers came `idle` ago.
pub fn lendable(level: f64, idle: Duration) -> f64 {
    if idle < BUSY_WINDOW { level * LENDABLE_FRACTION } else { level }
}

/// Whether the other routers are unlikely to have tokens either, after `asked` routers lent `got` of the `wanted` tokens.
pub fn likely_exhausted(asked: usize, wanted: f64, got: f64) -> bool {
    asked >= MIN_SAMPLE && got < wanted * EXHAUSTED_FRACTION
}

#[cfg(test)]
mod tests;
