//! The simulated routers that ask the responsible coordinator for tokens they are short of.

use std::net::SocketAddr;
use std::time::Duration;

use quota::{
    Claim, ClaimOutcome, Coordinators, LEASE_TIME, Lease, Lenders, Pool, ShareTerms,
    coordinator_count, has_time_for_wave, likely_exhausted,
};
use rand::RngExt;

use super::returns::{Answer, Sent, within};
use super::world::{BOUNDS, Router, Sharing, World};

/// The cost that the configuration states for a request.
const TYPICAL_COST: f64 = 1_000.0;
/// How long a router waits for another one.
const TIMEOUT_MS: u64 = 150;
/// How long a coordinator without leases waits for the first ones.
const FIRST_GATHER_MS: u64 = 60;

impl World {
    /// Decides on a request with promises.
    pub(super) fn admit_promised(&mut self, at: usize, sent: Sent) -> Answer {
        let moment = self.at(self.now);
        self.receive_leases(at);
        self.routers[at].last_used = self.now;
        let own = self.with_pool(at, |pool, own| {
            let taken = pool.take_whole(own, sent.cost, true, moment).is_some();
            (taken, pool.has_leases(own, moment))
        });
        if let Some((true, pools)) = own {
            if pools {
                self.gather(at, true);
            }
            self.record_admitted(self.now, sent.cost);
            return Answer::Admitted;
        }
        let coordinators = self.coordinators(at);
        let responsible = coordinators.responsible(sent.fingerprint);
        let responsible =
            responsible.and_then(|addr| self.routers.iter().position(|router| router.addr == addr));
        let Some(responsible) = responsible else { return self.borrow_promised(at, sent, 0) };
        let mut took_ms = 0;
        if responsible != at {
            self.messages += 1;
            if !self.reaches(at, responsible) {
                return self.borrow_promised(at, sent, TIMEOUT_MS);
            }
            took_ms = self.rng.random_range(2..140);
        }
        took_ms += self.gather_first(responsible);
        self.receive_leases(responsible);
        let claim = Claim {
            fingerprint: sent.fingerprint,
            tokens: sent.cost,
            within: within(),
            urgent: true,
        };
        match self.with_pool(responsible, |pool, own| pool.claim(own, claim, moment)) {
            Some(ClaimOutcome::Lent { .. }) => {
                self.record_admitted(self.now + took_ms, sent.cost);
                Answer::Admitted
            }
            Some(ClaimOutcome::Promised(after) | ClaimOutcome::Later(after)) => {
                Answer::Refused(after)
            }
            Some(ClaimOutcome::TooLarge) | None => self.borrow_promised(at, sent, took_ms),
        }
    }

