//! Wall time for the truth, so that it can be compared between processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub(crate) fn wall_ms() -> u64 {
    #[allow(clippy::disallowed_methods, reason = "only to be shown")]
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(since)
}

/// A span in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
