use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use wire::{Refusal, ResponseEnd, UnknownCause};

use super::{Cancel, Progress, Slot};
use crate::kept::{AnswerHead, KeptBytes};

fn slot(repeatable: bool) -> Slot {
    let id = "r-1".parse().expect("an id");
    Slot::queued(id, "page-text".parse().expect("a name"), repeatable, KeptBytes::default())
}

fn head() -> AnswerHead {
    AnswerHead { status: StatusCode::OK, content: None }
}

fn text(progress: &Progress) -> String {
    match progress {
        Progress::Bytes(_, chunks) => {
            let bytes: Vec<u8> = chunks.iter().flat_map(|chunk| chunk.to_vec()).collect();
            String::from_utf8(bytes).expect("text")
        }
        other => format!("{other:?}"),
    }
}

#[test]
fn can_read_an_answer_from_any_byte() {
    let slot = slot(true);
    assert!(slot.start());
    assert!(slot.head(head()));
    slot.push(Bytes::from_static(b"one "));
    slot.push(Bytes::from_static(b"two "));
    slot.push(Bytes::from_static(b"three"));
    slot.end(None);
    let whole = "one two three";
    for from in 0..whole.len() {
        assert_eq!(text(&slot.now(from as u64)), whole[from..]);
    }
    let end = slot.now(whole.len() as u64);
    assert!(matches!(end, Progress::Ended(_, ResponseEnd::Whole { length: 13 })), "{end:?}");
}

#[test]
fn errors_on_starting_a_refused_request() {
    let slot = slot(true);
    assert!(slot.refuse(Refusal::Late));
    assert!(!slot.start());
    assert!(!slot.refuse(Refusal::Leaving));
    assert_eq!(slot.refusal(), Some(Refusal::Late));
}

#[test]
fn errors_on_refusing_a_started_request() {
    let slot = slot(true);
    assert!(slot.start());
    assert!(!slot.refuse(Refusal::Late));
    slot.end(Some(UnknownCause::Deadline));
    assert!(matches!(slot.now(0), Progress::Unknown(UnknownCause::Deadline)));
}

#[test]
fn can_cancel_by_stage() {
    let queued = slot(false);
    assert_eq!(queued.cancel(), Cancel::Refused);
    assert_eq!(queued.cancel(), Cancel::Over);
    let repeatable = slot(true);
    assert!(repeatable.start());
    assert_eq!(repeatable.cancel(), Cancel::Stopping);
    let once = slot(false);
    assert!(once.start());
    assert_eq!(once.cancel(), Cancel::RunsOn);
}

#[test]
fn keeps_bytes_until_they_were_delivered() {
    let slot = slot(true);
    assert!(slot.start());
    assert!(slot.head(head()));
    slot.push(Bytes::from_static(b"bytes"));
    assert_eq!(slot.shrink(), 0);
    slot.end(None);
    assert_eq!(slot.shrink(), 0);
    slot.delivered();
    assert_eq!(slot.shrink(), 5);
    assert!(matches!(slot.now(0), Progress::Unknown(UnknownCause::AnswerDropped)));
}

#[tokio::test]
async fn can_wake_several_readers() {
    let slot = Arc::new(slot(true));
    assert!(slot.start());
    let readers: Vec<_> = (0..3)
        .map(|_| {
            let slot = slot.clone();
            tokio::spawn(async move { text(&slot.next(0).await) })
        })
        .collect();
    tokio::task::yield_now().await;
    assert!(slot.head(head()));
    slot.push(Bytes::from_static(b"all"));
    for reader in readers {
        let read = reader.await.expect("a reader that ends");
        assert!(read == "all" || read.is_empty(), "{read}");
    }
}
