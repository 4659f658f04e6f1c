//! Positions in the log, and numbers derived from them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The error for a text that is not a position or a number of this module.
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
    /// The position of a record in a stream of the log. The first record has offset 1; 0 means that there is none yet.
    Offset, u64, "log offset"
);
position!(
    /// How often the platform's store has been restored from an older copy.
    Era, u64, "store era"
);
position!(
    /// The offset of the claim that made a process the planner.
    Epoch, u64, "planner epoch"
);
position!(
    /// The offset of the edit that a setting's value came from. A newer value has a higher revision.
    Revision, u64, "revision"
);
position!(
    /// The offset of an agent's attach record, which is also the fencing number of the agent's orders.
    Incarnation, u64, "incarnation"
);
position!(
    /// One run of an endpoint from its start to its end, identified by the time of the start: Unix milliseconds by the
    /// endpoint's own clock.
    EndpointIncarnation, u64, "endpoint incarnation"
);
position!(
    /// A token that orders the processes which give orders to the same endpoint: the one with the higher token started later.
    FencingToken, u64, "fencing token"
);
position!(
    /// The replica of a model that a grant is for, counted from 0.
    ReplicaIndex, u32, "replica index"
);

impl EndpointIncarnation {
    /// Whether both incarnations are known and differ. An unknown incarnation may be the same as any other.
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

/// A position in a topic of the platform's store, written as `era.offset`. After the store has been restored from an older
/// copy it assigns the same offsets again, so offsets can only be compared within one era.
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

/// The number of low bits of a fencing token that hold the offset. With up to 8,192 eras a token is exact even for a reader
/// that parses JSON numbers as floating-point numbers.
const OFFSET_BITS: u32 = 40;

impl From<StorePosition> for FencingToken {
    /// The era fills the high bits, so that a start record which the store has lost in a restore has a lower token than any
    /// later start.
    fn from(start: StorePosition) -> Self {
        let StorePosition { era, offset } = start;
        // An endpoint may take 0 to mean that there is no token.
        let offset = offset.0.saturating_add(1).min((1 << OFFSET_BITS) - 1);
        Self(era.0.saturating_mul(1 << OFFSET_BITS).saturating_add(offset))
    }
}

#[cfg(test)]
mod tests;
