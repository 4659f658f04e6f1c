//! Forecasts when a load from the weight store can begin.
//!
//! Load pattern: requests for dozens of models that no endpoint keeps a copy of arrive within seconds, and the weight store
//! serves two loads of ten seconds at once. A request whose model is the fifth in line can't be served before its deadline;
//! its caller should learn that on arrival and not when the time that is left no longer covers one load.

use std::time::Duration;

/// The time until a load can begin, given the remaining times of the loads that run, the number of loads that run at once at
/// full speed, and the number of loads that go first, each of which takes `load`.
pub fn permit_wait(running: &[Duration], limit: usize, ahead: usize, load: Duration) -> Duration {
    let limit = limit.max(1);
    let mut remaining = running.to_vec();
    remaining.sort_unstable();
    // Of more loads than run at full speed, the first ones to end free no permit.
    let excess = remaining.len().saturating_sub(limit);
    let mut free_in = remaining.split_off(excess);
    free_in.resize(limit, Duration::ZERO);
    for _ in 0..ahead {
        free_in.sort_unstable();
        if let Some(first) = free_in.first_mut() {
            *first += load;
        }
    }
    free_in.into_iter().min().unwrap_or_default()
}

#[cfg(test)]
mod tests;
