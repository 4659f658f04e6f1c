//! Tests of the messages between routers.

use units::{Era, Offset};

use super::*;

#[test]
fn a_position_is_parsed_from_its_text() {
    let position =
        Position { version: Revision(7), read: StorePosition { era: Era(3), offset: Offset(12) } };
    assert_eq!(Position::from_query(&position.to_string()), position);
}

#[test]
fn a_query_without_valid_values_is_the_zero_position() {
    for query in ["", "read=x", "other=3&version"] {
        assert_eq!(Position::from_query(query), Position::default(), "{query}");
    }
}

#[test]
fn a_snapshot_without_a_read_position_is_parsed() {
    let text = r#"{"catalog":null,"endpoints":[]}"#;
    let snapshot: Snapshot = serde_json::from_str(text).expect("a snapshot");
    assert_eq!(snapshot.read, StorePosition::default());
}
