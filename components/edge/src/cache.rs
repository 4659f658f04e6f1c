//! What engines tell of their caches of prompt prefixes: late, and with gaps.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use units::ModelName;
use xxhash_rust::xxh3::xxh3_64;

/// How many bytes of a prompt make its prefix.
const PREFIX: usize = 64;

/// The XXH3 digest of the first 64 bytes of a prompt, written in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct PrefixHash(pub u64);

/// What became of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// It is cached from now on.
    Stored,
    /// It had to make room, or its model was unloaded.
    Evicted,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; a number that is missing is a gap.
    pub seq: u64,
    /// The model with its version.
    pub artifact: ModelName,
    /// The prefix.
    pub prefix: PrefixHash,
    /// What became of it.
    pub change: CacheChange,
}

/// Cache events in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number to read from next.
    pub next: u64,
    /// Events that are old enough to be told.
    pub events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
struct Call {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

impl PrefixHash {
    /// The digest of a text's start.
    pub fn of(text: &str) -> Self {
        let bytes = text.as_bytes();
        Self(xxh3_64(&bytes[..bytes.len().min(PREFIX)]))
    }

    /// The digest of the prompt in a completion's body; `None` where it is too short to gain from a cache.
    pub fn of_body(body: &[u8]) -> Option<Self> {
        let call: Call = serde_json::from_slice(body).ok()?;
        let mut text = call.prompt;
        for (place, message) in call.messages.iter().enumerate() {
            if place > 0 {
                text.push('\n');
            }
            text.push_str(&message.content);
            if text.len() >= PREFIX {
                break;
            }
        }
        (text.len() >= PREFIX).then(|| Self::of(&text))
    }

    /// Its first 32 bits, which tell prefixes apart well enough for a choice among replicas.
    pub fn short(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

impl Display for PrefixHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl From<PrefixHash> for String {
    fn from(hash: PrefixHash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for PrefixHash {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16).map(Self)
    }
}
