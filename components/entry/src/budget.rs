//! The retry budget of a process: retries are a share of first attempts, so they can't amplify an overload.

use std::sync::{Mutex, PoisonError};

/// What a first attempt adds, in thousandths of a retry.
const SHARE: u64 = 200;
/// One retry, in thousandths.
const RETRY: u64 = 1000;
/// The most retries that may be saved up; also what a process starts with.
const MOST: u64 = 50 * RETRY;

/// A token bucket filled by first attempts and emptied by retries.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: Mutex<u64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: Mutex::new(MOST) }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub(crate) fn first(&self) {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        *tokens = (*tokens + SHARE).min(MOST);
    }

    /// Takes one retry out, if there is one left.
    pub(crate) fn retry(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(left) = tokens.checked_sub(RETRY) else { return false };
        *tokens = left;
        true
    }
}

#[cfg(test)]
mod tests;
