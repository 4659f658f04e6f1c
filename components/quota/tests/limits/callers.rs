//! The callers of a world: whom they reach, and whether they are let in.

use std::net::SocketAddr;
use std::time::Duration;

use quota::{Bucket, BucketSpec, Lenders, has_time_for_wave, likely_exhausted};
use rand::RngExt;

use super::world::{BOUNDS, DOMAINS, Faults, KILLED, Press, STEP, Sharing, World};

/// A caller's request counts this much on average; one in twenty counts five times as much.
const COST: f64 = 1_000.0;

impl World {
    pub(super) fn callers(&mut self, joined: u64) {
        #[allow(clippy::cast_precision_loss, reason = "small")]
        let mean = self.plan.rate * self.plan.load * STEP as f64 / 1_000.0 / (COST * 1.2);
        let mut left = mean;
        loop {
            // Arrivals of a Poisson process within the step.
            left += self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln();
            if left < 0.0 {
                break;
            }
            let cost = COST * if self.rng.random_bool(0.05) { 5.0 } else { 1.0 };
            if let Some(at) = self.pick() {
                let in_calm = self.plan.faults == Faults::None && self.now > joined;
                let let_in = self.admit(at, cost);
                if self.plan.faults == Faults::Killed && self.now > joined + KILLED {
                    let half = usize::try_from((self.now - joined - KILLED) / 500).expect("few");
                    self.since_killed.resize(self.since_killed.len().max(half + 1), (0, 0));
                    self.since_killed[half].0 += 1;
                    self.since_killed[half].1 += u32::from(let_in);
                }
                if in_calm {
                    self.asked += 1;
                    self.refused += u32::from(!let_in);
                }
            }
        }
    }

    /// The router that a caller reaches: those that can't be reached get nobody.
    fn pick(&mut self) -> Option<usize> {
        let (now, press) = (self.now, self.plan.press);
        let up = |at: &usize| self.routers[*at].alive && self.routers[*at].still <= now;
        let all: Vec<usize> = (0..self.routers.len()).filter(up).collect();
        let chosen: Vec<usize> = match press {
            Press::All => all,
            Press::Domain => all.into_iter().filter(|at| at % DOMAINS == 0).collect(),
            Press::One => all.into_iter().take(1).collect(),
        };
        // Callers are spread unevenly.
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

    fn admit(&mut self, at: usize, cost: f64) -> bool {
        let own = self.take(at, cost);
        self.routers[at].used = self.now;
        let mut missing = cost - own.map_or(0.0, |(taken, _)| taken.tokens);
        let mut took = 0;
        if missing > 0.0 && self.plan.sharing == Sharing::Lent && self.routers[at].dry <= self.now {
            (missing, took) = self.borrow(at, missing);
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
        self.let_in(self.now + took, cost);
        true
    }

    fn take(&mut self, at: usize, most: f64) -> Option<(quota::TakenTokens, BucketSpec)> {
        let moment = self.at(self.now);
        let router = &mut self.routers[at];
        let share = router.roster.share(moment)?;
        let terms = self.terms.share(share.count);
        let bucket = match &mut router.bucket {
            Some((bucket, since)) if *since == share.since => bucket,
            place => &mut place.insert((Bucket::new(share.since), share.since)).0,
        };
        Some((bucket.take(terms, most, moment), terms))
    }

    /// What is missing after others were asked, and how long that took.
    fn borrow(&mut self, at: usize, wanted: f64) -> (f64, u64) {
        let now = self.now;
        if self.routers[at].no_peers > now {
            return (wanted, 0);
        }
        let others: Vec<SocketAddr> =
            self.routers[at].roster.peers().map(|(addr, _)| addr).collect();
        let mut rng = self.rng.clone();
        self.rng.random::<u64>();
        let Some(share) = self.routers[at].roster.share(self.at(now)) else { return (wanted, 0) };
        let terms = self.terms.share(share.count);
        let mut lenders = Lenders::new(others, wanted, terms, || rng.random());
        let (mut missing, mut took, mut asked) = (wanted, 0, 0);
        while missing > 0.0 && has_time_for_wave(Duration::from_millis(took)) {
            let wave = lenders.next_wave();
            if wave.is_empty() || likely_exhausted(asked, wanted, wanted - missing) {
                break;
            }
            asked += wave.len();
            // Its own bucket takes what is more.
            #[allow(clippy::cast_precision_loss, reason = "few")]
            let tokens = (missing + terms.capacity) / wave.len() as f64;
            let mut longest = 0;
            for addr in wave {
                self.messages += 1;
                let Some(lender) = self.routers.iter().position(|other| other.addr == addr) else {
                    continue;
                };
                let other = &self.routers[lender];
                let reached = other.alive && other.still <= now && other.no_peers <= now;
                longest = longest.max(if reached { self.rng.random_range(2..140) } else { 150 });
                let fair = self.routers[lender].fair(now, tokens, self.terms, self.start);
                if reached && let Some((taken, _)) = self.take(lender, fair) {
                    missing -= taken.tokens;
                }
            }
            took += longest;
        }
        let moment = self.at(now);
        if missing < 0.0
            && let Some((bucket, _)) = &mut self.routers[at].bucket
        {
            bucket.add(terms, -missing, moment);
        }
        if likely_exhausted(asked, wanted, wanted - missing) {
            self.routers[at].dry = now + 500;
        }
        (missing.max(0.0), took)
    }

    fn let_in(&mut self, at: u64, cost: f64) {
        // Entries are nearly in order: what is let in a little later is put in its place.
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
