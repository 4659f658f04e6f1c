//! Forgetting: what was seen counts less as time passes.

use std::time::Duration;

use tokio::time::Instant;

/// What is left of something last brought up to date at `at`: a third after `span`.
pub(crate) fn kept(at: Option<Instant>, now: Instant, span: Duration) -> f64 {
    let since = at.map_or(Duration::ZERO, |at| now - at);
    (-since.as_secs_f64() / span.as_secs_f64()).exp()
}
