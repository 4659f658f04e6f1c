//! Reports of agents to entries about the prompt prefixes in their engines' caches.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// Changes of the prompt prefixes that are cached for a model at an endpoint. If the numbers of the changes, which end
/// with `upto`, do not follow the last number received, then some changes were missed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixUpdate {
    /// The epoch of the cache; what was known about the cache in an earlier epoch no longer holds.
    pub epoch: u64,
    /// The number of the newest change.
    pub upto: u64,
    /// How many gaps the engine's events have had; after a gap, what was known before it is uncertain.
    pub gaps: u64,
    /// The share of a request's run time that a cached prefix saves, in thousandths; 0 if unknown.
    pub saved: u32,
    /// The most recent changes, oldest first; the last one has the number `upto`.
    pub changes: PrefixList,
    /// Some of the prefixes that were cached earlier; successive reports go through all of them.
    pub cached: PrefixList,
}

/// A change of one prefix in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixChange {
    /// The first 32 bits of the prefix's digest.
    pub prefix: u32,
    /// Whether the prefix is cached now.
    pub stored: bool,
}

/// Changes, each serialized as `+` or `-` and eight hexadecimal digits, without separators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct PrefixList(pub Vec<PrefixChange>);

/// The length of a serialized change in bytes.
const CHANGE_LEN: usize = 9;

impl From<PrefixList> for String {
    fn from(list: PrefixList) -> Self {
        let mut text = Self::with_capacity(list.0.len() * CHANGE_LEN);
        for change in list.0 {
            let sign = if change.stored { '+' } else { '-' };
            // Writing to a string can't fail.
            let _ = write!(text, "{sign}{:08x}", change.prefix);
        }
        text
    }
}

impl TryFrom<String> for PrefixList {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let changes = text.as_bytes().chunks(CHANGE_LEN).map(parse_change);
        let changes: Option<Vec<PrefixChange>> = changes.collect();
        changes.map(Self).ok_or_else(|| format!("`{text}` is no list of prefixes"))
    }
}

fn parse_change(text: &[u8]) -> Option<PrefixChange> {
    let (sign, digits) = text.split_first()?;
    let stored = match sign {
        b'+' => true,
        b'-' => false,
        _ => return None,
    };
    let digits =
        std::str::from_utf8(digits).ok().filter(|digits| digits.len() == CHANGE_LEN - 1)?;
    let prefix = u32::from_str_radix(digits, 16).ok()?;
    Some(PrefixChange { prefix, stored })
}
