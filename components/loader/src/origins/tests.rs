//! Tests of the origins that a loader keeps.

use std::time::Duration;

use origin::{Lookup, StreamKey};
use serde_json::{Value, json};

use super::*;

fn key(id: &str) -> StreamKey {
    StreamKey::new(b"host", b"caller", id.as_bytes())
}

fn record(id: &str, service: &str, software: &str) -> Value {
    json!({
        "key": key(id),
        "service": service,
        "software": software,
        "endpoint": "i-1",
        "age": 40,
        "keep": 60_000,
    })
}

fn keep(origins: &mut Origins, message: &Value) -> Result<(), KeepError> {
    origins.keep(message.to_string().as_bytes(), Instant::now())
}

/// The answer of a loader that knows nothing and has kept records for this time.
fn nothing_after(kept: Duration) -> OriginAnswer {
    OriginAnswer { kept, ..OriginAnswer::default() }
}

fn find(origins: &Origins, id: &str) -> OriginAnswer {
    let service = "llm".parse().expect("a name");
    origins.find(&OriginQuery { key: key(id), service }, Instant::now())
}

fn versions(answer: &OriginAnswer) -> Vec<&str> {
    answer.versions.iter().map(SoftwareVersion::as_str).collect()
}

fn software(answer: &OriginAnswer) -> Option<&str> {
    answer.origin.as_ref()?.software.as_ref().map(SoftwareVersion::as_str)
}

/// Guards against a stream that goes on at another version at a router that did not begin it.
#[tokio::test(start_paused = true)]
async fn the_version_that_began_a_stream_is_found_until_its_record_expires() {
    let mut origins = Origins::default();
    keep(&mut origins, &json!([record("r1", "llm", "v1"), record("r2", "llm", "v2")]))
        .expect("a message");
    tokio::time::advance(Duration::from_secs(2)).await;
    let answer = find(&origins, "r1");
    assert_eq!(software(&answer), Some("v1"));
    assert_eq!(answer.origin.expect("an origin").age, Duration::from_millis(2_040));
    assert_eq!(versions(&find(&origins, "never")), ["v1", "v2"]);
    assert_eq!(software(&find(&origins, "never")), None);
    tokio::time::advance(Duration::from_secs(58)).await;
    assert_eq!(find(&origins, "r1"), nothing_after(Duration::from_secs(60)));
}

/// Guards against taking either of two streams that began under one id for the other.
#[tokio::test(start_paused = true)]
async fn streams_of_two_versions_under_one_key_are_conflicting() {
    let mut origins = Origins::default();
    keep(&mut origins, &json!([record("r1", "llm", "v1")])).expect("a message");
    keep(&mut origins, &json!([record("r1", "llm", "v2")])).expect("a message");
    let answer = find(&origins, "r1");
    assert!(answer.conflicting && answer.origin.is_none(), "{answer:?}");
    assert_eq!(
        answer.into_keeper_answer(key("r1"), Duration::ZERO, Instant::now()).origin,
        Lookup::Conflicting
    );
}

/// Guards against a router that loses all records of a message because of one that a router of another release wrote.
#[tokio::test(start_paused = true)]
async fn an_unreadable_record_does_not_cost_the_others_of_its_message() {
    let mut origins = Origins::default();
    let mut unnamed = record("r2", "llm", "v2");
    unnamed["software"] = json!("");
    let message = json!([record("r1", "llm", "v1"), unnamed, 7, record("r3", "llm", "v1")]);
    keep(&mut origins, &message).expect("a message");
    assert_eq!(software(&find(&origins, "r1")), Some("v1"));
    assert_eq!(software(&find(&origins, "r2")), None);
    assert_eq!(software(&find(&origins, "r3")), Some("v1"));
}

/// Guards against messages that change what is kept although they are refused.
#[rstest::rstest]
#[case::an_object(json!({"key": "x"}), "can't be read")]
#[case::only_unreadable_records(json!([7, {}]), "can't be read")]
#[case::a_key_that_is_none(json!([{"key": "x", "service": "llm", "software": "v1", "endpoint": "i-1", "age": 0, "keep": 9}]), "no stream key")]
#[case::an_overlong_version(json!([record("r1", "llm", &"v".repeat(10_000))]), "10000 bytes")]
#[case::too_many_records(Value::Array(vec![record("r1", "llm", "v1"); 513]), "513 records")]
#[tokio::test(start_paused = true)]
async fn a_refused_message_changes_nothing(#[case] message: Value, #[case] error: &str) {
    let mut origins = Origins::default();
    let refused = keep(&mut origins, &message).expect_err("refused").to_string();
    assert!(refused.contains(error), "{refused}");
    assert_eq!(find(&origins, "r1"), OriginAnswer::default());
    assert!(origins.table.is_empty());
}

/// Guards against the largest numbers that a message can hold, which overflow a time and would keep a record for ever.
#[tokio::test(start_paused = true)]
async fn the_times_of_a_record_are_bounded() {
    let mut origins = Origins::default();
    let mut endless = record("r1", "llm", "v1");
    endless["age"] = json!(u64::MAX);
    endless["keep"] = json!(u64::MAX);
    keep(&mut origins, &json!([endless])).expect("a message");
    assert_eq!(software(&find(&origins, "r1")), Some("v1"));
    tokio::time::advance(control::MAX_ORIGIN_KEEP).await;
    assert_eq!(find(&origins, "r1"), nothing_after(control::MAX_ORIGIN_KEEP));
}

/// Guards against a flood of streams of a new version, after which a stream of the old one would be led to the only version left.
#[tokio::test(start_paused = true)]
async fn a_version_is_named_although_its_records_were_dropped() {
    let mut origins = Origins::default();
    keep(&mut origins, &json!([record("r1", "llm", "v1")])).expect("a message");
    let mut batches = 0;
    while find(&origins, "r1").origin.is_some() {
        let ids = (0..MAX_ORIGIN_RECORDS).map(|n| format!("flood-{batches}-{n}"));
        let records: Vec<Value> = ids.map(|id| record(&id, "llm", "v2")).collect();
        keep(&mut origins, &Value::Array(records)).expect("a message");
        batches += 1;
        assert!(batches < 1_000, "the table grows without a bound");
    }
    assert_eq!(versions(&find(&origins, "r1")), ["v1", "v2"]);
}

/// Guards against memory that grows with the versions and services that messages name.
#[tokio::test(start_paused = true)]
async fn the_versions_and_services_remembered_are_bounded() {
    let mut origins = Origins::default();
    for n in 0..MAX_VERSIONS + 5 {
        keep(&mut origins, &json!([record("r", "llm", &format!("v{n}"))])).expect("a message");
    }
    assert_eq!(find(&origins, "r").versions.len(), MAX_VERSIONS);
    for n in 0..MAX_SERVICES + 5 {
        keep(&mut origins, &json!([record("s", &format!("s{n}"), "v1")])).expect("a message");
    }
    assert_eq!(origins.versions.0.len(), MAX_SERVICES);
}
