use control::OriginRecord;
use units::Offset;

use super::*;

fn key(number: usize) -> StreamKey {
    StreamKey::new(b"host", b"caller", &number.to_be_bytes())
}

fn streams(numbers: std::ops::Range<usize>, software: &str) -> Update {
    let record = |number| OriginRecord {
        key: key(number),
        service: "llm".parse().expect("a service"),
        software: Some(software.parse().expect("a version")),
        endpoint: "i-1".parse().expect("an endpoint"),
        incarnation: None,
        confirmed: true,
        needs: origin::StreamNeeds::Nothing,
        age: Duration::ZERO,
        keep: Duration::from_secs(60),
    };
    let stored = StoredStreams { at: wall_clock(), streams: numbers.map(record).collect() };
    let value = serde_json::to_vec(&stored).expect("JSON");
    Update::Record(format!("{ROUTER_PREFIX}front-{software}"), value.into())
}

fn service(listed: &[&str]) -> Update {
    let listed = listed.iter().map(|text| text.parse().expect("a version")).collect();
    let seen = SeenVersions { listed: &listed, recent: &listed, is_complete: true };
    let record = ServiceRecord::default().updated(seen, wall_clock()).expect("a new record");
    let value = serde_json::to_vec(&record).expect("JSON");
    Update::Record(format!("{SERVICE_PREFIX}llm"), value.into())
}

/// The record of a service that has got a second version.
fn two_versions() -> Update {
    let Update::Record(key, value) = service(&["v1"]) else { unreachable!("a record") };
    let first: ServiceRecord = serde_json::from_slice(&value).expect("a record");
    let listed = ["v1", "v2"].map(|text| text.parse().expect("a version")).into();
    let seen = SeenVersions { listed: &listed, recent: &listed, is_complete: true };
    let both = first.updated(seen, wall_clock()).expect("a new version");
    Update::Record(key, serde_json::to_vec(&both).expect("JSON").into())
}

fn records(updates: Vec<Update>) -> StreamRecords {
    let records = StreamRecords::new(Store::new(([127, 0, 0, 1], 9).into()));
    let position = StorePosition { era: Era(0), offset: Offset(0) };
    let (complete, has_more, restored) = (true, false, false);
    let batch = Batch { complete, has_more, position, restored, updates };
    records.lock().apply(batch, Instant::now());
    records
}

fn software(lookup: &Lookup) -> Option<&str> {
    match lookup {
        Lookup::Known(origin) => origin.software.as_ref().map(SoftwareVersion::as_str),
        Lookup::Unknown | Lookup::Conflicting => None,
    }
}

#[tokio::test]
async fn a_stream_is_found_in_the_record_of_its_router() {
    let records = records(vec![streams(0..2, "v1"), streams(1..3, "v2"), service(&["v1"])]);
    assert_eq!(software(&records.find(key(0))), Some("v1"));
    assert_eq!(software(&records.find(key(2))), Some("v2"));
    assert_eq!(records.find(key(1)), Lookup::Conflicting, "two routers name two versions");
    assert_eq!(records.find(key(3)), Lookup::Unknown);
}

#[tokio::test]
async fn a_record_that_cannot_be_read_leaves_the_others() {
    let unreadable = Update::Record(format!("{ROUTER_PREFIX}front-1"), "{".into());
    let foreign = Update::Record("other".to_owned(), "{".into());
    let readable = records(vec![foreign, streams(0..1, "v1"), two_versions()]);
    let llm = "llm".parse().expect("a service");
    assert_eq!(software(&readable.find(key(0))), Some("v1"));
    assert!(readable.established(&llm).is_some());
    let partly = records(vec![unreadable, streams(0..1, "v1"), two_versions()]);
    assert_eq!(software(&partly.find(key(0))), Some("v1"));
    assert!(partly.established(&llm).is_none(), "the record may name the stream");
}

#[tokio::test]
async fn a_record_of_a_router_that_was_left_out_may_name_any_stream() {
    let left_out = Update::InvalidRecord(format!("{ROUTER_PREFIX}front-1"), "bad".to_owned());
    let foreign = Update::InvalidRecord("other".to_owned(), "bad".to_owned());
    let llm = "llm".parse().expect("a service");
    assert!(records(vec![foreign, two_versions()]).established(&llm).is_some());
    assert!(records(vec![left_out, two_versions()]).established(&llm).is_none());
}

#[test]
fn records_are_checked_by_their_keys_and_values() {
    let valid = [streams(0..1, "v1"), service(&["v1"])];
    for update in valid {
        let Update::Record(key, value) = update else { unreachable!("a record") };
        assert_eq!(check_record(&key, &value), RecordKind::Valid);
        assert_eq!(check_record(&key, b""), RecordKind::Valid, "the record was deleted");
        assert!(matches!(check_record(&key, b"{"), RecordKind::Invalid(_)));
        assert_eq!(check_record("other", &value), RecordKind::Foreign);
    }
}

/// Guards against memory that grows with what others write, and against taking a stream that was left out for one that is not
/// recorded.
#[tokio::test]
async fn streams_beyond_the_bound_are_left_out_and_nothing_is_concluded_from_their_absence() {
    let llm = "llm".parse().expect("a service");
    let few = records(vec![two_versions(), streams(0..MAX_ORIGINS, "v1")]);
    assert!(few.established(&llm).is_some());
    let many = records(vec![two_versions(), streams(0..MAX_ORIGINS, "v1"), streams(0..1, "v2")]);
    assert_eq!(software(&many.find(key(0))), Some("v1"));
    assert!(many.established(&llm).is_none());
}

/// A version with such a time hid the established one for good.
#[test]
fn a_service_record_with_a_time_far_ahead_is_invalid() {
    let check = |since: u64| {
        let value = format!(r#"{{"versions":{{"odd":{{"since":{since}}}}}}}"#);
        check_record("service/llm", value.as_bytes())
    };
    let now = wall_clock();
    assert_eq!(check(now.after(Duration::from_secs(20)).0), RecordKind::Valid);
    for far in [now.after(Duration::from_secs(120)).0, u64::MAX] {
        assert!(matches!(check(far), RecordKind::Invalid(_)), "{far}");
    }
    assert_eq!(check_record("service/llm", b""), RecordKind::Valid);
}
