//! Tests of the messages about origins.

use rstest::rstest;

use super::*;

fn key(id: &str) -> StreamKey {
    StreamKey::new(b"host", b"caller", id.as_bytes())
}

fn origin(begun: Instant) -> StreamOrigin {
    StreamOrigin {
        service: "llm".parse().expect("a name"),
        software: Some("v1".parse().expect("a version")),
        endpoint: "i-1".parse().expect("an id"),
        incarnation: None,
        confirmed: false,
        needs: Default::default(),
        begun,
    }
}

#[tokio::test(start_paused = true)]
async fn an_origin_is_the_same_after_its_way_over_the_network() {
    tokio::time::advance(Duration::from_secs(100)).await;
    let begun = Instant::now();
    tokio::time::advance(Duration::from_secs(3)).await;
    let now = Instant::now();
    let keep = Duration::from_secs(60);
    let record = OriginRecord::new(key("r1"), &origin(begun), keep, now);
    let text = serde_json::to_string(&record).expect("a message");
    let received: OriginRecord = serde_json::from_str(&text).expect("a record");
    assert_eq!((received.key, received.bounded_keep()), (key("r1"), keep));
    assert_eq!(received.into_origin(now), origin(begun));
}

/// Guards against a keeper's record of another stream that decides where a stream goes on.
#[tokio::test(start_paused = true)]
async fn an_answer_about_another_stream_says_only_which_versions_there_are() {
    let now = Instant::now();
    let versions: BTreeSet<_> = ["v1".parse().expect("a version")].into();
    let answer =
        OriginAnswer::new(key("r2"), &Lookup::Known(origin(now)), &versions, Duration::ZERO, now);
    let known = answer.clone().into_keeper_answer(key("r2"), Duration::ZERO, now);
    assert_eq!(known.origin, Lookup::Known(origin(now)));
    let other = answer.into_keeper_answer(key("r1"), Duration::ZERO, now);
    assert_eq!(
        other,
        KeeperAnswer {
            origin: Lookup::Unknown,
            versions,
            watched: Duration::ZERO,
            kept: Duration::ZERO,
            listed: Duration::ZERO,
        }
    );
}

/// Guards against a release that can't read what the next one sends, or the other way round.
#[rstest]
#[case::nothing_known("{}", false, 0)]
#[case::a_conflict(r#"{"conflicting":true}"#, false, 0)]
#[case::fields_of_a_later_release(
    r#"{"origin":{"key":"0000000000000000000000000000002a","service":"llm","software":"v1",
        "endpoint":"i-1","age":40,"region":"eu"},"versions":["v1","v2"],"since":7}"#,
    true,
    2
)]
fn answers_of_other_releases_are_read(
    #[case] text: &str,
    #[case] known: bool,
    #[case] versions: usize,
) {
    let answer: OriginAnswer = serde_json::from_str(text).expect("an answer");
    assert_eq!((answer.origin.is_some(), answer.versions.len()), (known, versions));
}

#[rstest]
#[case::a_record(
    r#"{"key":"0000000000000000000000000000002a","service":"llm","software":"v1",
    "endpoint":"i-1","age":40,"keep":60000,"cause":"moved"}"#
)]
fn records_of_a_later_release_are_read(#[case] text: &str) {
    let record: OriginRecord = serde_json::from_str(text).expect("a record");
    assert_eq!(record.keep, Duration::from_secs(60));
}

#[test]
fn queries_of_a_later_release_are_read() {
    let text = r#"{"key":"0000000000000000000000000000002a","service":"llm","route":"chat"}"#;
    let query: OriginQuery = serde_json::from_str(text).expect("a query");
    assert_eq!(query.service.as_str(), "llm");
}
