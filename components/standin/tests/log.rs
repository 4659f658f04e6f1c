//! The log service through the real client.

mod common;

use std::time::Duration;

use common::{LIMIT, any, fault, truth};
use edge::{HttpLog, LogError, LogService, Stream};
use standin::{Log, LogFault, LogSettings, LogTruth, Running};
use units::{Offset, Span};

async fn start(settings: LogSettings) -> (Running, HttpLog) {
    let log = Log::start(any(), settings).await.expect("it starts");
    let client = HttpLog::new(log.addr);
    (log, client)
}

#[tokio::test]
async fn can_append_and_read_back() {
    let (log, client) = start(LogSettings::default()).await;
    let first = client.append(Stream::Control, vec!["a".into(), "b".into()]).await;
    assert_eq!(first, Ok(Offset(1)));
    assert_eq!(client.append(Stream::Keys, vec!["k".into()]).await, Ok(Offset(1)));
    let page = client.read(Stream::Control, Offset(2), LIMIT).await.expect("a page");
    assert_eq!((page.first, page.last), (Offset(1), Offset(2)));
    assert_eq!(page.entries.len(), 1);
    assert_eq!(page.entries[0].data, "b");
    let truth: LogTruth = truth(log.addr).await;
    assert_eq!((truth.appends, truth.records), (2, 3));
    assert_eq!(truth.last["control"], Offset(2));
}

#[tokio::test]
async fn can_wait_for_a_record() {
    let (_log, client) = start(LogSettings::default()).await;
    let wait = client.read(Stream::Control, Offset(1), LIMIT);
    let append = client.append(Stream::Control, vec!["late".into()]);
    let (page, first) = tokio::join!(wait, append);
    assert_eq!(first, Ok(Offset(1)));
    assert_eq!(page.expect("a page").entries[0].data, "late");
}

#[tokio::test]
async fn errors_on_records_that_have_expired() {
    let settings = LogSettings { retention: Some(2), ..LogSettings::default() };
    let (_log, client) = start(settings).await;
    let records = ["a", "b", "c"].map(Into::into).to_vec();
    client.append(Stream::Control, records).await.expect("it is taken");
    let page = client.read(Stream::Control, Offset(1), Duration::ZERO).await;
    assert_eq!(page, Err(LogError::Expired { first: Offset(2) }));
}

#[tokio::test]
async fn errors_on_more_appends_than_the_rate() {
    let (_log, client) = start(LogSettings { rate: 1, ..LogSettings::default() }).await;
    client.append(Stream::Control, vec!["a".into()]).await.expect("it is taken");
    let second = client.append(Stream::Control, vec!["b".into()]).await;
    assert!(matches!(second, Err(LogError::Refused(_))));
}

#[tokio::test]
async fn errors_on_a_service_that_is_not_there_with_proof() {
    let (log, client) = start(LogSettings::default()).await;
    log.stop().await;
    let append = client.append(Stream::Control, vec!["a".into()]).await;
    assert!(matches!(append, Err(LogError::Refused(_))));
}

#[tokio::test]
async fn can_lose_an_answer_after_the_append_took_effect() {
    let (log, client) = start(LogSettings::default()).await;
    fault(log.addr, &LogFault::Lose { count: 1 }).await;
    let lost = client.append(Stream::Control, vec!["a".into()]).await;
    assert!(matches!(lost, Err(LogError::Unknown(_))));
    let page = client.read(Stream::Control, Offset(1), LIMIT).await.expect("a page");
    assert_eq!(page.entries[0].data, "a");
}

#[tokio::test]
async fn can_let_an_append_appear_later() {
    let (log, client) = start(LogSettings::default()).await;
    fault(log.addr, &LogFault::Late { span: Span::millis(20) }).await;
    let late = client.append(Stream::Control, vec!["a".into()]).await;
    assert!(matches!(late, Err(LogError::Unknown(_))));
    let page = client.read(Stream::Control, Offset(1), LIMIT).await.expect("a page");
    assert_eq!(page.entries[0].data, "a");
}

#[tokio::test]
async fn can_be_down_and_come_back() {
    let (log, client) = start(LogSettings::default()).await;
    fault(log.addr, &LogFault::Outage).await;
    let append = client.append(Stream::Control, vec!["a".into()]).await;
    assert!(matches!(append, Err(LogError::Unknown(_))));
    let read = client.read(Stream::Control, Offset(1), LIMIT).await;
    assert!(matches!(read, Err(LogError::Unreadable(_))));
    fault(log.addr, &LogFault::None).await;
    assert_eq!(client.append(Stream::Control, vec!["b".into()]).await, Ok(Offset(1)));
}

#[tokio::test]
async fn can_go_on_over_a_new_connection_after_one_went_silent() {
    let (log, client) = start(LogSettings::default()).await;
    let client = client.with_limit(Duration::from_millis(300));
    client.append(Stream::Control, vec!["a".into()]).await.expect("it is taken");
    fault(log.addr, &LogFault::Silence).await;
    let silent = client.append(Stream::Control, vec!["b".into()]).await;
    assert!(matches!(silent, Err(LogError::Unknown(_))));
    assert_eq!(client.append(Stream::Control, vec!["c".into()]).await, Ok(Offset(2)));
}
