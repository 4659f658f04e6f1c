//! Tests of the start records of loaders that start at the same time.

use futures_util::future::join_all;

use super::*;

/// 598 loaders started together and made 1,560 appends: the store handles them one at a time, the later ones timed out at their loaders
/// and were sent again.
#[tokio::test]
async fn loaders_that_start_together_append_one_record_each() {
    let standin = standin_platform::Store::start().await;
    standin.set_append_time(Duration::from_millis(50));
    let store = Store::new(standin.addr);
    let loaders: Vec<String> = (0..36).map(|number| format!("side-{number}")).collect();
    let appends = loaders.iter().map(|instance| append_start(&store, instance));
    let mut positions = join_all(appends).await;
    positions.sort_unstable();
    positions.dedup();
    assert_eq!((positions.len(), standin.calls()), (36, 36));
}
