//! What a model's closing windows ask for at a moment.

use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use tree::Window;

/// How long before an opening the replicas that a window asks for are granted. Grants cost nothing until
/// they are loaded, so this is long enough for the loads of a whole site to be spread before the opening.
pub const GRANT_LEAD: Duration = Duration::from_secs(3600);

/// What the closing windows of a model ask for now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Closing {
    /// When the next window opens.
    pub opens: Option<Timestamp>,
    /// Replicas that an open window needs.
    pub open: u32,
    /// Replicas that an open window, or one that opens within [`GRANT_LEAD`], needs.
    pub near: u32,
}

impl Closing {
    /// Looks at windows at a moment.
    pub fn at(windows: &[Window], now: Timestamp) -> Self {
        let lead = SignedDuration::try_from(GRANT_LEAD).unwrap_or(SignedDuration::MAX);
        let mut closing = Self::default();
        for window in windows {
            if window.open_at(now).is_some() {
                closing.open = closing.open.max(window.replicas);
            }
            let Some(opens) = window.next_opening(now) else { continue };
            closing.opens = Some(closing.opens.map_or(opens, |other| other.min(opens)));
            if opens.duration_since(now) <= lead {
                closing.near = closing.near.max(window.replicas);
            }
        }
        closing.near = closing.near.max(closing.open);
        closing
    }
}

#[cfg(test)]
mod tests;
