//! A stand-in that is stopped for a while, as a paused process is: it does late what it was sent meanwhile.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Until when a stand-in is frozen.
#[derive(Debug)]
pub(crate) struct Freeze(watch::Sender<Instant>);

impl Default for Freeze {
    fn default() -> Self {
        Self(watch::Sender::new(Instant::now()))
    }
}

impl Freeze {
    /// Freezes for a while from now on.
    pub(crate) fn begin(&self, span: Duration) {
        self.0.send_replace(Instant::now() + span);
    }

    /// Ends a freeze early.
    pub(crate) fn end(&self) {
        self.0.send_replace(Instant::now());
    }

    /// Waits while it is frozen.
    pub(crate) async fn thawed(&self) {
        let mut until = self.0.subscribe();
        loop {
            let end = *until.borrow_and_update();
            if end <= Instant::now() {
                return;
            }
            tokio::select! {
                () = sleep_until(end) => {}
                _ = until.changed() => {}
            }
        }
    }
}
