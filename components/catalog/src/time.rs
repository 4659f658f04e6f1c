//! Times in a configuration.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// The longest time in a configuration; a longer one counts as this. The clock can't represent the end of every longer one.
pub const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Deserializes a time, which is at most [`MAX_TIME`] whatever another process hands over.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    Ok(Duration::deserialize(deserializer)?.min(MAX_TIME))
}

#[cfg(test)]
mod tests;
