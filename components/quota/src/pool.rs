//! The tokens of one workspace at one router: its bucket, the shares that it leases, and what it has promised.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::leases::{IDLE_TIME, Leases};
use crate::promises::{PromiseState, Promises, RETURNING_FRACTION};
use crate::{Bucket, BucketSpec, LEASE_TIME, Lease, RENEW_INTERVAL, TakenTokens, lendable};

/// The fraction of a bucket that is only for requests of the highest priority.
const URGENT_FRACTION: f64 = 0.1;

/// The limit of a workspace, and the number of equal shares into which this router counts it to be divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareTerms {
    /// The bucket of all routers together.
    pub total: BucketSpec,
    /// The number of equal shares.
    pub count: u32,
}

/// A request that is short of tokens where it arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Identifies the request, also when its caller sends it again.
    pub fingerprint: u64,
    /// The cost of the request.
    pub tokens: f64,
    /// How long the caller can still wait.
    pub within: Duration,
    /// Whether the request has the highest priority of those seen lately.
    pub urgent: bool,
}

/// What a request gets that is short of tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ClaimOutcome {
    /// All its tokens.
    Lent {
        /// The tokens.
        taken: TakenTokens,
        /// Whether they had been promised.
        kept: bool,
    },
    /// Tokens are set aside for it, and there will be enough after this time.
    Promised(Duration),
    /// There are enough tokens after this time, which is too late for the caller.
    Later(Duration),
    /// This router's bucket can't hold the request.
    TooLarge,
}

/// The tokens of one workspace at one router.
#[derive(Debug)]
pub struct Pool {
    bucket: Bucket,
    leases: Leases,
    promises: Promises,
    /// When the router last asked others for their shares.
    gathered: Option<Moment>,
    /// When a request last needed the shares of others.
    needed: Option<Moment>,
}

impl Pool {
    /// A pool whose bucket fills from `since` on.
    pub fn new(since: Moment) -> Self {
        Self {
            bucket: Bucket::new(since),
            leases: Leases::default(),
            promises: Promises::default(),
            gathered: None,
            needed: None,
        }
    }

    /// The pool of a router whose process has started at `started`. The process before it at the same address may have leased out
    /// the share, so that nobody but the other router may use it until that lease has ended.
    pub fn of_restarted(since: Moment, started: Moment) -> Self {
        let mut pool = Self::new(since);
        pool.leases.wait_for_earlier(started + LEASE_TIME);
        pool
    }

    /// All other routers have dropped the leases of the process before this one: the share is used from now on.
    pub fn end_earlier_lease(&mut self, now: Moment) {
        self.leases.end_earlier(now);
    }

    /// Drops the lease of a share, whose owner has restarted.
    pub fn release(&mut self, owner: SocketAddr) {
        self.leases.release(owner);
    }

    /// Fills the bucket up to now, and drops leases and promises that have ended. Returns the parameters of the bucket.
    fn settle(&mut self, own: ShareTerms, now: Moment) -> BucketSpec {
        while let Some(end) = self.leases.next_end(now) {
            self.bucket.level(self.leases.total(own.total, own.count), end);
            self.leases.expire(end);
        }
        self.promises.expire(now);
        let share = self.leases.total(own.total, own.count);
        self.bucket.level(share, now);
        share
    }

    /// The parameters of the bucket: those of this router's share and of the shares that it has leased.
    pub fn share(&mut self, own: ShareTerms, now: Moment) -> BucketSpec {
        self.settle(own, now)
    }

    /// The number of tokens in the bucket.
    pub fn level(&mut self, own: ShareTerms, now: Moment) -> f64 {
        let share = self.settle(own, now);
        self.bucket.level(share, now)
    }

    /// The number of tokens that are not set aside for promises.
    pub fn unpromised_level(&mut self, own: ShareTerms, now: Moment) -> f64 {
        let share = self.settle(own, now);
        self.unpromised(share, now).max(0.0)
    }

    fn unpromised(&mut self, share: BucketSpec, now: Moment) -> f64 {
        let reserved = self.promises.reserved(now).min(share.capacity * RETURNING_FRACTION);
        self.bucket.level(share, now) - reserved
    }

    /// The tokens that a new request may take.
    fn available(&mut self, share: BucketSpec, urgent: bool, now: Moment) -> f64 {
        let kept = if urgent { 0.0 } else { share.capacity * URGENT_FRACTION };
        self.unpromised(share, now) - kept
    }

    /// Takes `max` tokens, or as many as there are that are not promised.
    pub fn take_part(&mut self, own: ShareTerms, max: f64, now: Moment) -> TakenTokens {
        let share = self.settle(own, now);
        let most = max.min(self.unpromised(share, now));
        self.bucket.take(share, most, now)
    }

    /// Takes all tokens of a new request, or none.
    pub fn take_whole(
        &mut self,
        own: ShareTerms,
        tokens: f64,
        urgent: bool,
        now: Moment,
    ) -> Option<TakenTokens> {
        let share = self.settle(own, now);
        let enough = self.available(share, urgent, now) >= tokens;
        enough.then(|| self.bucket.take(share, tokens, now))
    }

