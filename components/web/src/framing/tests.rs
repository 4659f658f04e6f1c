//! Tests of the framing of responses.

use http::Response;
use rstest::rstest;

use super::*;

#[rstest]
#[case::stated(200, &[("content-length", "5")], Framing::Length)]
#[case::chunks(200, &[("transfer-encoding", "chunked")], Framing::Chunked)]
#[case::chunks_win(200, &[("content-length", "5"), ("transfer-encoding", "chunked")], Framing::Chunked)]
#[case::neither(200, &[("content-type", "text/event-stream")], Framing::Close)]
#[case::failure_with_neither(500, &[], Framing::Close)]
#[case::no_content(204, &[], Framing::Length)]
#[case::not_modified(304, &[], Framing::Length)]
fn the_framing_follows_from_the_head(
    #[case] status: u16,
    #[case] headers: &[(&str, &str)],
    #[case] expected: Framing,
) {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let (head, ()) = response.body(()).expect("a response").into_parts();
    assert_eq!(Framing::of(&head), expected);
}
