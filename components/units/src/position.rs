//! Positions in the log and numbers derived from them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a text is not a position.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not a {kind}; write a whole number")]
pub struct ParsePositionError {
    kind: &'static str,
    text: String,
}

macro_rules! position {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The number after this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParsePositionError;

            fn from_str(text: &str) -> Result<Self, ParsePositionError> {
                let bad = |_| ParsePositionError { kind: $kind, text: text.to_owned() };
                text.parse().map(Self).map_err(bad)
            }
        }
    };
}

position!(
    /// The place of a record in a stream of the log; the first record has offset 1, and 0 means "none yet".
    Offset, u64, "log offset"
);
position!(
    /// How often the platform's store has come back from an older copy of itself.
    Era, u64, "store era"
);
position!(
    /// The offset of the claim that made a process the planner.
    Epoch, u64, "planner epoch"
);
position!(
    /// The offset of the edit that a setting's value came from; it only grows.
    Revision, u64, "revision"
);
position!(
    /// The offset of an agent's attach record; also the fencing number of its orders.
    Incarnation, u64, "incarnation"
);
position!(
    /// One life of an endpoint, from its start to its end: the Unix millisecond of the start by the endpoint's own clock.
    EndpointIncarnation, u64, "endpoint incarnation"
);
position!(
    /// Of two who give orders to one endpoint, the one with the higher token started later.
    FencingToken, u64, "fencing token"
);
position!(
    /// Which replica of a model a grant is for, from 0.
    ReplicaIndex, u32, "replica index"
);

impl EndpointIncarnation {
    /// Whether two who speak of an endpoint mean different lives of it; one that does not say which may mean the same.
    #[must_use]
    pub fn differ(one: Option<Self>, other: Option<Self>) -> bool {
        one.zip(other).is_some_and(|(one, other)| one != other)
    }
}

impl From<Offset> for Epoch {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}

impl From<Offset> for Revision {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}

impl From<Offset> for Incarnation {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}

/// A position in a topic of the platform's store. Offsets are given out again after the store has come back from an older copy,
/// so that they tell what is newer only within one era. Written as `era.offset`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// The era of the store.
    pub era: Era,
    /// The offset in the topic.
    pub offset: Offset,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.offset)
    }
}

impl FromStr for StorePosition {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, ParsePositionError> {
        let bad = || ParsePositionError { kind: "store position", text: text.to_owned() };
        let (era, offset) = text.split_once('.').ok_or_else(bad)?;
        Ok(Self { era: era.parse()?, offset: offset.parse()? })
    }
}

/// Bits of a fencing token that hold the offset; with up to 8,192 eras the token is exact also for those who read numbers of
/// JSON as floating-point ones.
const OFFSET_BITS: u32 = 40;

impl From<StorePosition> for FencingToken {
    /// The era goes first: a start that the store has lost with a copy had a lower token than any start after it.
    fn from(start: StorePosition) -> Self {
        let StorePosition { era, offset } = start;
        // 0 may stand for "none" at an endpoint.
        let offset = offset.0.saturating_add(1).min((1 << OFFSET_BITS) - 1);
        Self(era.0.saturating_mul(1 << OFFSET_BITS).saturating_add(offset))
    }
}

#[cfg(test)]
mod tests;
