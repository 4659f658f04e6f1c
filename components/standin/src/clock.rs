//! Wall time for the truth, so that it can be compared between processes.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
