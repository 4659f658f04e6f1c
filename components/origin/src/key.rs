//! Identifies a stream.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Identifies a stream by the request that began it. Requests of different callers have different keys, whatever their ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct StreamKey(u128);

/// The error for a text that is not a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{0}` is no stream key; write 32 hexadecimal digits")]
pub struct ParseKeyError(String);

impl StreamKey {
    /// The key of the stream that the request with this id began, sent by this caller to this host.
    pub fn new(host: &[u8], caller: &[u8], request_id: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [host, caller, request_id] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// A number derived from the key and `salt`, evenly spread over all numbers.
    pub(crate) fn mix(self, salt: &[u8]) -> u64 {
        let [low, high] = [self.0 as u64, (self.0 >> 64) as u64];
        xxh3_64_with_seed(salt, low ^ high)
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for StreamKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let parsed = digits.then(|| u128::from_str_radix(text, 16).ok()).flatten();
        parsed.map(Self).ok_or_else(|| ParseKeyError(text.chars().take(40).collect()))
    }
}

impl TryFrom<String> for StreamKey {
    type Error = ParseKeyError;

    fn try_from(text: String) -> Result<Self, ParseKeyError> {
        text.parse()
    }
}

impl From<StreamKey> for String {
    fn from(key: StreamKey) -> String {
        key.to_string()
    }
}

#[cfg(test)]
mod tests;
