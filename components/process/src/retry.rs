//! Waits at the start of a process for what passes within moments.

use std::time::Duration;

use tokio::time::Instant;

/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Attempts something until it succeeds, fails with an error that is not temporary, or has failed for as long as `timeout`. The first
/// temporary error is reported.
pub(crate) async fn retry<T, E, F>(
    timeout: Duration,
    mut attempt: impl FnMut() -> F,
    is_temporary: impl Fn(&E) -> bool,
    report: impl FnOnce(&E),
) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
{
    let start = Instant::now();
    let mut report = Some(report);
    loop {
        let error = match attempt().await {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        if !is_temporary(&error) || start.elapsed() >= timeout {
            return Err(error);
        }
        if let Some(report) = report.take() {
            report(&error);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

#[cfg(test)]
mod tests;
