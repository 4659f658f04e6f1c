//! Tests of finding the ends of events.

use proptest::prelude::*;
use rstest::rstest;

use super::*;

#[rstest]
#[case::nothing("", 0, false)]
#[case::one_event("id: 1\ndata: a\n\n", 15, false)]
#[case::cut_in_a_field_name("id: 1\ndata: a\n\nid", 15, true)]
#[case::cut_before_the_blank_line("id: 1\ndata: a\n\nid: 2\ndata: b\n", 15, true)]
#[case::cut_in_the_blank_line("id: 1\r\ndata: a\r\n", 0, true)]
#[case::crlf("id: 1\r\ndata: a\r\n\r\n", 18, false)]
#[case::cr("id: 1\rdata: a\r\r", 15, false)]
#[case::mixed_endings("id: 1\r\ndata: a\n\r\n", 17, false)]
#[case::comment(": ping\n\n", 8, false)]
#[case::blank_lines_alone("\n\n\n", 0, false)]
#[case::blank_lines_after_an_event("data: a\n\n\n\n", 9, false)]
#[case::several("data: a\n\ndata: b\n\ndata", 18, true)]
fn the_end_of_the_last_complete_event_is_found(
    #[case] text: &str,
    #[case] complete: usize,
    #[case] inside_event: bool,
) {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.scan(text.as_bytes()), complete);
    assert_eq!(scanner.inside_event(), inside_event);
    assert_eq!(scanner.tail_bytes(), text.len() - complete);
}

proptest! {
    #[test]
    fn the_result_does_not_depend_on_how_the_bytes_are_cut(
        text in "(id: [0-9]{1,3}|data: [a-z]{0,9}|\n|\r|\r\n){0,30}",
        cuts in prop::collection::vec(0_usize..200, 0..12),
    ) {
        let mut whole = EventScanner::default();
        whole.scan(text.as_bytes());
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let mut pieces = EventScanner::default();
        let mut start = 0;
        for cut in cuts {
            pieces.scan(&text.as_bytes()[start..cut]);
            start = cut;
        }
        prop_assert_eq!(pieces.inside_event(), whole.inside_event());
        // An LF that completes a line ending may arrive apart from its CR.
        prop_assert!(pieces.tail_bytes() <= whole.tail_bytes() + 1);
    }
}
