//! Tests of the checks of bodies that end with their connection.

use rstest::rstest;

use super::*;

/// Checks a body that arrives in parts of this size.
fn check(body: &str, part_bytes: usize, has_events: bool) -> Result<(), FramingError> {
    let mut check = CloseDelimitedCheck::default();
    if has_events {
        check.expect_events();
    }
    for part in body.as_bytes().chunks(part_bytes) {
        check.push(part)?;
    }
    check.finish()
}

#[rstest]
#[case::length("Content-Length: 5\r\n\r\nhello")]
#[case::coding("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")]
#[case::later_field("Date: a\r\nX-B: \r\nCONTENT-LENGTH:5\r\n\r\nhello")]
#[case::line_feeds("Date: a\nContent-Length: 5\n\nhello")]
#[case::empty_lines_first("\r\n\n\r\nDate: a\r\nContent-Length: 5\r\n\r\nhello")]
#[case::name_without_its_first_letter("ontent-Length: 5\r\n\r\nhello")]
#[case::name_without_two_letters("ansfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")]
#[case::no_end_of_the_head("Date: a\r\nContent-Length: 5")]
fn a_body_that_begins_with_the_rest_of_a_head_is_found(
    #[case] body: &str,
    #[values(1, 3, 4_096)] part_bytes: usize,
    #[values(false, true)] has_events: bool,
) {
    assert_eq!(check(body, part_bytes, has_events), Err(FramingError::FieldInBody));
}

#[rstest]
#[case::one("5\r\nhello\r\n0\r\n\r\n")]
#[case::two("5\r\nhello\r\n0A;name=value\r\n0123456789\r\n000\r\n\r\n")]
#[case::empty("0\r\n\r\n")]
#[case::spaces_after_sizes("5 \r\nhello\r\n1 \t;name=value\r\n.\r\n0\t\r\n\r\n")]
#[case::trailers("5\r\nhello\r\n0\r\nX-A: b\r\nX-C:\r\n\r\n")]
fn a_body_in_chunks_is_found(
    #[case] body: &str,
    #[values(1, 3, 4_096)] part_bytes: usize,
    #[values(false, true)] has_events: bool,
) {
    assert_eq!(check(body, part_bytes, has_events), Err(FramingError::UnstatedChunks));
}

#[rstest]
#[case::empty("")]
#[case::text("a text\r\nContent-Length: 5\r\n\r\n")]
#[case::fields_of_others("Date: a\r\n\r\nContent-Length: 5\r\n\r\n")]
#[case::folded("Date: a\r\n b\r\nContent-Length: 5\r\n\r\n")]
#[case::json("{\"Content-Length\": 5}")]
#[case::end_of_a_name("length: 5\r\nEncoding: a\r\n\r\n")]
#[case::similar_name("Content-Lengths: 5\r\n\r\n")]
#[case::numbers("2\r\n10\r\n20\r\n")]
#[case::number("0\r\n")]
#[case::empty_lines("\r\n\n\r\na text\r\nContent-Length: 5\r\n\r\n")]
#[case::number_and_text("0\r\na text\r\n\r\n")]
#[case::number_and_fields("0\r\nX-A: b\r\n\r\nx")]
#[case::numbers_in_a_line("5 5\r\nhello\r\n0\r\n\r\n")]
#[case::cut_chunk("5\r\nhel")]
#[case::cut_chunks("5\r\nhello\r\n")]
#[case::chunks_and_more("5\r\nhello\r\n0\r\n\r\nx")]
#[case::size_too_large("1000000000000000\r\nhello")]
#[case::size_without_digits(";a\r\nhello")]
fn another_body_is_sound(#[case] body: &str, #[values(1, 3, 4_096)] part_bytes: usize) {
    assert_eq!(check(body, part_bytes, false), Ok(()));
}

#[rstest]
#[case::event("id: 1\ndata: x\n\n")]
#[case::hexadecimal_digits("data: x\n\n")]
#[case::comment(": ping\n\n")]
#[case::other_line_ends("id: 1\rdata: x\r\r")]
fn a_stream_is_passed_on_from_its_first_event_on(#[case] events: &str) {
    let mut check = CloseDelimitedCheck::default();
    check.expect_events();
    assert_eq!(check.push(events.as_bytes()), Ok(Progress::Sound));
}

#[rstest]
#[case::field("X-Long: ", "x")]
#[case::fields("", "X-More: xxxxxxxx\r\n")]
#[case::name("", "x")]
#[case::chunk_extension("4;", "x")]
fn no_more_is_held_back_than_is_searched(#[case] start: &str, #[case] unit: &str) {
    let mut check = CloseDelimitedCheck::default();
    check.expect_events();
    let body = start.to_owned() + &unit.repeat(MAX_SEARCHED_BYTES);
    let (first, rest) = body.as_bytes().split_at(MAX_SEARCHED_BYTES - 1);
    assert_eq!(check.push(first), Ok(Progress::Undecided));
    assert_eq!(check.push(&rest[..1]), Ok(Progress::Sound));
}
