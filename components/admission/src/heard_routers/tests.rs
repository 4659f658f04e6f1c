//! Tests of the number of routers that were heard lately.

use super::*;

#[tokio::test(start_paused = true)]
async fn the_largest_number_counts_until_it_is_too_old() {
    let (mut heard, start) = (HeardRouters::default(), Instant::now());
    assert_eq!(heard.most(start), None);
    heard.record(25, start);
    // A loader that has just restarted hears few.
    heard.record(1, start + Duration::from_secs(20));
    heard.record(4, start + Duration::from_secs(21));
    assert_eq!(heard.most(start + Duration::from_secs(30)), Some(25));
    assert_eq!(heard.most(start + Duration::from_secs(31)), Some(4));
    // Without news the last number counts on.
    assert_eq!(heard.most(start + Duration::from_secs(90)), Some(4));
}
