//! Tests of what is known and wanted.

use super::*;

#[tokio::test(start_paused = true)]
async fn a_router_counts_for_as_long_as_it_said_that_it_waits() {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    let hear = |ledger: &mut Ledger, name: &str, wait| {
        let heard = Heard { at: now, wait };
        ledger.routers.insert(name.to_owned(), heard);
        let usage = ledger.usage.entry("a".parse().expect("a name")).or_default();
        usage.running.insert(name.to_owned(), (3, heard));
    };
    hear(&mut ledger, "often", Duration::from_secs(1));
    hear(&mut ledger, "seldom", Duration::from_secs(8));
    let model: ModelName = "a".parse().expect("a name");
    assert_eq!((ledger.heard(), ledger.running(&model)), (2, 6));
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!((ledger.heard(), ledger.running(&model)), (1, 3));
    tokio::time::advance(Duration::from_secs(12)).await;
    assert_eq!((ledger.heard(), ledger.running(&model)), (0, 0));
}
