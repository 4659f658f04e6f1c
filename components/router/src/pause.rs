//! Pauses of a request before it is sent.

use std::time::Duration;

use events::Refusal;
use http::StatusCode;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::caller::CallerConnection;
use crate::in_flight::{Failure, WAIT_RETRY_AFTER};

/// How often a request that pauses looks whether its caller has left.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a pause has ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// The caller has closed its connection.
    CallerLeft,
    /// The router closes: the request could not be finished before the process ends.
    Stopping,
}

impl From<Interruption> for Failure {
    fn from(interruption: Interruption) -> Self {
        let (cause, after) = match interruption {
            Interruption::CallerLeft => (Refusal::Left, None),
            Interruption::Stopping => (Refusal::Stopping, Some(WAIT_RETRY_AFTER)),
        };
        Self { status: StatusCode::SERVICE_UNAVAILABLE, cause, after }
    }
}

/// Pauses a request, unless its caller leaves or the router closes.
pub(crate) async fn pause(
    closing: &watch::Sender<bool>,
    caller: &CallerConnection,
    time: Duration,
) -> Result<(), Interruption> {
    let until = Instant::now() + time;
    let mut closing = closing.subscribe();
    while Instant::now() < until {
        let next = until.min(Instant::now() + CALLER_CHECK_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep_until(next) => {}
            _ = closing.wait_for(|closing| *closing) => return Err(Interruption::Stopping)
        }
        if caller.is_closed() {
            return Err(Interruption::CallerLeft);
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
