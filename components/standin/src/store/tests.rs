use rstest::rstest;
use tokio::task::JoinSet;
use units::{Rate, Size};

use super::{Fetch, Store, StoreFault, StoreSettings};

/// A store under which a fetch takes a second when it has the full speed.
fn store(rate: f64, full: u32) -> Store {
    let size = Size::mib(100);
    Store::new(StoreSettings { rate: Rate(rate), full, bandwidth: size, size })
}

/// Fetches so many artifacts at the same time; waits for all.
async fn fetch(store: &Store, count: u32) {
    let mut fetches = JoinSet::new();
    for i in 0..count {
        let artifact = format!("model-{i}").parse().expect("a name");
        let store = store.clone();
        fetches.spawn(async move {
            store.fetch(Fetch { artifact, urgent: false, size: None }).await;
        });
    }
    fetches.join_all().await;
}

fn took(store: &Store) -> Vec<u64> {
    store.truth().fetches.iter().filter_map(|one| one.took_ms).collect()
}

fn near(millis: u64, wanted: u64) -> bool {
    millis.abs_diff(wanted) <= 40
}

#[rstest]
#[case::as_many_as_run_at_full_speed(4, 1000)]
#[case::twice_as_many(8, 2000)]
#[tokio::test(start_paused = true)]
async fn can_share_its_speed(#[case] count: u32, #[case] millis: u64) {
    let store = store(1e6, 4);
    fetch(&store, count).await;
    let took = took(&store);
    assert_eq!(took.len(), count as usize);
    assert!(took.iter().all(|span| near(*span, millis)), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn can_start_so_many_a_second() {
    let store = store(2.0, 100);
    fetch(&store, 4).await;
    let waited: Vec<_> = store.truth().fetches.iter().map(|one| one.waited_ms).collect();
    for (span, millis) in waited.iter().zip([0, 500, 1000, 1500]) {
        assert!(near(*span, millis), "{waited:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn can_be_slow() {
    let store = store(1e6, 4);
    store.set(StoreFault::Slow { factor: 3.0 }, None);
    fetch(&store, 1).await;
    assert!(near(took(&store)[0], 3000));
}

#[tokio::test(start_paused = true)]
async fn can_freeze() {
    let store = store(1e6, 4);
    store.set(StoreFault::Freeze { span: units::Span::secs(5) }, None);
    fetch(&store, 1).await;
    assert!(near(took(&store)[0], 6000));
}
