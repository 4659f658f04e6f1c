//! The claims of the last window, as one process has read them.
//!
//! A claim wins if no other claim of its key that is not withdrawn was read within the window. Processes
//! that started at different times may disagree on whether an old claim has run out, but a claim that won
//! anywhere is never withdrawn, so it stands against every later one at every process for a whole window
//! after that process read it, which is no earlier than it was made.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use record::KeyClaim;
use tokio::time::Instant;
use units::{KeyHash, RequestId};
use xxhash_rust::xxh3::xxh3_128;

use crate::KeyOutcome;

/// The most claims that are remembered; beyond it nothing is decided until the surplus has run out.
const CLAIMS_LIMIT: usize = 50_000;

/// A key or body digest, in less memory than its text.
type Digest = u128;

#[derive(Debug)]
struct Claim {
    request: RequestId,
    body: Digest,
    withdrawn: bool,
}

#[derive(Debug)]
struct Age {
    read: Instant,
    key: Digest,
    request: RequestId,
}

/// The claims of the last window.
#[derive(Debug)]
pub(crate) struct Claims {
    window: Duration,
    by_key: HashMap<Digest, Vec<Claim>>,
    order: VecDeque<Age>,
    skipped: Option<Instant>,
}

impl Claims {
    pub(crate) fn new(window: Duration) -> Self {
        Self { window, by_key: HashMap::new(), order: VecDeque::new(), skipped: None }
    }

    /// How many claims are remembered.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether claims of the window are missing here, so that none can win.
    pub(crate) fn is_partial(&mut self) -> bool {
        self.expire();
        self.skipped.is_some()
    }

    /// Notes that claims were not read or not remembered.
    pub(crate) fn skip(&mut self) {
        log::error!("keys: claims are missing here; no key can be claimed for {:?}", self.window);
        self.skipped = Some(Instant::now());
    }

    /// Takes a claim as it is read; nothing if it was read before, or comes after its withdrawal.
    pub(crate) fn claim(&mut self, claim: &KeyClaim) -> Option<KeyOutcome> {
        self.expire();
        if self.is_known(claim) {
            return None;
        }
        let outcome = self.outlook(claim);
        let body = digest(&claim.digest);
        let request = claim.request.clone();
        self.remember(&claim.key, Claim { request, body, withdrawn: false });
        Some(outcome)
    }

    /// Takes a withdrawal as it is read, which may be before the claim.
    pub(crate) fn withdraw(&mut self, key: &KeyHash, request: &RequestId) {
        self.expire();
        let claims = self.by_key.get_mut(&digest(key.as_str()));
        let known = claims.and_then(|claims| claims.iter_mut().find(|c| c.request == *request));
        match known {
            Some(claim) => claim.withdrawn = true,
            None => {
                let claim = Claim { request: request.clone(), body: 0, withdrawn: true };
                self.remember(key, claim);
            }
        }
    }

    /// Whether a withdrawal has been read.
    pub(crate) fn is_withdrawn(&self, claim: &KeyClaim) -> bool {
        self.of(&claim.key).any(|known| known.request == claim.request && known.withdrawn)
    }

    /// Whether a claim or its withdrawal has been read.
    pub(crate) fn is_known(&self, claim: &KeyClaim) -> bool {
        self.of(&claim.key).any(|known| known.request == claim.request)
    }

    /// What a claim would find now.
    pub(crate) fn outlook(&self, claim: &KeyClaim) -> KeyOutcome {
        let stands = |known: &&Claim| !known.withdrawn && known.request != claim.request;
        match self.of(&claim.key).find(stands) {
            None => KeyOutcome::Won,
            Some(first) => KeyOutcome::Taken {
                by: first.request.clone(),
                same: first.body == digest(&claim.digest),
            },
        }
    }

    fn of(&self, key: &KeyHash) -> impl Iterator<Item = &Claim> {
        self.by_key.get(&digest(key.as_str())).into_iter().flatten()
    }

    fn remember(&mut self, key: &KeyHash, claim: Claim) {
        if self.order.len() >= CLAIMS_LIMIT {
            self.skip();
            return;
        }
        let key = digest(key.as_str());
        let request = claim.request.clone();
        self.order.push_back(Age { read: Instant::now(), key, request });
        self.by_key.entry(key).or_insert_with(|| Vec::with_capacity(1)).push(claim);
    }

    fn expire(&mut self) {
        let window = self.window;
        let is_old = |age: &Age| age.read.elapsed() > window;
        while self.order.front().is_some_and(is_old) {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(claims) = self.by_key.get_mut(&oldest.key) {
                claims.retain(|claim| claim.request != oldest.request);
                if claims.is_empty() {
                    self.by_key.remove(&oldest.key);
                }
            }
        }
        self.skipped = self.skipped.filter(|skipped| skipped.elapsed() <= window);
    }
}

fn digest(text: &str) -> Digest {
    xxh3_128(text.as_bytes())
}

#[cfg(test)]
mod tests;
