//! Exponential decay: older observations count less.

use std::time::Duration;

use tokio::time::Instant;

/// The remaining weight of an observation that was last updated at `at`; it falls to about a third (1/e) after
/// `time_constant`.
pub(crate) fn remaining_weight(at: Option<Instant>, now: Instant, time_constant: Duration) -> f64 {
    let since = at.map_or(Duration::ZERO, |at| now - at);
    (-since.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