    /// Takes the tokens that a request still needs beyond those borrowed for it. If there are not enough, the borrowed ones are
    /// added to the bucket.
    pub fn take_rest(
        &mut self,
        own: ShareTerms,
        tokens: f64,
        borrowed: f64,
        now: Moment,
    ) -> Option<TakenTokens> {
        let share = self.settle(own, now);
        let rest = tokens - borrowed;
        if rest <= 0.0 {
            self.bucket.add(share, -rest, now);
            return Some(TakenTokens::default());
        }
        if self.unpromised(share, now) >= rest {
            return Some(self.bucket.take(share, rest, now));
        }
        self.bucket.add(share, borrowed, now);
        None
    }

    /// Adds tokens from another router.
    pub fn add(&mut self, own: ShareTerms, tokens: f64, now: Moment) {
        let share = self.settle(own, now);
        self.bucket.add(share, tokens, now);
    }

    /// Returns tokens that were taken and not used.
    pub fn refund(&mut self, own: ShareTerms, taken: TakenTokens, now: Moment) {
        let share = self.settle(own, now);
        self.bucket.refund(share, taken, now);
    }

    /// Takes tokens for another router, `max` at most. The last request of this router's own callers came `idle` ago.
    pub fn lend(&mut self, own: ShareTerms, max: f64, idle: Duration, now: Moment) -> f64 {
        let share = self.settle(own, now);
        let level = self.unpromised(share, now);
        self.bucket.take(share, max.min(lendable(level, idle)), now).tokens
    }

    /// Decides on a request that is short of tokens where it arrived.
    pub fn claim(&mut self, own: ShareTerms, claim: Claim, now: Moment) -> ClaimOutcome {
        let share = self.settle(own, now);
        if claim.tokens > share.capacity * RETURNING_FRACTION {
            return ClaimOutcome::TooLarge;
        }
        let state = self.promises.state(claim.fingerprint, now);
        let level = self.bucket.level(share, now);
        let enough = match state {
            PromiseState::Due => level >= claim.tokens,
            _ => self.available(share, claim.urgent, now) >= claim.tokens,
        };
        if enough {
            self.promises.remove(claim.fingerprint);
            let taken = self.bucket.take(share, claim.tokens, now);
            return ClaimOutcome::Lent { taken, kept: state == PromiseState::Due };
        }
        match state {
            PromiseState::Early(after) => ClaimOutcome::Promised(after),
            PromiseState::Due => {
                let after = self.bucket.time_until(share, claim.tokens, now);
                self.promises.postpone(claim.fingerprint, after, now);
                ClaimOutcome::Promised(after)
            }
            PromiseState::None => self.promise(share, claim, now),
        }
    }

    fn promise(&mut self, share: BucketSpec, claim: Claim, now: Moment) -> ClaimOutcome {
        let Some(after) = self.promises.next_slot(share, claim.tokens, now) else {
            return ClaimOutcome::TooLarge;
        };
        let promised =
            after <= claim.within && self.promises.add(claim.fingerprint, claim.tokens, after, now);
        if promised { ClaimOutcome::Promised(after) } else { ClaimOutcome::Later(after) }
    }

    /// Leases this router's own share to another router until `until`. Returns the tokens that go with it; `None` if this router
    /// pools shares itself.
    pub fn grant(&mut self, own: ShareTerms, until: Moment, now: Moment) -> Option<f64> {
        let share = self.settle(own, now);
        if self.leases.has_leased() || !self.promises.is_empty() {
            return None;
        }
        let taken = self.bucket.take(share, f64::MAX, now);
        self.leases.grant(until);
        Some(taken.tokens)
    }

    /// Adds the share of another router, with the tokens that came with it.
    pub fn add_lease(&mut self, own: ShareTerms, lease: Lease, tokens: f64, now: Moment) {
        self.settle(own, now);
        if lease.until <= now {
            return;
        }
        self.leases.add(lease);
        let share = self.leases.total(own.total, own.count);
        self.bucket.add(share, tokens, now);
    }

    /// Whether a coordinator should ask other routers for their shares now: a request needs them, or lately did.
    pub fn start_gathering(&mut self, needed: bool, now: Moment) -> bool {
        if needed {
            self.needed = Some(now);
        }
        let wanted = self.needed.is_some_and(|at| now.since(at) < IDLE_TIME);
        let due = wanted && self.gathered.is_none_or(|at| now.since(at) >= RENEW_INTERVAL);
        if due {
            self.gathered = Some(now);
        }
        due
    }

    /// Whether this router uses shares of others.
    pub fn has_leases(&mut self, own: ShareTerms, now: Moment) -> bool {
        self.settle(own, now);
        self.leases.has_leased()
    }

    /// The number of shares of others that this router uses.
    pub fn leased_shares(&self) -> usize {
        self.leases.leased_count()
    }

    /// The tokens that are promised to callers, also those of future refill.
    pub fn promised(&mut self, now: Moment) -> f64 {
        self.promises.expire(now);
        self.promises.promised()
    }

    /// The time until the bucket holds this many tokens, or its whole capacity if that is less. While its share is leased to another
    /// router, the time until that lease ends counts as well.
    pub fn time_until(&mut self, own: ShareTerms, tokens: f64, now: Moment) -> Duration {
        let share = self.settle(own, now);
        if let Some(until) = self.leases.granted() {
            let own_share = own.total.share(own.count);
            let refill = tokens.min(own_share.capacity) / own_share.refill_rate;
            let refill = Duration::try_from_secs_f64(refill).unwrap_or(Duration::MAX);
            return until.since(now).saturating_add(refill);
        }
        self.bucket.time_until(share, tokens.min(share.capacity), now)
    }
}

#[cfg(test)]
mod tests;
