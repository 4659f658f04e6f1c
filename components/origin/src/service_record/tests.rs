use super::*;

const NOW: UnixMillis = UnixMillis(1_000_000_000);

fn versions(texts: &[&str]) -> BTreeSet<SoftwareVersion> {
    texts.iter().map(|text| text.parse().expect("a version")).collect()
}

fn update(
    record: &ServiceRecord,
    listed: &[&str],
    recent: &[&str],
    is_complete: bool,
    now: UnixMillis,
) -> Option<ServiceRecord> {
    let (listed, recent) = (versions(listed), versions(recent));
    record.updated(SeenVersions { listed: &listed, recent: &recent, is_complete }, now)
}

fn recent(record: &ServiceRecord, now: UnixMillis) -> Vec<(&str, Duration)> {
    record.recent(now).map(|(software, ago)| (software.as_str(), ago)).collect()
}

fn after(seconds: u64) -> UnixMillis {
    NOW.after(Duration::from_secs(seconds))
}

#[test]
fn a_version_that_has_left_is_remembered_until_its_streams_have_ended() {
    let first = update(&ServiceRecord::default(), &["v1"], &["v1"], true, NOW).expect("new");
    assert_eq!(update(&first, &["v1"], &["v1"], true, after(9)), None, "nothing to write");
    let both = update(&first, &["v1", "v2"], &["v1", "v2"], true, after(10)).expect("a version");
    let left = update(&both, &["v2"], &["v1", "v2"], true, after(20)).expect("v1 has left");
    assert_eq!(update(&left, &["v2"], &["v1", "v2"], true, after(21)), None);
    let ago = Duration::from_secs(30);
    assert_eq!(recent(&left, after(50)), [("v1", ago), ("v2", Duration::ZERO)]);
    assert_eq!(recent(&left, after(100)), [("v2", Duration::ZERO)]);
}

#[test]
fn a_version_that_is_missing_from_an_incomplete_list_has_not_left() {
    let both = update(&ServiceRecord::default(), &["v1", "v2"], &[], true, NOW).expect("new");
    assert_eq!(update(&both, &["v2"], &["v1", "v2"], false, after(1)), None);
    assert_eq!(update(&both, &[], &[], false, after(1)), None);
}

/// Guards against a router with a slow clock, whose record of a new version would seem to be the older one.
#[test]
fn versions_are_established_in_the_order_in_which_they_were_recorded() {
    let first = update(&ServiceRecord::default(), &["v1"], &["v1"], true, after(30)).expect("new");
    let both = update(&first, &["v1", "v2"], &[], true, after(20)).expect("a version");
    let established = both.established(after(20)).expect("v1 was there before");
    assert_eq!(established.software.as_str(), "v1");
}

/// Guards against two routers that write the record in turn while only one of them has read the newest list.
#[test]
fn a_version_that_was_recorded_just_now_has_not_left() {
    let first = update(&ServiceRecord::default(), &["v1"], &["v1"], true, NOW).expect("new");
    let both = update(&first, &["v1", "v2"], &[], true, after(10)).expect("a version");
    assert_eq!(update(&both, &["v1"], &["v1"], true, after(12)), None);
    assert!(update(&both, &["v1"], &["v1"], true, after(13)).is_some());
}

#[test]
fn a_version_that_only_a_process_remembers_is_written_again() {
    let restored = update(&ServiceRecord::default(), &["v2"], &["v2"], true, NOW).expect("new");
    let both = update(&restored, &["v2"], &["v1", "v2"], true, NOW).expect("v1 is missing");
    assert_eq!(recent(&both, NOW), [("v1", Duration::ZERO), ("v2", Duration::ZERO)]);
}

#[test]
fn a_version_that_returns_is_listed_again() {
    let both = update(&ServiceRecord::default(), &["v1", "v2"], &[], true, NOW).expect("new");
    let left = update(&both, &["v1"], &[], true, after(5)).expect("v2 has left");
    let back = update(&left, &["v1", "v2"], &[], true, after(6)).expect("v2 is back");
    assert_eq!(back, both);
}

#[test]
fn a_record_does_not_grow_with_releases() {
    let mut record = ServiceRecord::default();
    for release in 0..200 {
        let software = format!("v{release}");
        let next = update(&record, &[&software], &[], true, after(3 * release));
        record = next.expect("a new version");
    }
    assert!(record.versions.len() <= MAX_VERSIONS, "{record:?}");
    let year = after(365 * 24 * 3_600);
    let next = update(&record, &["next"], &[], true, year).expect("a new version");
    assert_eq!(recent(&next, year).len(), 2, "the last one left just now");
}

#[test]
fn the_version_from_before_the_others_is_established_while_it_is_listed() {
    let established = |record: &ServiceRecord, now| {
        record.established(now).map(|version| version.software.as_str().to_owned())
    };
    let at_once = update(&ServiceRecord::default(), &["v1", "v2"], &[], true, NOW).expect("new");
    assert_eq!(established(&at_once, NOW), None, "it is not known which one was there first");
    let first = update(&ServiceRecord::default(), &["v2"], &["v2"], true, NOW).expect("new");
    assert_eq!(established(&first, NOW), None, "there is no other one");
    let both = update(&first, &["v1", "v2"], &[], true, after(5)).expect("a version");
    assert_eq!(established(&both, after(6)).as_deref(), Some("v2"));
    let v1 = "v1".parse().expect("a version");
    assert!(!both.is_established(&v1, after(6)));
    let left = update(&both, &["v1"], &[], true, after(10)).expect("v2 has left");
    assert_eq!(established(&left, after(11)), None, "its streams can't go on anywhere");
    assert!(!left.is_established(&v1, after(11)), "its streams may still be taken up");
    assert!(left.is_established(&v1, after(100)));
    let third = update(&left, &["v1", "v3"], &[], true, after(100)).expect("a version");
    assert_eq!(established(&third, after(101)).as_deref(), Some("v1"));
}

/// Such a version was never dropped, and hid which one was established.
#[test]
fn versions_whose_times_are_far_ahead_make_a_record_invalid() {
    let record = |since: u64, until: u64| {
        let text = format!(r#"{{"versions":{{"v1":{{"since":{since},"until":{until}}}}}}}"#);
        serde_json::from_str::<ServiceRecord>(&text).expect("a record")
    };
    let soon = after(20).0;
    assert!(!record(NOW.0, NOW.0).is_too_far_ahead(NOW));
    assert!(!record(soon, soon).is_too_far_ahead(NOW), "clocks differ by seconds");
    for far in [after(120).0, u64::MAX] {
        assert!(record(far, NOW.0).is_too_far_ahead(NOW));
        assert!(record(NOW.0, far).is_too_far_ahead(NOW));
    }
}
