//! Snapshots in the log, in time before its records expire.

mod common;

use std::time::Duration;

use common::{LIMIT, Node, Site, attach, claim, pass};
use edge::Stream;
use journal::SnapshotRule;
use rstest::rstest;
use units::Offset;

const RULE: SnapshotRule = SnapshotRule { records: 10, age: Duration::from_secs(600) };

async fn writer(site: &Site) -> Node {
    let node = site.node_with(1, &[], |options| options.snapshot = RULE);
    node.ready().await;
    node.append(claim(0)).await.expect("the log is up");
    node
}

async fn fill(node: &Node, from: u16, count: u16) {
    for number in from..from + count {
        node.append(attach(number)).await.expect("the log is up");
    }
}

#[tokio::test(start_paused = true)]
async fn can_start_from_a_snapshot_and_the_records_after_it() {
    let site = Site::default();
    let node = writer(&site).await;
    fill(&node, 1, 5).await;
    node.journal.append_snapshot(LIMIT).await.expect("the log is up");
    fill(&node, 6, 3).await;
    site.log.expire(Stream::Control, Offset(7));
    let expected = node.text();
    node.end();
    let late = site.node(9, &[1]);
    late.ready().await;
    assert_eq!(late.text(), expected);
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_snapshot_that_the_kept_records_do_not_continue() {
    let site = Site::default();
    let node = writer(&site).await;
    let chunk = node.journal.read(|state| state::chunks(state, usize::MAX)).remove(0);
    fill(&node, 1, 5).await;
    node.append(record::Body::Snapshot(chunk)).await.expect("the log is up");
    fill(&node, 6, 3).await;
    site.log.expire(Stream::Control, Offset(4));
    node.end();
    let late = site.node(9, &[1]);
    pass(120).await;
    assert!(!late.is_ready(), "records 2 and 3 are in neither the snapshot nor the log");
}

#[tokio::test(start_paused = true)]
async fn can_start_from_a_snapshot_whose_parts_come_twice_and_mixed() {
    let site = Site::default();
    let node = writer(&site).await;
    fill(&node, 1, 5).await;
    let old = node.journal.read(|state| state::chunks(state, 100));
    fill(&node, 6, 2).await;
    let new = node.journal.read(|state| state::chunks(state, 100));
    for (old, new) in old.iter().skip(1).zip(&new) {
        node.append(record::Body::Snapshot(old.clone())).await.expect("the log is up");
        node.append(record::Body::Snapshot(new.clone())).await.expect("the log is up");
        node.append(record::Body::Snapshot(new.clone())).await.expect("the log is up");
    }
    for new in new.iter().skip(old.len() - 1) {
        node.append(record::Body::Snapshot(new.clone())).await.expect("the log is up");
    }
    site.log.expire(Stream::Control, Offset(7));
    let expected = node.text();
    node.end();
    let late = site.node(9, &[1]);
    late.ready().await;
    assert_eq!(late.text(), expected);
}

#[rstest]
#[case::few_records(5, 0, false)]
#[case::many_records(12, 0, true)]
#[case::old(5, 601, true)]
#[tokio::test(start_paused = true)]
async fn can_tell_when_a_snapshot_is_due(
    #[case] records: u16,
    #[case] seconds: u64,
    #[case] due: bool,
) {
    let site = Site::default();
    let node = writer(&site).await;
    node.journal.append_snapshot(LIMIT).await.expect("the log is up");
    fill(&node, 1, records).await;
    pass(seconds).await;
    assert_eq!(node.journal.snapshot_due(), due);
    node.journal.append_snapshot(LIMIT).await.expect("the log is up");
    assert!(!node.journal.snapshot_due());
}

#[tokio::test(start_paused = true)]
async fn can_keep_a_log_that_forgets_readable_for_new_processes() {
    let site = Site::default();
    let node = writer(&site).await;
    site.log.set(|faults| faults.retention = Some(16));
    let mut written = 0;
    for number in 1..100 {
        fill(&node, number, 1).await;
        pass(11).await;
        if node.journal.snapshot_due() {
            node.journal.append_snapshot(LIMIT).await.expect("the log is up");
            written += 1;
        }
    }
    assert!((8..25).contains(&written), "{written} snapshots");
    let expected = node.text();
    node.end();
    let late = site.node(200, &[1]);
    late.ready().await;
    assert_eq!(late.text(), expected);
}

#[tokio::test(start_paused = true)]
async fn can_publish_the_state_again_after_an_outage_longer_than_the_retention() {
    let site = Site::default();
    let node = writer(&site).await;
    fill(&node, 1, 5).await;
    site.log.set(|faults| {
        faults.age = Some(Duration::from_secs(60));
        faults.outage = true;
    });
    pass(300).await;
    site.log.set(|faults| faults.outage = false);
    pass(30).await;
    assert!(node.journal.snapshot_due());
    node.journal.append_snapshot(LIMIT).await.expect("the log is up again");
    let expected = node.text();
    node.end();
    let late = site.node(9, &[1]);
    late.ready().await;
    assert_eq!(late.text(), expected);
}
