//! Tests of headers and lines of event streams.

use http::header::HeaderValue;
use rstest::rstest;

use super::*;

#[rstest]
#[case::plain("text/event-stream", Some(true))]
#[case::with_charset("text/event-stream; charset=utf-8", Some(true))]
#[case::in_capitals("Text/Event-Stream", Some(true))]
#[case::json("application/json", Some(false))]
#[case::longer("text/event-streams", Some(false))]
#[case::empty("", Some(false))]
fn an_event_stream_is_recognized_by_its_media_type(
    #[case] value: &'static str,
    #[case] expected: Option<bool>,
) {
    let headers = HeaderMap::from_iter([(CONTENT_TYPE, HeaderValue::from_static(value))]);
    assert_eq!(is_event_stream(&headers), expected);
}

#[test]
fn headers_without_a_media_type_declare_nothing() {
    assert_eq!(is_event_stream(&HeaderMap::new()), None);
}

#[test]
fn an_event_id_is_the_number_in_an_id_line() {
    assert_eq!(event_id(b"id: 12"), Some(12));
    assert_eq!(event_id(b"id:12\r"), Some(12));
    assert_eq!(event_id(b"data: id: 12"), None);
    assert_eq!(event_id(b"id: twelve"), None);
}
