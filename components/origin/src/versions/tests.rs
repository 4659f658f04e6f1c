use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn name(text: &str) -> ServiceName {
    text.parse().expect("a service name")
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("a version")
}

#[test]
fn a_version_that_has_left_is_remembered_while_callers_may_come_back() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    history.record(&name("s"), &version("v1"), start);
    history.record(&name("s"), &version("v2"), start + 10 * SECOND);
    let at = |seconds: u32| history.versions(&name("s"), start + seconds * SECOND);
    assert_eq!(at(59), BTreeSet::from([version("v1"), version("v2")]));
    assert_eq!(at(60), BTreeSet::from([version("v2")]));
    assert_eq!(at(70), BTreeSet::new());
}

#[test]
fn versions_without_end_do_not_fill_the_memory() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    for index in 0..1_000_u32 {
        let now = start + Duration::from_millis(u64::from(index));
        history.record(&name("s"), &version(&format!("v{index}")), now);
    }
    let left = history.versions(&name("s"), start + SECOND);
    assert_eq!(left.len(), MAX_VERSIONS);
    assert!(left.contains(&version("v999")));
}

#[test]
fn a_service_whose_history_was_dropped_counts_as_seen_since_then() {
    let start = Instant::now();
    let mut history = VersionHistory::new(start);
    history.record(&name("s"), &version("v1"), start);
    let later = start + 100 * SECOND;
    for index in 0..MAX_SERVICES {
        history.record(&name(&format!("t{index}")), &version("v1"), later);
    }
    assert_eq!(history.services.len(), MAX_SERVICES);
    assert_eq!(history.watched(&name("s"), later + SECOND), SECOND);
    assert_eq!(history.watched(&name("t0"), later + SECOND), 101 * SECOND);
}

#[test]
fn only_a_list_that_differs_from_the_first_ones_shows_when_a_version_appeared() {
    let start = Instant::now();
    let (service, at) = (name("s"), |seconds: u32| start + seconds * SECOND);
    let mut history = VersionHistory::new(start);
    history.record(&service, &version("first"), at(0));
    history.record(&service, &version("soon"), at(2));
    history.record_past(&service, &version("told"), at(10), at(10));
    history.record(&service, &version("later"), at(10));
    let appeared = |software| history.appeared(&service, &version(software));
    assert_eq!(appeared("later"), Some(at(10)));
    for software in ["first", "soon", "told", "never"] {
        assert_eq!(appeared(software), None, "{software}");
    }
}

/// Keepers were told of the first streams of a version that routers with an older list do not ask.
#[test]
fn a_version_is_new_while_the_lists_of_others_may_not_have_it() {
    let start = Instant::now();
    let (service, at) = (name("s"), |millis: u64| start + Duration::from_millis(millis));
    let mut history = VersionHistory::new(start);
    history.record(&service, &version("first"), at(0));
    assert_eq!(history.new_version(&service, &version("first"), at(0)), None, "the only version");
    history.record(&service, &version("soon"), at(1_000));
    history.record(&service, &version("later"), at(10_000));
    let new = |software: &str, now| history.new_version(&service, &version(software), now);
    assert_eq!(new("soon", at(5_999)), Some(NewVersion { appeared: None }));
    assert_eq!(new("soon", at(6_000)), None);
    assert_eq!(new("later", at(12_999)), Some(NewVersion { appeared: Some(at(10_000)) }));
    assert_eq!(new("later", at(13_000)), None);
    assert_eq!(new("never", at(10_000)), None);
}
