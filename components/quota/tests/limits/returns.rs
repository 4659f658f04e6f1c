//! The simulated callers that send a refused request once more: when they are told to, or at once.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;

use super::world::{BOUNDS, Faults, Fraction, STEP_MS, Sharing, World};

/// How long callers wait in all.
const CALLER_DEADLINE: Duration = Duration::from_secs(17);
/// The part of the time that a caller has left for which it honors a `Retry-After`.
const HONORED_DIVISOR: u32 = 3;
/// The part of the callers that do not wait for as long as they are told.
const EARLY_FRACTION: f64 = 1.0 / 3.0;
/// The pause of such a caller.
const EARLY_PAUSE_MS: u64 = 40;
/// The longest time that an answer and the next request are under way.
const TRANSIT_MS: u64 = 20;

/// A request that is sent once or twice.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sent {
    pub(super) fingerprint: u64,
    pub(super) cost: f64,
}

/// What a refused caller is told.
#[derive(Debug, Clone, Copy)]
pub(super) enum Answer {
    Admitted,
    /// Refused, with this `Retry-After`.
    Refused(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Return {
    at: u64,
    sent: Sent,
    as_told: bool,
}

/// The callers that are going to return, and what became of those that did.
#[derive(Debug, Default)]
pub(super) struct Returns {
    pending: Vec<Return>,
    sent: u64,
    /// All tokens that callers have asked for.
    asked: f64,
    /// Starts of windows, with the tokens asked for before less those that the limit allows; later ones are higher, so that the
    /// first is the lowest.
    starts: VecDeque<(u64, f64)>,
    pub(super) refused_below: Fraction,
    pub(super) second_refusals: Fraction,
    pub(super) served: Fraction,
}

impl World {
    /// The tokens that callers ask for now, as a fraction of the limit.
    pub(super) fn load(&self, joined: u64) -> f64 {
        let second = self.now.saturating_sub(joined) / 1_000;
        let surge = self.plan.surge.filter(|_| self.now > joined);
        let surge = surge.filter(|surge| (surge.from..surge.to).contains(&second));
        self.plan.load * surge.map_or(1.0, |surge| surge.factor)
    }

    /// Sends a request for the first time; returns whether it is admitted.
    pub(super) fn send_first(&mut self, at: usize, cost: f64, joined: u64) -> bool {
        if !self.plan.retries && self.plan.sharing != Sharing::Promises {
            return self.admit(at, cost);
        }
        self.returns.sent += 1;
        let sent = Sent { fingerprint: self.returns.sent, cost };
        let answer = self.send(at, sent, joined);
        if self.now > joined {
            self.returns.served.count(matches!(answer, Answer::Admitted));
        }
        let Answer::Refused(after) = answer else { return true };
        if self.plan.retries {
            self.plan_return(sent, after);
        }
        false
    }

    fn plan_return(&mut self, sent: Sent, after: Duration) {
        let early = self.rng.random_bool(EARLY_FRACTION);
        if !early && after > within() {
            return;
        }
        let told = u64::try_from(after.as_millis()).expect("small");
        let pause = if early { EARLY_PAUSE_MS } else { told };
        let at = self.now + pause + self.rng.random_range(0..TRANSIT_MS);
        self.returns.pending.push(Return { at, sent, as_told: !early });
    }

    /// Sends the requests of the callers that return now.
    pub(super) fn step_returns(&mut self, joined: u64) {
        let until = self.now + STEP_MS;
        let due = |next: &mut Return| next.at < until;
        let due: Vec<Return> = self.returns.pending.extract_if(.., due).collect();
        for next in due {
            let Some(at) = self.pick_router() else { continue };
            let admitted = matches!(self.send(at, next.sent, joined), Answer::Admitted);
            if self.now > joined {
                self.returns.served.part += u32::from(admitted);
                if next.as_told && self.plan.faults == Faults::None {
                    self.returns.second_refusals.count(!admitted);
                }
            }
        }
    }

    fn send(&mut self, at: usize, sent: Sent, joined: u64) -> Answer {
        let below = self.is_below_limit(sent.cost);
        let answer = match self.plan.sharing {
            Sharing::Promises => self.admit_promised(at, sent),
            Sharing::EqualShares | Sharing::Borrowing => {
                if self.admit(at, sent.cost) {
                    Answer::Admitted
                } else {
                    Answer::Refused(self.own_retry_after(at, sent.cost))
                }
            }
        };
        if below && self.now > joined && self.plan.faults == Faults::None {
            self.returns.refused_below.count(matches!(answer, Answer::Refused(_)));
        }
        answer
    }

    /// Whether the callers ask for no more than the limit, which is its rate and its burst, in any window that ends now and is no
    /// longer than [`BOUNDS`] says.
    #[allow(clippy::cast_precision_loss, reason = "milliseconds")]
    fn is_below_limit(&mut self, cost: f64) -> bool {
        let (now, window) = (self.now, u64::try_from(BOUNDS.window.as_millis()).expect("small"));
        let refill = self.plan.rate * now as f64 / 1_000.0;
        let returns = &mut self.returns;
        // The window that begins now contains this request.
        let start = returns.asked - refill;
        while returns.starts.back().is_some_and(|(_, other)| *other >= start) {
            returns.starts.pop_back();
        }
        returns.starts.push_back((now, start));
        while returns.starts.front().is_some_and(|(at, _)| at + window < now) {
            returns.starts.pop_front();
        }
        returns.asked += cost;
        let lowest = returns.starts.front().map_or(start, |(_, lowest)| *lowest);
        returns.asked - refill - lowest <= self.plan.rate
    }

    /// The `Retry-After` without promises: when the router's own bucket holds the tokens.
    fn own_retry_after(&mut self, at: usize, cost: f64) -> Duration {
        let moment = self.at(self.now);
        let spec = self.spec;
        let jitter = 1.0 + 0.3 * self.rng.random::<f64>();
        let router = &mut self.routers[at];
        let share = router.roster.share(moment).map(|share| spec.share(share.count));
        let own =
            router.bucket.as_mut().zip(share).map(|((bucket, _), share)| {
                bucket.time_until(share, cost.min(share.capacity), moment)
            });
        let own = own.unwrap_or(BOUNDS.window);
        own.clamp(Duration::from_millis(300), BOUNDS.window).mul_f64(jitter)
    }
}

/// The longest `Retry-After` that a caller honors.
pub(super) fn within() -> Duration {
    CALLER_DEADLINE / HONORED_DIVISOR
}
