//! What a model's closing windows require at a given time.

use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use tree::Window;

/// How long before an opening the replicas that a window requires are granted. A grant costs nothing until its replica is
/// loaded, so this is long enough to spread the loads of a whole site before the opening.
pub const GRANT_LEAD: Duration = Duration::from_secs(3600);

/// What the closing windows of a model require at a given time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClosingDemand {
    /// When the next window opens.
    pub next_opening: Option<Timestamp>,
    /// Replicas that the open windows require.
    pub open_replicas: u32,
    /// Replicas required by windows that are open or open within [`GRANT_LEAD`].
    pub near_replicas: u32,
}

impl ClosingDemand {
    /// Evaluates windows at a given time.
    pub fn at(windows: &[Window], now: Timestamp) -> Self {
        let lead = SignedDuration::try_from(GRANT_LEAD).unwrap_or(SignedDuration::MAX);
        let mut closing = Self::default();
        for window in windows {
            if window.open_at(now).is_some() {
                closing.open_replicas = closing.open_replicas.max(window.replicas);
            }
            let Some(opens) = window.next_opening(now) else { continue };
            closing.next_opening =
                Some(closing.next_opening.map_or(opens, |other| other.min(opens)));
            if opens.duration_since(now) <= lead {
                closing.near_replicas = closing.near_replicas.max(window.replicas);
            }
        }
        closing.near_replicas = closing.near_replicas.max(closing.open_replicas);
        closing
    }
}

#[cfg(test)]
mod tests;
