//! Decides whether a request that waits for a model can still be served in time.

use std::time::Duration;

/// The shortest time between a model becoming ready and the first event of its response: the prompt is processed and
/// the event is sent to the caller.
const MIN_FIRST_EVENT_DELAY: Duration = Duration::from_millis(100);
/// A refused caller is never asked to retry sooner than this; otherwise many callers would return in one burst.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Whether a request waits for its model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request can be served in time: let it wait.
    Wait,
    /// The request can't be served in time: refuse it, and ask the caller to retry after this time.
    Refuse(Duration),
}

/// Decides on a request with `left` until its deadline, whose model is expected to be ready in `ready_in`.
pub fn admit(left: Duration, ready_in: Duration) -> Admission {
    if ready_in + MIN_FIRST_EVENT_DELAY <= left {
        Admission::Wait
    } else {
        Admission::Refuse(ready_in.max(MIN_RETRY_AFTER))
    }
}

#[cfg(test)]
mod tests;
