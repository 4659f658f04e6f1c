//! Snapshots: equal for equal folds, whole or refused.

mod common;

use common::{Log, attach, claim, leave};
use record::{Body, SnapshotChunk};
use rstest::rstest;
use state::{SnapshotError, State, chunks, from_text, join, to_text};
use units::Offset;

fn session() -> Log {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    for endpoint in ["a", "b", "c"] {
        log.put("agent", Body::Attach(attach(endpoint, &format!("{endpoint}-1"), 0)));
    }
    log.put("agent", leave("b", 3));
    log.put("entry-2", claim(0));
    log
}

#[rstest]
#[case(1)]
#[case(100)]
#[case(usize::MAX)]
fn can_restore_a_state_from_chunks_in_any_order(#[case] limit: usize) {
    let log = session();
    let mut parts = chunks(&log.state, limit);
    assert!(parts.iter().all(|part| part.data.len() <= limit));
    parts.reverse();
    parts.push(parts[0].clone());
    assert_eq!(join(&parts), Ok(log.state));
}

#[test]
fn can_write_equal_bytes_for_equal_folds() {
    assert_eq!(chunks(&session().state, 64), chunks(&session().state, 64));
}

#[test]
fn can_go_on_from_a_snapshot_like_the_plain_fold() {
    let mut log = session();
    let mut restored = join(&chunks(&log.state, 64)).expect("the snapshot is whole");
    let tail = [log.put("entry-2", claim(1)), log.put_record(log.records[0].clone())];
    for applied in tail {
        let record = &log.records[applied.offset.0 as usize - 1];
        assert_eq!(restored.apply(applied.offset, record), applied);
    }
    assert_eq!(to_text(&restored), to_text(&log.state));
}

#[test]
fn errors_on_parts_that_make_no_whole() {
    let log = session();
    let parts = chunks(&log.state, 64);
    assert!(matches!(join(&[]), Err(SnapshotError::Parts(_))));
    assert!(matches!(join(&parts[1..]), Err(SnapshotError::Parts(_))));
    let mut mixed = parts.clone();
    mixed[1].upto = Offset(2);
    assert!(matches!(join(&mixed), Err(SnapshotError::Parts(_))));
}

#[test]
fn errors_on_changed_data() {
    let mut parts = chunks(&session().state, 64);
    let flipped = if parts[1].data.starts_with('A') { "B" } else { "A" };
    parts[1].data.replace_range(..1, flipped);
    assert_eq!(join(&parts), Err(SnapshotError::Digest));
}

#[test]
fn errors_on_an_offset_that_is_not_the_state_s() {
    let mut parts = chunks(&session().state, usize::MAX);
    parts.iter_mut().for_each(|part: &mut SnapshotChunk| part.upto = Offset(99));
    assert!(matches!(join(&parts), Err(SnapshotError::Text(_))));
}

#[rstest]
#[case::empty("")]
#[case::no_base64("§")]
#[case::short("AAA=")]
#[case::no_state("AgAAACB7fQ==")]
fn errors_on_text_that_is_no_snapshot(#[case] text: &str) {
    assert!(matches!(from_text(text), Err(SnapshotError::Text(_))));
}

#[rstest]
#[case::four_gib("/////wAA")]
#[case::a_byte_too_much("AQAAEAA=")]
fn errors_on_a_length_beyond_all_states_before_it_takes_memory(#[case] text: &str) {
    let wrong = SnapshotError::Text("its length is wrong".to_owned());
    assert_eq!(from_text(text), Err(wrong));
}

#[test]
fn errors_on_a_snapshot_of_a_newer_format() {
    use base64::Engine;
    let packed = lz4_flex::compress_prepend_size(br#"{"needs":2,"state":{"colours":[]}}"#);
    let text = base64::engine::general_purpose::STANDARD.encode(packed);
    assert_eq!(from_text(&text), Err(SnapshotError::Format { needs: 2 }));
}

#[test]
fn can_keep_what_a_stopped_fold_had_out_of_its_snapshot() {
    let mut log = session();
    let before = to_text(&log.state);
    log.state.apply_bytes(Offset(7), br#"{"needs":9}"#);
    assert!(log.state.frozen().is_some());
    assert_eq!(to_text(&log.state), before);
    let restored: State = from_text(&before).expect("it is whole");
    assert_eq!(restored.frozen(), None);
}
