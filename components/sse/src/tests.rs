//! Tests of headers and lines of event streams.

use rstest::rstest;

use super::*;

#[rstest]
#[case::plain("text/event-stream", true)]
#[case::with_charset("text/event-stream; charset=utf-8", true)]
#[case::in_capitals("Text/Event-Stream", true)]
#[case::json("application/json", false)]
#[case::longer("text/event-streams", false)]
#[case::empty("", false)]
fn an_event_stream_is_recognized_by_its_media_type(
    #[case] value: &'static str,
    #[case] expected: bool,
) {
    assert_eq!(is_event_stream(&HeaderValue::from_static(value)), expected);
}

#[test]
fn an_event_id_is_the_number_in_an_id_line() {
    assert_eq!(event_id(b"id: 12"), Some(12));
    assert_eq!(event_id(b"id:12\r"), Some(12));
    assert_eq!(event_id(b"data: id: 12"), None);
    assert_eq!(event_id(b"id: twelve"), None);
}