    /// The sum of the shares that all running routers use, their own and leased ones.
    pub(super) fn sum_of_pools(&mut self) -> f64 {
        let (moment, total) = (self.at(self.now), self.spec.refill_rate);
        let runs = |router: &Router| router.alive && router.suspended_until <= self.now;
        let running = self.routers.iter().enumerate().filter(|(_, router)| runs(router));
        let running: Vec<usize> = running.map(|(at, _)| at).collect();
        // A router that has restarted has the others drop its leases before any share is counted.
        for at in &running {
            self.with_pool(*at, |_, _| ());
        }
        let shares = running.into_iter().map(|at| {
            let share = self.with_pool(at, |pool, own| pool.share(own, moment).refill_rate);
            share.unwrap_or(0.0) / total
        });
        shares.sum()
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.routers[from], &self.routers[to]);
        let up = to.alive && to.suspended_until <= self.now;
        up && from.peers_cut_until <= self.now && to.peers_cut_until <= self.now
    }

    fn coordinators(&self, at: usize) -> Coordinators {
        let roster = &self.routers[at].roster;
        let routers = roster.peers().map(|(addr, _)| addr).chain([roster.addr()]);
        Coordinators::new("w", routers, coordinator_count(self.spec, TYPICAL_COST))
    }

    fn with_pool<T>(&mut self, at: usize, f: impl FnOnce(&mut Pool, ShareTerms) -> T) -> Option<T> {
        let moment = self.at(self.now);
        let started = self.at(self.routers[at].started);
        let total = self.spec;
        let new =
            self.routers[at].pool.is_none() && self.routers[at].roster.share(moment).is_some();
        let released = new && self.release_leases(at);
        let router = &mut self.routers[at];
        let share = router.roster.share(moment)?;
        let own = ShareTerms { total, count: share.count };
        let pool = match &mut router.pool {
            Some((pool, since)) if *since == share.since => pool,
            place => {
                let mut pool = Pool::of_restarted(share.since, started);
                if released {
                    pool.end_earlier_lease(moment);
                }
                &mut place.insert((pool, share.since)).0
            }
        };
        Some(f(pool, own))
    }

    /// A router that has restarted asks all others to drop the leases of its share; returns whether all of them have, or are
    /// not running.
    fn release_leases(&mut self, at: usize) -> bool {
        let owner = self.routers[at].addr;
        let peers: Vec<SocketAddr> =
            self.routers[at].roster.peers().map(|(addr, _)| addr).collect();
        let mut all = true;
        for addr in peers {
            self.messages += 1;
            let peer = self.routers.iter().position(|router| router.addr == addr);
            let Some(peer) = peer.filter(|peer| self.routers[*peer].alive) else { continue };
            if !self.reaches(at, peer) {
                all = false;
                continue;
            }
            let peer = &mut self.routers[peer];
            peer.incoming.retain(|(_, lease, _)| lease.owner != owner);
            if let Some((pool, _)) = &mut peer.pool {
                pool.release(owner);
            }
        }
        all
    }

    /// Leases shares for a request. A coordinator without any waits for the first answers; returns for how long, in ms.
    fn gather_first(&mut self, coordinator: usize) -> u64 {
        let moment = self.at(self.now);
        let pools = self.with_pool(coordinator, |pool, own| pool.has_leases(own, moment));
        self.gather(coordinator, true);
        if pools != Some(false) || self.routers[coordinator].incoming.is_empty() {
            return 0;
        }
        let limit = self.now + FIRST_GATHER_MS;
        for (arrives, ..) in &mut self.routers[coordinator].incoming {
            if *arrives <= limit {
                *arrives = self.now;
            }
        }
        FIRST_GATHER_MS
    }

    /// Renews the leases of all coordinators.
    pub(super) fn step_leases(&mut self) {
        if self.plan.sharing != Sharing::Promises {
            return;
        }
        for at in 0..self.routers.len() {
            let router = &self.routers[at];
            let pools = router.pool.as_ref().is_some_and(|(pool, _)| pool.leased_shares() > 0)
                || !router.incoming.is_empty();
            if pools && router.alive && router.suspended_until <= self.now {
                self.receive_leases(at);
                self.gather(at, false);
            }
        }
    }

    /// Leases the shares of the coordinator's members, if that is due.
    fn gather(&mut self, coordinator: usize, needed: bool) {
        let (now, moment) = (self.now, self.at(self.now));
        let due = self.with_pool(coordinator, |pool, _| pool.start_gathering(needed, moment));
        if due != Some(true) {
            return;
        }
        let addr = self.routers[coordinator].addr;
        let members: Vec<SocketAddr> = self.coordinators(coordinator).members(addr);
        for owner in members {
            self.messages += 1;
            let member = self.routers.iter().position(|router| router.addr == owner);
            let Some(member) = member.filter(|member| self.reaches(coordinator, *member)) else {
                continue;
            };
            let Some(end) = self.routers[member].roster.share_end(moment) else { continue };
            let until = end.min(moment + LEASE_TIME);
            let granted = self.with_pool(member, |pool, own| {
                pool.grant(own, until, moment).map(|tokens| (tokens, own.count))
            });
            if let Some(Some((tokens, count))) = granted {
                // The answer may take longer than the router waits, or be lost.
                let arrives = now + self.rng.random_range(2..160);
                let lease = Lease { owner, count, until };
                if arrives < now + TIMEOUT_MS {
                    self.routers[coordinator].incoming.push((arrives, lease, tokens));
                }
            }
        }
    }

    fn receive_leases(&mut self, at: usize) {
        let now = self.now;
        let arrived = |incoming: &mut (u64, Lease, f64)| incoming.0 <= now;
        let leases: Vec<_> = self.routers[at].incoming.extract_if(.., arrived).collect();
        for (arrived, lease, tokens) in leases {
            let tokens = if now - arrived < 300 { tokens } else { 0.0 };
            let moment = self.at(now);
            self.with_pool(at, |pool, own| pool.add_lease(own, lease, tokens, moment));
        }
    }

    /// Borrows from any routers, as without promises.
    fn borrow_promised(&mut self, at: usize, sent: Sent, took_ms: u64) -> Answer {
        let (now, moment) = (self.now, self.at(self.now));
        let had = self.with_pool(at, |pool, own| {
            let taken = pool.take_part(own, sent.cost, moment);
            pool.refund(own, taken, moment);
            taken.tokens
        });
        let missing = sent.cost - had.unwrap_or(0.0);
        let mut took_ms = took_ms;
        let mut lent = 0.0;
        let others: Vec<SocketAddr> =
            self.routers[at].roster.peers().map(|(addr, _)| addr).collect();
        let mut keys: Vec<u32> = others.iter().map(|_| self.rng.random()).collect();
        let share = self.spec.share(u32::try_from(others.len() + 1).expect("few"));
        let mut lenders = Lenders::new(others, missing, share, || keys.pop().unwrap_or(0));
        let mut asked = 0;
        while lent < missing
            && self.routers[at].borrowing_paused_until <= now
            && has_time_for_wave(Duration::from_millis(took_ms))
        {
            let wave = lenders.next_wave();
            if wave.is_empty() || likely_exhausted(asked, missing, lent) {
                break;
            }
            asked += wave.len();
            #[allow(clippy::cast_precision_loss, reason = "few")]
            let each = (missing - lent + share.capacity) / wave.len() as f64;
            for addr in wave {
                self.messages += 1;
                let lender = self.routers.iter().position(|router| router.addr == addr);
                let Some(lender) = lender.filter(|lender| self.reaches(at, *lender)) else {
                    continue;
                };
                let idle = Duration::from_millis(now - self.routers[lender].last_used);
                let tokens = self.with_pool(lender, |pool, own| pool.lend(own, each, idle, moment));
                lent += tokens.unwrap_or(0.0);
            }
            took_ms += TIMEOUT_MS;
        }
        if likely_exhausted(asked, missing, lent) {
            self.routers[at].borrowing_paused_until = now + 500;
        }
        let rest = self.with_pool(at, |pool, own| pool.take_rest(own, sent.cost, lent, moment));
        let admitted = match rest {
            Some(rest) => rest.is_some(),
            None => lent >= sent.cost,
        };
        if admitted {
            self.record_admitted(now + took_ms, sent.cost);
            return Answer::Admitted;
        }
        let after = self.with_pool(at, |pool, own| pool.time_until(own, sent.cost, moment));
        let after = after.unwrap_or(BOUNDS.window);
        let jitter = 1.0 + 0.3 * self.rng.random::<f64>();
        Answer::Refused(after.clamp(Duration::from_millis(300), BOUNDS.window).mul_f64(jitter))
    }
}
