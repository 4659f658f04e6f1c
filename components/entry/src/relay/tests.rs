use http::HeaderValue;
use rstest::rstest;

use super::*;

#[rstest]
#[case("data: a\n\n", 9)]
#[case("data: a\n\ndata: b", 9)]
#[case("data: a\r\n\r\ndata: b\r\n", 11)]
#[case("data: a\n", 0)]
#[case("", 0)]
#[case("\n", 0)]
#[case("\n\n", 2)]
fn can_find_whole_events(#[case] text: &str, #[case] length: usize) {
    assert_eq!(whole_events(text.as_bytes()), length);
}

fn received(content: &'static str) -> Received {
    let content = Some(HeaderValue::from_static(content));
    let head = AnswerHead { status: StatusCode::OK, content };
    Received { head: Some(head), ..Received::default() }
}

#[test]
fn can_pass_events_on_only_whole() {
    let mut received = received("text/event-stream; charset=utf-8");
    assert_eq!(received.add("data: a\n\ndat".into()), "data: a\n\n");
    assert_eq!(received.add("a: b".into()), "");
    assert_eq!(received.add("\n\n".into()), "data: b\n\n");
    assert_eq!(received.bytes, 18);
}

#[test]
fn can_hold_json_back_until_it_is_long() {
    let mut received = received("application/json");
    assert_eq!(received.add("{}".into()), "");
    let long = Bytes::from(vec![b' '; HOLD]);
    assert_eq!(received.add(long).len(), HOLD + 2);
    assert_eq!(received.bytes, HOLD as u64 + 2);
}

#[test]
fn can_pass_other_bytes_on_at_once() {
    let mut received = received("text/plain");
    assert_eq!(received.add("ab".into()), "ab");
}

#[test]
fn can_tell_refusals_from_other_words() {
    let refusal = serde_json::to_vec(&Refusal::Leaving).expect("refusals can be written");
    assert!(matches!(word(StatusCode::CONFLICT, &refusal), Some(Relayed::Refused(_))));
    assert!(word(StatusCode::CONFLICT, b"{\"detail\":\"no\"}").is_none());
    assert!(word(StatusCode::GONE, &refusal).is_none());
}
