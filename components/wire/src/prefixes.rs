//! What agents tell entries of the prompt prefixes in their engines' caches.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// News of the prompt prefixes that are cached for a model at an endpoint; a hole between `upto` and the
/// changes shows that some were missed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixUpdate {
    /// Which life of the cache it is: what was known of an earlier one is void.
    pub epoch: u64,
    /// The number of the newest change.
    pub upto: u64,
    /// How many gaps the engine's events have had: each makes what was known before it doubtful.
    pub gaps: u64,
    /// What a cached prefix saves of the time that a request runs, in thousandths; 0 if that is not known.
    pub saved: u32,
    /// The newest changes, the oldest first; the last one has the number `upto`.
    pub changes: PrefixList,
    /// Some of the prefixes that are cached for longer, in turn.
    pub cached: PrefixList,
}

/// What became of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixChange {
    /// The start of the prefix's digest.
    pub prefix: u32,
    /// Whether it is cached now.
    pub stored: bool,
}

/// Changes written as `+` or `-` with eight hexadecimal digits each, without anything between.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct PrefixList(pub Vec<PrefixChange>);

/// How long a written change is.
const WRITTEN: usize = 9;

impl From<PrefixList> for String {
    fn from(list: PrefixList) -> Self {
        let mut text = Self::with_capacity(list.0.len() * WRITTEN);
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
        let changes = text.as_bytes().chunks(WRITTEN).map(read);
        let changes: Option<Vec<PrefixChange>> = changes.collect();
        changes.map(Self).ok_or_else(|| format!("`{text}` is no list of prefixes"))
    }
}

fn read(written: &[u8]) -> Option<PrefixChange> {
    let (sign, digits) = written.split_first()?;
    let stored = match sign {
        b'+' => true,
        b'-' => false,
        _ => return None,
    };
    let digits = std::str::from_utf8(digits).ok().filter(|digits| digits.len() == WRITTEN - 1)?;
    let prefix = u32::from_str_radix(digits, 16).ok()?;
    Some(PrefixChange { prefix, stored })
}
