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

fn poll(rates: bool) -> PollRequest {
    PollRequest {
        router: "front-1".to_owned(),
        endpoint: "i-1".parse().expect("an id"),
        incarnation: None,
        era: Era::default(),
        seen: 3,
        wait: Duration::from_secs(1),
        uses: Vec::new(),
        steps: Vec::new(),
        rates,
    }
}

/// Guards against messages that grow where no router uses rates, and against routers of other versions.
#[test]
fn a_poll_says_only_that_rates_are_used() {
    let plain = serde_json::to_value(poll(false)).expect("a message");
    assert!(plain.get("rates").is_none(), "{plain}");
    assert_eq!(serde_json::from_value::<PollRequest>(plain).expect("a poll"), poll(false));
    let asking = serde_json::to_value(poll(true)).expect("a message");
    assert_eq!(serde_json::from_value::<PollRequest>(asking).expect("a poll"), poll(true));
}

/// Guards against routers of two releases that can't read each other's lists.
#[rstest::rstest]
#[case::the_release_before("", None)]
#[case::this_release(r#""software":"v1","#, Some("v1"))]
#[case::the_next_release(r#""software":"v1","software_since":7,"#, Some("v1"))]
fn snapshots_of_other_releases_are_read(#[case] field: &str, #[case] software: Option<&str>) {
    let text = format!(
        r#"{{"endpoints":[{{"id":"i-1","life":100,{field}"service":"llm","addr":"10.0.0.1:80","domain":"near",
            "slots":4,"stage":"Ready","holdings":null}}],"kept":[],"missing":[],"read":{{"era":1,"offset":12}},"shard":3}}"#
    );
    let snapshot: Snapshot = serde_json::from_str(&text).expect("a snapshot");
    let read = snapshot.endpoints[0].software.as_ref().map(units::SoftwareVersion::as_str);
    assert_eq!(read, software);
}

/// Guards against a change of the other fields, which a router of the release before reads.
#[test]
fn the_version_of_an_endpoint_is_all_that_a_snapshot_adds() {
    let text = r#"{"id":"i-1","life":100,"software":"v1","service":"llm","addr":"10.0.0.1:80","domain":"near","slots":4,"stage":"Ready","holdings":null}"#;
    let known: Endpoint = serde_json::from_str(text).expect("an endpoint");
    assert_eq!(serde_json::to_string(&known).expect("JSON"), text);
    let unknown = Endpoint { software: None, ..known };
    let expected = text.replace(r#""software":"v1","#, "");
    assert_eq!(serde_json::to_string(&unknown).expect("JSON"), expected);
}
