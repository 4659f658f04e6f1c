//! Records that come twice, late or in a form that is not understood.

mod common;

use common::{Log, attach, claim, decide, gone, id, void};
use record::{Body, FORMAT_VERSION, RECORD_WINDOW_OFFSETS, Record};
use rstest::rstest;
use state::{Applied, State, Verdict, Void};
use units::{Epoch, Offset};

fn record(name: &str, seen: u64, body: Body) -> Record {
    Record::new(name.to_owned(), id("a-1"), 0, Offset(seen), body)
}

#[test]
fn errors_on_a_repeat_and_keeps_the_first_verdict() {
    let mut log = Log::default();
    let first = log.put_record(record("one", 0, claim(0)));
    let again = log.put_record(record("one", 0, claim(0)));
    assert_eq!(void(&again), &Void::Repeat { first: Offset(1) });
    assert_eq!(log.state.verdict_of("one"), Some(&first));
    assert_eq!(log.state.lease().epoch, Epoch(1));
}

#[test]
fn errors_on_a_repeat_of_a_record_that_was_void() {
    let mut log = Log::default();
    log.put_record(record("one", 0, claim(7)));
    assert_eq!(
        void(&log.put_record(record("one", 0, claim(0)))),
        &Void::Repeat { first: Offset(1) }
    );
    assert_eq!(log.state.lease().epoch, Epoch(0));
}

#[rstest]
#[case::last_offset_remembered(RECORD_WINDOW_OFFSETS - 1, Void::Repeat { first: Offset(1) })]
#[case::first_offset_forgotten(RECORD_WINDOW_OFFSETS, Void::Stale { seen: Offset(0) })]
fn errors_on_a_repeat_however_late_it_surfaces(#[case] between: u64, #[case] expected: Void) {
    let mut log = Log::default();
    let body = Body::Attach(attach("a", "a-1", 0));
    assert!(log.put_record(record("late", 0, body.clone())).is_done());
    log.put("entry-1", claim(0));
    assert!(log.put("entry-1", decide(2, vec![gone("a", 1)])).is_done());
    log.fill(between - 2);
    assert_eq!(void(&log.put_record(record("late", 0, body))), &expected);
    assert_eq!(log.state.members().count(), 0);
}

#[test]
fn errors_on_the_first_copy_of_a_record_that_surfaces_too_late() {
    let mut log = Log::default();
    log.fill(RECORD_WINDOW_OFFSETS);
    let late = log.put_record(record("late", 0, claim(0)));
    assert_eq!(void(&late), &Void::Stale { seen: Offset(0) });
    assert!(log.put_record(record("fresh", 2, claim(0))).is_done());
}

#[rstest]
#[case::its_own_offset(1)]
#[case::a_later_one(u64::MAX)]
fn errors_on_a_record_whose_writer_follows_another_log(#[case] seen: u64) {
    let mut log = Log::default();
    let astray = log.put_record(record("astray", seen, claim(0)));
    assert_eq!(void(&astray), &Void::Ahead { seen: Offset(seen) });
    assert_eq!(log.state.lease().epoch, Epoch(0));
}

#[test]
fn can_forget_verdicts_that_are_too_old_to_be_repeated() {
    let mut log = Log::default();
    log.put_record(record("one", 0, claim(0)));
    log.fill(RECORD_WINDOW_OFFSETS);
    assert!(log.state.verdict_of("one").is_some());
    log.fill(1);
    assert_eq!(log.state.verdict_of("one"), None);
}

#[rstest]
#[case::an_earlier_one(1)]
#[case::the_newest(2)]
fn can_ignore_offsets_that_were_applied_before(#[case] offset: u64) {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    log.put("entry-2", claim(1));
    let before = log.state.clone();
    let other = record("other", 0, claim(2));
    assert_eq!(void(&log.state.apply(Offset(offset), &other)), &Void::Old);
    assert_eq!(void(&log.state.apply_bytes(Offset(offset), b"{")), &Void::Old);
    assert_eq!(log.state, before);
}

