use std::time::Duration;

use bytes::Bytes;
use edge::{LogError, LogService, Stream};
use tokio::time::{Instant, sleep};
use units::Offset;

use super::Log;

const WAIT: Duration = Duration::from_secs(10);

fn texts(names: &[&'static str]) -> Vec<Bytes> {
    names.iter().map(|name| Bytes::from_static(name.as_bytes())).collect()
}

async fn append(log: &Log, names: &[&'static str]) -> Result<Offset, LogError> {
    log.append(Stream::Control, texts(names)).await
}

#[tokio::test(start_paused = true)]
async fn can_read_what_was_appended() {
    let log = Log::default();
    assert_eq!(append(&log, &["a", "b"]).await, Ok(Offset(1)));
    assert_eq!(append(&log, &["c"]).await, Ok(Offset(3)));
    let page = log.read(Stream::Control, Offset(2), WAIT).await.expect("the log is up");
    assert_eq!((page.first, page.last), (Offset(1), Offset(3)));
    assert_eq!(page.entries.iter().map(|e| e.offset.0).collect::<Vec<_>>(), [2, 3]);
    assert_eq!(log.records(Stream::Keys).last, Offset(0));
}

#[tokio::test(start_paused = true)]
async fn can_wait_for_a_record() {
    let log = Log::default();
    let writer = log.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs(3)).await;
        writer.put(Stream::Control, "a");
    });
    let began = Instant::now();
    let page = log.read(Stream::Control, Offset(1), WAIT).await.expect("the log is up");
    assert_eq!((page.entries.len(), began.elapsed().as_secs()), (1, 3));
    let page = log.read(Stream::Control, Offset(2), WAIT).await.expect("the log is up");
    assert_eq!((page.entries.len(), began.elapsed().as_secs()), (0, 13));
}

#[tokio::test(start_paused = true)]
async fn errors_on_reads_that_wait_when_an_outage_begins() {
    let log = Log::default();
    let other = log.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs(3)).await;
        other.set(|faults| faults.outage = true);
    });
    let error = log.read(Stream::Control, Offset(1), WAIT).await;
    assert!(matches!(error, Err(LogError::Unreadable(_))));
    assert!(matches!(append(&log, &["a"]).await, Err(LogError::Unknown(_))));
    assert_eq!(log.records(Stream::Control).last, Offset(0));
}

#[tokio::test(start_paused = true)]
async fn can_lose_answers_and_surface_late() {
    let log = Log::default();
    log.set(|faults| faults.lost = 1);
    assert!(matches!(append(&log, &["a"]).await, Err(LogError::Unknown(_))));
    assert_eq!(append(&log, &["b"]).await, Ok(Offset(2)));
    log.set(|faults| faults.late = Some(Duration::from_secs(5)));
    assert!(matches!(append(&log, &["late"]).await, Err(LogError::Unknown(_))));
    log.set(|faults| faults.late = None);
    assert_eq!(append(&log, &["c"]).await, Ok(Offset(3)));
    let page = log.read(Stream::Control, Offset(4), WAIT).await.expect("the log is up");
    assert_eq!(page.entries[0].data, "late");
}

#[tokio::test(start_paused = true)]
async fn errors_on_appends_over_the_rate() {
    let log = Log::default();
    log.set(|faults| faults.rate = Some(2));
    sleep(Duration::from_secs(1)).await;
    assert!(append(&log, &["a"]).await.is_ok());
    assert!(append(&log, &["b"]).await.is_ok());
    assert!(matches!(append(&log, &["c"]).await, Err(LogError::Refused(_))));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(append(&log, &["c"]).await, Ok(Offset(3)));
    assert_eq!((log.counters().appends, log.counters().refused), (4, 1));
}

#[tokio::test(start_paused = true)]
async fn errors_on_records_that_expired() {
    let log = Log::default();
    log.set(|faults| faults.retention = Some(2));
    append(&log, &["a", "b", "c", "d"]).await.expect("the log is up");
    let error = log.read(Stream::Control, Offset(1), WAIT).await;
    assert_eq!(error, Err(LogError::Expired { first: Offset(3) }));
    log.set(|faults| faults.age = Some(Duration::from_secs(60)));
    sleep(Duration::from_secs(61)).await;
    let error = log.read(Stream::Control, Offset(3), WAIT).await;
    assert_eq!(error, Err(LogError::Expired { first: Offset(5) }));
    assert_eq!(append(&log, &["e"]).await, Ok(Offset(5)));
}

#[tokio::test(start_paused = true)]
async fn can_take_effect_after_the_caller_gave_up() {
    let log = Log::default();
    log.set(|faults| faults.delay = Duration::from_secs(5));
    let limit = Duration::from_secs(1);
    assert!(tokio::time::timeout(limit, append(&log, &["a"])).await.is_err());
    assert_eq!(log.records(Stream::Control).last, Offset(0));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(log.records(Stream::Control).last, Offset(1));
}
