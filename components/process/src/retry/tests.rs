use std::time::Duration;

use tokio::time::Instant;

use super::retry;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Fails this often with an error, of which those over zero are temporary; returns the result and the errors that were reported.
async fn fail(errors: impl IntoIterator<Item = u32>) -> (Result<(), u32>, Vec<u32>) {
    let mut errors = errors.into_iter();
    let mut reported = Vec::new();
    let attempt = || std::future::ready(errors.next().map_or(Ok(()), Err));
    let result = retry(TIMEOUT, attempt, |error| *error > 0, |error| reported.push(*error)).await;
    (result, reported)
}

#[tokio::test(start_paused = true)]
async fn temporary_errors_pass_and_one_is_reported() {
    assert_eq!(fail([3, 2, 1]).await, (Ok(()), vec![3]));
}

#[tokio::test(start_paused = true)]
async fn an_error_that_does_not_pass_ends_the_attempts_at_once() {
    let start = Instant::now();
    assert_eq!(fail([0, 1]).await, (Err(0), vec![]));
    assert_eq!(start.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn an_error_that_stays_is_returned_in_the_end() {
    let start = Instant::now();
    assert_eq!(fail(std::iter::repeat(7)).await, (Err(7), vec![7]));
    assert!((TIMEOUT..TIMEOUT * 2).contains(&start.elapsed()), "{:?}", start.elapsed());
}