fn text(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("records are text")
}

#[rstest]
#[case::no_text(b"\xff\xfe".as_slice())]
#[case::no_json(b"{\"needs\":1")]
#[case::no_object(b"[1]")]
#[case::no_format(b"{\"id\":\"a\"}")]
#[case::format_out_of_range(b"{\"needs\":4294967296}")]
#[case::unknown_kind(br#"{"needs":1,"id":"a","from":"a","tick":0,"body":{"kind":"hop"}}"#)]
#[case::no_body(br#"{"needs":1,"id":"a","from":"a","tick":0}"#)]
#[case::bad_id(br#"{"needs":1,"id":"a","from":"","tick":0,"body":{"kind":"claim","previous":0}}"#)]
#[case::format_without_the_kind(
    br#"{"needs":0,"id":"a","from":"a","tick":0,"body":{"kind":"claim","previous":0}}"#
)]
fn errors_on_text_that_is_no_record_and_goes_on(#[case] text: &[u8]) {
    let mut state = State::default();
    let applied = state.apply_bytes(Offset(1), text);
    assert!(matches!(void(&applied), Void::Malformed(_)), "{applied:?}");
    assert_eq!((state.offset(), state.frozen()), (Offset(1), None));
    let next = record("b", 1, claim(0));
    assert!(state.apply_bytes(Offset(2), &self::text(&next)).is_done());
}

#[test]
fn can_apply_records_as_text() {
    let mut log = Log::default();
    log.put("entry-1", claim(0));
    log.put("a-1", Body::Attach(attach("a", "a-1", 0)));
    let mut state = State::default();
    for (offset, record) in (1..).map(Offset).zip(&log.records) {
        assert!(state.apply_bytes(offset, &text(record)).is_done());
    }
    assert_eq!(state, log.state);
}

#[test]
fn errors_on_a_record_of_a_newer_format_and_freezes_before_it() {
    let mut state = State::default();
    let first = record("a", 0, claim(0));
    assert!(state.apply_bytes(Offset(1), &text(&first)).is_done());
    let newer = br#"{"needs":2,"id":"b","colour":"blue"}"#;
    let frozen = Void::Format { needs: FORMAT_VERSION + 1, at: Offset(2).into() };
    let before = state.clone();
    assert_eq!(void(&state.apply_bytes(Offset(2), newer)), &frozen);
    assert_eq!(state.frozen().map(|f| (f.at, f.needs)), Some((Offset(2), FORMAT_VERSION + 1)));
    assert_eq!((state.offset(), state.lease()), (Offset(1), before.lease()));
    let next = record("c", 2, claim(1));
    assert_eq!(void(&state.apply_bytes(Offset(3), &text(&next))), &frozen);
    assert_eq!(void(&state.apply(Offset(3), &next)), &frozen);
    assert_eq!(state.lease().epoch, Epoch(1));
}

#[test]
fn errors_on_a_typed_record_of_a_newer_format() {
    let mut state = State::default();
    let mut newer = record("a", 0, claim(0));
    newer.needs = FORMAT_VERSION + 1;
    let applied = state.apply(Offset(1), &newer);
    assert!(matches!(void(&applied), Void::Format { .. }));
    assert_eq!(state.offset(), Offset(0));
}

#[test]
fn can_write_every_verdict_as_text() {
    let voids = [
        Void::Repeat { first: Offset(1) },
        Void::Malformed("no".to_owned()),
        Void::Bound("no".to_owned()),
        Void::Instance { current: id("a-1") },
        Void::Taken,
    ];
    let verdicts = voids.into_iter().map(Verdict::Void).chain([Verdict::Done]).collect();
    let applied = Applied { offset: Offset(3), verdicts };
    let text = serde_json::to_string(&applied).expect("verdicts are text");
    assert_eq!(serde_json::from_str::<Applied>(&text).expect("they read back"), applied);
}
