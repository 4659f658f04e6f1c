//! Serialization of durations as whole milliseconds, for serde's `with` attribute.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Serializes a duration as milliseconds.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Deserializes a duration from milliseconds.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Ok(Duration::from_millis(u64::deserialize(deserializer)?))
}
