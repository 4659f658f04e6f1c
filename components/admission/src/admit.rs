//! Whether a request that waits for a model can still be served.

use std::time::Duration;

/// The least time between a model being ready and the first event: a prompt is read and the answer travels.
const FIRST_EVENT: Duration = Duration::from_millis(100);
/// A caller is not asked back sooner, or many would come back in one burst.
const SOONEST: Duration = Duration::from_millis(250);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It can be served in time: let it wait.
    Wait,
    /// It can't: turn it away, to come back after this time.
    Refuse(Duration),
}

/// Judges a request that has `left` until its caller leaves, if its model is ready in `expect`.
pub fn admit(left: Duration, expect: Duration) -> Admission {
    if expect + FIRST_EVENT <= left {
        Admission::Wait
    } else {
        Admission::Refuse(expect.max(SOONEST))
    }
}

#[cfg(test)]
mod tests;
