//! Spans of time as whole milliseconds, for serde.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Writes a span.
pub fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a span.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Ok(Duration::from_millis(u64::deserialize(deserializer)?))
}
