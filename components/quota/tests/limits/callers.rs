//! The simulated callers: which routers they reach and whether their requests are admitted.

use std::net::SocketAddr;
use std::time::Duration;

use quota::{Bucket, BucketSpec, Lenders, has_time_for_wave, likely_exhausted};
use rand::RngExt;

use super::world::{BOUNDS, DOMAINS, Faults, KILL_ALL_AFTER_MS, STEP_MS, Sharing, Traffic, World};

/// The tokens of 19 in 20 requests; every 20th request on average costs five times as many.
const REQUEST_COST: f64 = 1_000.0;

impl World {
    /// Simulates the requests that arrive within one step. `joined` is the time from which refused requests are counted.
    pub(super) fn step_callers(&mut self, joined: u64) {
        #[allow(clippy::cast_precision_loss, reason = "small")]
        let mean =
            self.plan.rate * self.load(joined) * STEP_MS as f64 / 1_000.0 / (REQUEST_COST * 1.2);
        let mut left = mean;
        loop {
            // Arrivals of a Poisson process within the step.
            left += self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln();
            if left < 0.0 {
                break;
            }
            let cost = REQUEST_COST * if self.rng.random_bool(0.05) { 5.0 } else { 1.0 };
            if let Some(at) = self.pick_router() {
                let counted = self.plan.faults == Faults::None && self.now > joined;
                let admitted = self.send_first(at, cost, joined);
                if self.plan.faults == Faults::KillAll && self.now > joined + KILL_ALL_AFTER_MS {
                    let half_second =
                        usize::try_from((self.now - joined - KILL_ALL_AFTER_MS) / 500)
                            .expect("few");
                    self.admitted_since_kill
                        .resize(self.admitted_since_kill.len().max(half_second + 1), (0, 0));
                    self.admitted_since_kill[half_second].0 += 1;
                    self.admitted_since_kill[half_second].1 += u32::from(admitted);
                }
                if counted {
                    self.asked += 1;
                    self.refused += u32::from(!admitted);
                }
            }
        }
    }

    /// The router that a request reaches. Routers that are dead or suspended get no requests.
    pub(super) fn pick_router(&mut self) -> Option<usize> {
        let (now, traffic) = (self.now, self.plan.traffic);
        let is_up =
            |at: &usize| self.routers[*at].alive && self.routers[*at].suspended_until <= now;
        let all: Vec<usize> = (0..self.routers.len()).filter(is_up).collect();
        let chosen: Vec<usize> = match traffic {
            Traffic::AllRouters => all,
            Traffic::OneDomain => all.into_iter().filter(|at| at % DOMAINS == 0).collect(),
            Traffic::OneRouter => all.into_iter().take(1).collect(),
        };
        // Requests are spread unevenly over the routers.
        let skew = self.rng.random::<f64>().powf(1.3);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "few"
        )]
        let at = (skew * chosen.len() as f64) as usize;
        chosen.get(at.min(chosen.len().saturating_sub(1))).copied()
    }

    pub(super) fn admit(&mut self, at: usize, cost: f64) -> bool {
        let own = self.take(at, cost);
        self.routers[at].last_used = self.now;
        let mut missing = cost - own.map_or(0.0, |(taken, _)| taken.tokens);
        let mut took_ms = 0;
        if missing > 0.0
            && self.plan.sharing == Sharing::Borrowing
            && self.routers[at].borrowing_paused_until <= self.now
        {
            (missing, took_ms) = self.borrow(at, missing);
        }
        if missing > 0.0 {
            if let Some((taken, share)) = own {
                let moment = self.at(self.now);
                if let Some((bucket, _)) = &mut self.routers[at].bucket {
                    bucket.refund(share, taken, moment);
                    bucket.add(share, cost - taken.tokens - missing, moment);
                }
            }
            return false;
        }
        self.record_admitted(self.now + took_ms, cost);
        true
    }

    pub(super) fn take(
        &mut self,
        at: usize,
        most: f64,
    ) -> Option<(quota::TakenTokens, BucketSpec)> {
        let moment = self.at(self.now);
        let router = &mut self.routers[at];
        let share = router.roster.share(moment)?;
        let spec = self.spec.share(share.count);
        let bucket = match &mut router.bucket {
            Some((bucket, since)) if *since == share.since => bucket,
            place => &mut place.insert((Bucket::new(share.since), share.since)).0,
        };
        Some((bucket.take(spec, most, moment), spec))
    }

    /// Borrows from other routers. Returns the tokens that are still missing and how long the requests took, in ms.
    fn borrow(&mut self, at: usize, wanted: f64) -> (f64, u64) {
        let now = self.now;
        if self.routers[at].peers_cut_until > now {
            return (wanted, 0);
        }
        let others: Vec<SocketAddr> =
            self.routers[at].roster.peers().map(|(addr, _)| addr).collect();
        let mut rng = self.rng.clone();
        self.rng.random::<u64>();
        let Some(share) = self.routers[at].roster.share(self.at(now)) else { return (wanted, 0) };
        let spec = self.spec.share(share.count);
        let mut lenders = Lenders::new(others, wanted, spec, || rng.random());
        let (mut missing, mut took_ms, mut asked) = (wanted, 0, 0);
        while missing > 0.0 && has_time_for_wave(Duration::from_millis(took_ms)) {
            let wave = lenders.next_wave();
            if wave.is_empty() || likely_exhausted(asked, wanted, wanted - missing) {
                break;
            }
            asked += wave.len();
            // The borrower's own bucket holds any excess.
            #[allow(clippy::cast_precision_loss, reason = "few")]
            let tokens = (missing + spec.capacity) / wave.len() as f64;
            let mut longest = 0;
            for addr in wave {
                self.messages += 1;
                let Some(lender) = self.routers.iter().position(|other| other.addr == addr) else {
                    continue;
                };
                let other = &self.routers[lender];
                let reached =
                    other.alive && other.suspended_until <= now && other.peers_cut_until <= now;
                longest = longest.max(if reached { self.rng.random_range(2..140) } else { 150 });
                let lent = self.routers[lender].lendable_tokens(now, tokens, self.spec, self.start);
                if reached && let Some((taken, _)) = self.take(lender, lent) {
                    missing -= taken.tokens;
                }
            }
            took_ms += longest;
        }
        let moment = self.at(now);
        if missing < 0.0
            && let Some((bucket, _)) = &mut self.routers[at].bucket
        {
            bucket.add(spec, -missing, moment);
        }
        if likely_exhausted(asked, wanted, wanted - missing) {
            self.routers[at].borrowing_paused_until = now + 500;
        }
        (missing.max(0.0), took_ms)
    }

    pub(super) fn record_admitted(&mut self, at: u64, cost: f64) {
        // Requests are admitted nearly in order: one that had to borrow tokens is inserted at its later time.
        let place = self.admitted.iter().rposition(|(other, _)| *other <= at).map_or(0, |p| p + 1);
        self.admitted.insert(place, (at, cost));
        self.sum += cost;
        let window = u64::try_from(BOUNDS.window.as_millis()).expect("small");
        let newest = self.admitted.back().map_or(0, |(at, _)| *at);
        while self.admitted.front().is_some_and(|(old, _)| newest - old > window) {
            self.sum -= self.admitted.pop_front().map_or(0.0, |(_, cost)| cost);
        }
        self.worst = self.worst.max(self.sum);
    }
}
