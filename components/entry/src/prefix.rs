//! Which endpoint served a prompt's prefix last, so that its KV cache is used again.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use units::{EndpointId, NodePath};
use xxhash_rust::xxh3::Xxh3;

/// The bytes of a prompt that make its prefix; shorter prompts gain nothing from a cache.
const PREFIX: usize = 256;
/// The most prefixes in one generation; two generations are kept.
const KEPT: usize = 16_384;

/// The digest of a leaf and the start of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Prefix(u64);

#[derive(Debug, Deserialize)]
struct Prompt<'a> {
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
}

impl Prefix {
    /// The prefix of a completion's body, if its prompt is long enough.
    pub(crate) fn of(leaf: &NodePath, body: &Bytes) -> Option<Self> {
        let prompt: Prompt<'_> = serde_json::from_slice(body).ok()?;
        let text = prompt.messages.or(prompt.prompt)?.get();
        let start = text.as_bytes().get(..PREFIX)?;
        let mut digest = Xxh3::new();
        digest.update(leaf.as_str().as_bytes());
        digest.update(&[0]);
        digest.update(start);
        Some(Self(digest.digest()))
    }
}

/// The endpoints of the prefixes seen lately; older ones are forgotten a generation at a time.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    kept: Mutex<Generations>,
}

#[derive(Debug, Default)]
struct Generations {
    young: HashMap<Prefix, EndpointId>,
    old: HashMap<Prefix, EndpointId>,
}

impl Prefixes {
    /// The endpoint that served the prefix last.
    pub(crate) fn get(&self, prefix: Prefix) -> Option<EndpointId> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.young.get(&prefix).or_else(|| kept.old.get(&prefix)).cloned()
    }

    /// Notes that an endpoint served the prefix.
    pub(crate) fn note(&self, prefix: Prefix, endpoint: &EndpointId) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.young.len() >= KEPT {
            kept.old = std::mem::take(&mut kept.young);
        }
        kept.young.insert(prefix, endpoint.clone());
    }
}

#[cfg(test)]
mod tests;
