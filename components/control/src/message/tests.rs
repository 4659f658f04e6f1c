//! Tests of what routers tell each other.

use units::{Era, Offset};

use super::*;

#[test]
fn a_position_is_read_as_it_was_written() {
    let position =
        Position { version: Revision(7), read: StorePosition { era: Era(3), offset: Offset(12) } };
    assert_eq!(Position::from_query(&position.to_string()), position);
}

#[test]
fn a_question_without_a_position_is_one_of_a_router_that_knows_nothing() {
    for query in ["", "read=x", "other=3&version"] {
        assert_eq!(Position::from_query(query), Position::default(), "{query}");
    }
}

#[test]
fn a_snapshot_of_a_router_that_tells_no_position_can_be_read() {
    let text = r#"{"catalog":null,"endpoints":[]}"#;
    let snapshot: Snapshot = serde_json::from_str(text).expect("a snapshot");
    assert_eq!(snapshot.read, StorePosition::default());
}
