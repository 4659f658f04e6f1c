//! Counts the tokens that each workspace was served lately.
//!
//! Load pattern: one workspace sends six times its usual rate. In the order of arrival it would get six times as much as the
//! others; ordered by the tokens served, it waits for its own requests.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use units::WorkspaceName;

/// The time in which what a workspace was served loses half of its weight. It covers the longest load of a model, so that a
/// workspace that was served at the beginning of a shortage is still known to have been served.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Half-lives after which the stored values are rebased, far below the range of `f64`.
const MAX_EXPONENT: f64 = 40.0;
/// Counters below this many tokens are forgotten.
const MIN_TOKENS: f64 = 1.0;

/// One workspace, or all requests without one.
type Account = Option<WorkspaceName>;

/// The virtual token counters of all workspaces.
#[derive(Debug, Default)]
pub struct TokenCounters {
    /// Tokens with the weight that they had at `base`; later tokens have more weight.
    served: HashMap<Account, f64>,
    base: Option<Instant>,
    /// The number of waiting requests of each workspace that has any.
    waiting: HashMap<Account, usize>,
}

impl TokenCounters {
    /// The tokens that a workspace was served lately.
    pub fn tokens(&self, account: &Account, now: Instant) -> f64 {
        self.served.get(account).map_or(0.0, |served| served / self.weight(now))
    }

    /// Counts the tokens of a request that is sent to an endpoint.
    pub fn charge(&mut self, account: &Account, tokens: u64, now: Instant) {
        self.rebase(now);
        let weighted = tokens_of(tokens) * self.weight(now);
        *self.served.entry(account.clone()).or_default() += weighted;
    }

    /// Counts a waiting request. A workspace that had none is raised to the lowest counter of those that have some.
    pub fn begin_waiting(&mut self, account: &Account, now: Instant) {
        self.rebase(now);
        let active = self.waiting.contains_key(account);
        if !active {
            let stored = |other| self.served.get(other).copied().unwrap_or(0.0);
            let lowest = self.waiting.keys().map(stored).min_by(f64::total_cmp);
            let own = self.served.entry(account.clone()).or_default();
            *own = own.max(lowest.unwrap_or(0.0));
        }
        *self.waiting.entry(account.clone()).or_default() += 1;
    }

    /// Counts a waiting request less.
    pub fn end_waiting(&mut self, account: &Account) {
        let Some(waiting) = self.waiting.get_mut(account) else { return };
        *waiting -= 1;
        if *waiting == 0 {
            self.waiting.remove(account);
        }
    }

    /// The counters of all workspaces, the highest first.
    pub fn all(&self, now: Instant) -> Vec<(Account, f64)> {
        let mut all: Vec<(Account, f64)> = self
            .served
            .keys()
            .map(|account| (account.clone(), self.tokens(account, now)))
            .collect();
        all.sort_by(|one, other| other.1.total_cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
        all
    }

    /// The weight of a token served now, relative to one served at `base`.
    fn weight(&self, now: Instant) -> f64 {
        self.exponent(now).exp2()
    }

    fn exponent(&self, now: Instant) -> f64 {
        let age = self.base.map_or(Duration::ZERO, |base| now.saturating_duration_since(base));
        age.as_secs_f64() / HALF_LIFE.as_secs_f64()
    }

    fn rebase(&mut self, now: Instant) {
        if self.base.is_none() {
            self.base = Some(now);
        }
        if self.exponent(now) < MAX_EXPONENT {
            return;
        }
        let weight = self.weight(now);
        let waiting = &self.waiting;
        self.served.retain(|account, served| {
            *served /= weight;
            *served >= MIN_TOKENS || waiting.contains_key(account)
        });
        self.base = Some(now);
    }
}

/// The tokens of a request as a number that counters add up; a request of unknown size counts one token.
#[allow(clippy::cast_precision_loss, reason = "tokens of a request are few")]
pub(crate) fn tokens_of(tokens: u64) -> f64 {
    tokens.max(1) as f64
}

#[cfg(test)]
mod tests;
