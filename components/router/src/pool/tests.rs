//! Tests of the signs of life.

use super::*;

const SILENT: Duration = Duration::from_millis(600);

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_sends_nothing_stands_still_until_it_sends_again() {
    let pool = Pool::new(([127, 0, 0, 1], 1).into());
    assert!(!pool.still(SILENT));
    tokio::time::advance(SILENT * 2).await;
    assert!(pool.still(SILENT));
    pool.idle();
    assert!(pool.still(SILENT), "one request more is no sign of life");
    pool.alive();
    assert!(!pool.still(SILENT));
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_without_requests_need_not_send_anything() {
    let pool = Pool::new(([127, 0, 0, 1], 1).into());
    tokio::time::advance(SILENT * 2).await;
    pool.idle();
    assert!(!pool.still(SILENT));
}
