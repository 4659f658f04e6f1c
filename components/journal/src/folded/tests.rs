use super::{Shared, Source};
use bytes::Bytes;
use edge::Entry;
use record::{Body, RECORD_WINDOW_OFFSETS, Record};
use state::State;
use timeline::Recorder;
use units::{Epoch, InstanceId, Offset};

use crate::Options;

fn instance() -> InstanceId {
    "entry-1".parse().expect("a right id")
}

fn shared() -> Shared {
    Shared::new(instance(), Recorder::new(instance()), Options::default())
}

/// A claim with the id `claim`, and records after it that are none.
fn entries(noise: u64) -> Vec<Entry> {
    let body = Body::Claim { previous: Epoch(0) };
    let record = Record::new("claim".to_owned(), instance(), 0, Offset(0), body);
    let data = serde_json::to_vec(&record).expect("records are text");
    let first = Entry { offset: Offset(1), data: data.into() };
    let rest = (2..2 + noise).map(|n| Entry { offset: Offset(n), data: Bytes::from("noise") });
    std::iter::once(first).chain(rest).collect()
}

#[test]
fn can_tell_a_writer_what_landed_early_in_a_long_page() {
    let shared = shared();
    let mut verdict = shared.wait_for("claim");
    shared.fold(&entries(2 * RECORD_WINDOW_OFFSETS), Source::Log).expect("one log");
    assert_eq!(shared.offset(), Offset(2 * RECORD_WINDOW_OFFSETS + 1));
    let applied = verdict.try_recv().expect("the verdict was told");
    assert!(applied.is_done() && applied.offset == Offset(1), "{applied:?}");
}

fn folded(entries: &[Entry]) -> State {
    let mut state = State::default();
    for entry in entries {
        state.apply_bytes(entry.offset, &entry.data);
    }
    state
}

#[test]
fn can_tell_a_writer_by_a_state_that_is_taken_over() {
    let shared = shared();
    let mut verdict = shared.wait_for("claim");
    let mut other = shared.wait_for("other");
    assert!(shared.adopt(folded(&entries(RECORD_WINDOW_OFFSETS - 1))));
    assert!(verdict.try_recv().is_ok_and(|applied| applied.is_done()));
    assert!(shared.is_waited_for("other"), "it has not landed yet");
    assert_eq!(other.try_recv(), Err(tokio::sync::oneshot::error::TryRecvError::Empty));
}

#[test]
fn errors_on_a_wait_for_what_the_state_taken_over_has_forgotten() {
    let shared = shared();
    let mut verdict = shared.wait_for("claim");
    assert!(shared.adopt(folded(&entries(RECORD_WINDOW_OFFSETS + 1))));
    assert_eq!(verdict.try_recv(), Err(tokio::sync::oneshot::error::TryRecvError::Closed));
    assert!(!shared.is_waited_for("claim"), "it is not repeated");
}
