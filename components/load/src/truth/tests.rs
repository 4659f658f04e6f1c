use rstest::rstest;

use super::original;

#[rstest]
#[case::the_first_id("entry-1-a0-7", "entry-1-a0-7")]
#[case::a_later_id("entry-1-a0-7.2", "entry-1-a0-7")]
#[case::an_entry_with_a_point("entry.south-a0-7", "entry.south-a0-7")]
fn can_find_the_request_of(#[case] id: &str, #[case] request: &str) {
    assert_eq!(original(id), request);
}
