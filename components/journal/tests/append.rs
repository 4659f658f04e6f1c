//! Appends: repeated until read back, one effect each.

mod common;

use std::time::Duration;

use common::{LIMIT, Site, attach, claim, pass};
use edge::Stream;
use journal::AppendError;
use record::RECORD_WINDOW_OFFSETS;
use state::{Verdict, Void};
use tokio::time::Instant;
use units::{Epoch, Offset};

#[tokio::test(start_paused = true)]
async fn can_append_and_read_back() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    let applied = node.append(claim(0)).await.expect("the log is up");
    assert_eq!((applied.offset, applied.verdicts), (Offset(1), vec![Verdict::Done]));
    assert_eq!(node.journal.read(|state| state.lease().epoch), Epoch(1));
    assert!(node.journal.log_up());
    pass(60).await;
    assert_eq!(site.log.counters().appends, 1);
}

#[tokio::test(start_paused = true)]
async fn can_append_many_at_once_with_few_calls() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    let appends = (0..200).map(|number| {
        let journal = node.journal.clone();
        tokio::spawn(async move { journal.append(attach(number), LIMIT).await })
    });
    let appends: Vec<_> = appends.collect();
    for append in appends {
        let applied = append.await.expect("the task ended").expect("the log is up");
        assert!(applied.is_done(), "{applied:?}");
    }
    assert_eq!(site.log.counters().records, 200);
    assert!(site.log.counters().appends <= 3, "{:?}", site.log.counters());
}

#[tokio::test(start_paused = true)]
async fn can_outlive_lost_answers() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    site.log.set(|faults| faults.lost = 3);
    let applied = node.append(claim(0)).await.expect("it is read back");
    assert_eq!(applied.offset, Offset(1));
    assert!(applied.is_done());
    pass(60).await;
    assert_eq!(site.log.counters().records, 1, "what was read back is not repeated");
}

#[tokio::test(start_paused = true)]
async fn can_append_when_copies_surface_late() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    site.log.set(|faults| faults.late = Some(Duration::from_secs(4)));
    let applied = node.append(claim(0)).await.expect("it surfaces");
    assert_eq!((applied.offset, applied.is_done()), (Offset(1), true));
    pass(60).await;
    let copies = site.log.records(Stream::Control).last;
    assert!(copies > Offset(1), "it was repeated meanwhile");
    assert_eq!(node.journal.read(|state| state.lease().epoch), Epoch(1));
}

#[tokio::test(start_paused = true)]
async fn can_append_through_an_outage() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    site.log.set(|faults| faults.outage = true);
    let journal = node.journal.clone();
    let append = tokio::spawn(async move { journal.append(claim(0), LIMIT).await });
    pass(15).await;
    assert!(!node.journal.log_up());
    site.log.set(|faults| faults.outage = false);
    assert!(append.await.expect("the task ended").expect("the log is up again").is_done());
}

#[tokio::test(start_paused = true)]
async fn errors_on_an_append_that_is_not_read_back_in_time() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    site.log.set(|faults| faults.late = Some(Duration::from_secs(60)));
    let limit = Duration::from_secs(5);
    let unknown = node.journal.append(claim(0), limit).await;
    assert_eq!(unknown, Err(AppendError::Unknown { limit }));
    let appends = site.log.counters().appends;
    pass(30).await;
    assert_eq!(site.log.counters().appends, appends, "a writer that gave up repeats no more");
    node.reaches(1).await;
    assert_eq!(node.journal.read(|state| state.lease().epoch), Epoch(1), "it took effect late");
}

#[tokio::test(start_paused = true)]
async fn can_race_for_the_lease_with_one_winner() {
    let site = Site::default();
    let (a, b) = (site.node(1, &[]), site.node(2, &[]));
    a.ready().await;
    b.ready().await;
    let (first, second) = tokio::join!(a.append(claim(0)), b.append(claim(0)));
    let applied = [first.expect("the log is up"), second.expect("the log is up")];
    assert_eq!(applied.iter().filter(|applied| applied.is_done()).count(), 1);
    let lost = applied.iter().find(|applied| !applied.is_done()).expect("one lost");
    assert!(matches!(lost.verdicts[0], Verdict::Void(Void::Epoch { .. })));
    a.reaches(2).await;
    b.reaches(2).await;
    assert_eq!(a.text(), b.text());
}

#[tokio::test(start_paused = true)]
async fn can_wait_out_refusals_without_pressing() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    site.log.set(|faults| faults.refuse = true);
    let journal = node.journal.clone();
    let append =
        tokio::spawn(async move { journal.append(claim(0), Duration::from_secs(120)).await });
    pass(60).await;
    assert!(site.log.counters().appends < 20, "{:?}", site.log.counters());
    site.log.set(|faults| faults.refuse = false);
    assert!(append.await.expect("the task ended").expect("the log is up again").is_done());
}

#[tokio::test(start_paused = true)]
async fn can_append_soon_after_a_long_outage() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    site.log.set(|faults| faults.outage = true);
    let journal = node.journal.clone();
    let append =
        tokio::spawn(async move { journal.append(claim(0), Duration::from_secs(900)).await });
    pass(600).await;
    site.log.set(|faults| faults.outage = false);
    let began = Instant::now();
    assert!(append.await.expect("the task ended").expect("the log is up again").is_done());
    assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn can_read_a_burst_of_records_with_few_reads() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    let reads = site.log.counters().reads;
    for number in 0..5000 {
        site.log.put(Stream::Control, format!("{number}"));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    node.reaches(5000).await;
    let reads = site.log.counters().reads - reads;
    assert!(reads <= 112, "{reads} reads in ten seconds");
}

#[tokio::test(start_paused = true)]
async fn can_end_its_tasks_with_the_last_handle() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    node.end();
    pass(60).await;
    let reads = site.log.counters().reads;
    pass(60).await;
    assert_eq!(site.log.counters().reads, reads);
}

#[tokio::test(start_paused = true)]
async fn can_write_a_record_anew_that_landed_too_late() {
    let site = Site::default();
    let node = site.node(1, &[]);
    node.ready().await;
    site.log.set(|faults| faults.outage = true);
    let journal = node.journal.clone();
    let late = tokio::spawn(async move { journal.append(claim(0), LIMIT).await });
    pass(1).await;
    for _ in 0..=RECORD_WINDOW_OFFSETS {
        site.log.put(Stream::Control, "noise");
    }
    site.log.set(|faults| faults.outage = false);
    let applied = late.await.expect("the task ended").expect("the log is up");
    assert!(applied.is_done(), "{applied:?}");
    assert_eq!(applied.offset, Offset(RECORD_WINDOW_OFFSETS + 3));
    assert_eq!(node.journal.read(|state| state.lease().epoch), Epoch(RECORD_WINDOW_OFFSETS + 3));
}
