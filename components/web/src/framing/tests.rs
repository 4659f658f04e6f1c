//! Tests of the framing of responses.

use http::Response;
use rstest::rstest;

use super::*;

fn framing(
    method: &Method,
    version: Version,
    status: u16,
    headers: &[(&str, &str)],
) -> Result<Framing, FramingError> {
    let mut response = Response::builder().version(version).status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let (head, ()) = response.body(()).expect("a response").into_parts();
    Framing::of(method, &head)
}

#[rstest]
#[case::stated(200, &[("content-length", "5")], Framing::Length)]
#[case::stated_twice(200, &[("content-length", "5"), ("content-length", "5")], Framing::Length)]
#[case::chunks(200, &[("transfer-encoding", "chunked")], Framing::Chunked)]
#[case::chunks_in_another_case(200, &[("transfer-encoding", "Chunked ")], Framing::Chunked)]
#[case::neither(200, &[("content-type", "text/event-stream")], Framing::Close)]
#[case::failure_with_neither(500, &[], Framing::Close)]
#[case::no_content(204, &[], Framing::Length)]
#[case::not_modified(304, &[], Framing::Length)]
#[case::no_content_with_a_coding(204, &[("transfer-encoding", "gzip")], Framing::Length)]
#[case::private_field(200, &[("x-content-length", "5")], Framing::Close)]
#[case::fields_that_are_named(200, &[("access-control-expose-headers", "Content-Length, Transfer-Encoding"), ("vary", "Transfer-Encoding")], Framing::Close)]
#[case::colon_in_a_value(200, &[("content-type", "a:b"), ("location", "http://content-length/")], Framing::Close)]
#[case::named_beside_the_field(200, &[("x", "a Content-Length: 7"), ("content-length", "5")], Framing::Length)]
#[case::private_data(200, &[("data", "a"), ("content-type", "text/plain")], Framing::Close)]
#[case::misspelled_beside_the_field(200, &[("content_length", "5"), ("content-length", "5")], Framing::Length)]
fn the_framing_follows_from_the_head(
    #[case] status: u16,
    #[case] headers: &[(&str, &str)],
    #[case] expected: Framing,
) {
    assert_eq!(framing(&Method::POST, Version::HTTP_11, status, headers), Ok(expected));
}

#[rstest]
#[case::unknown(&[("transfer-encoding", "xchunked")], FramingError::Coding)]
#[case::none(&[("transfer-encoding", "")], FramingError::Coding)]
#[case::identity(&[("transfer-encoding", "identity")], FramingError::Coding)]
#[case::chunks_not_last(&[("transfer-encoding", "chunked, gzip")], FramingError::Coding)]
#[case::chunks_last(&[("transfer-encoding", "gzip, chunked")], FramingError::Coding)]
#[case::twice(&[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")], FramingError::Coding)]
#[case::chunks_and_length(&[("content-length", "5"), ("transfer-encoding", "chunked")], FramingError::CodingAndLength)]
#[case::misspelled_length(&[("content-lengtx", "5")], FramingError::MisspelledField)]
#[case::misspelled_coding(&[("transfer_encoding", "chunked")], FramingError::MisspelledField)]
#[case::colon_in_the_length(&[("content", "Length: 5")], FramingError::MisspelledField)]
#[case::colon_in_the_coding(&[("transfer-enc", "oding: chunked")], FramingError::MisspelledField)]
#[case::length_in_a_value(&[("x", "aContent-Length: 5")], FramingError::FieldInLine)]
#[case::coding_in_a_value(&[("x", "a  transfer-encoding:chunked")], FramingError::FieldInLine)]
#[case::event(&[("content-type", "text/event-stream"), ("data", "a")], FramingError::EventInHead)]
#[case::event_with_id(&[("content-length", "5"), ("id", "1"), ("data", "a")], FramingError::EventInHead)]
#[case::swapped_letters(&[("Contnet-Lenght", "5")], FramingError::MisspelledField)]
fn a_head_with_broken_framing_is_refused(
    #[case] headers: &[(&str, &str)],
    #[case] expected: FramingError,
) {
    assert_eq!(framing(&Method::POST, Version::HTTP_11, 200, headers), Err(expected));
    // An answer to HEAD has no body, so that its end is known.
    assert_eq!(framing(&Method::HEAD, Version::HTTP_11, 200, headers), Ok(Framing::Length));
}

#[test]
fn an_old_version_has_no_chunks() {
    let headers = [("transfer-encoding", "chunked")];
    let framing = framing(&Method::GET, Version::HTTP_10, 200, &headers);
    assert_eq!(framing, Err(FramingError::CodingInOldVersion));
}

/// The registered fields with similar names, and private ones in common use.
#[rstest]
fn no_other_field_is_taken_for_a_misspelled_one(
    #[values(
        "accept-encoding",
        "connection",
        "content-base",
        "content-disposition",
        "content-encoding",
        "content-id",
        "content-language",
        "content-location",
        "content-md5",
        "content-range",
        "content-transfer-encoding",
        "content-type",
        "content-version",
        "trailer",
        "te",
        "x-content-length",
        "x-transfer-encoding"
    )]
    name: &str,
) {
    assert!(!resembles_framing_field(name));
}

#[rstest]
#[case::one(&["5"], Some("5"))]
#[case::repeated(&["5", "5"], Some("5"))]
#[case::list(&["5, 05"], Some("5"))]
#[case::different(&["5, 6"], None)]
#[case::no_number(&["+5"], None)]
#[case::empty(&[""], None)]
fn repeated_lengths_become_one(#[case] values: &[&'static str], #[case] expected: Option<&str>) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(CONTENT_LENGTH, HeaderValue::from_static(value));
    }
    merge_lengths(&mut headers);
    let merged: Vec<&HeaderValue> = headers.get_all(CONTENT_LENGTH).iter().collect();
    assert_eq!(merged, Vec::from_iter(expected));
}

#[rstest]
#[case("abc", "abc", 0)]
#[case("abc", "abd", 1)]
#[case("abc", "acb", 1)]
#[case("abc", "ab", 1)]
#[case("", "abc", 3)]
#[case("contnet-lenght", "content-length", 2)]
#[case("content-language", "content-length", 5)]
fn counts_edits(#[case] from: &str, #[case] to: &str, #[case] expected: usize) {
    assert_eq!(edit_distance(from, to), expected);
    assert_eq!(edit_distance(to, from), expected);
}
