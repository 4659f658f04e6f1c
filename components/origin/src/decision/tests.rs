use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use super::*;

/// The age of a process that has seen the service for long enough.
const OLD: Duration = Duration::from_secs(600);
const YOUNG: Duration = Duration::from_secs(5);

fn name(text: &str) -> ServiceName {
    text.parse().expect("a service name")
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("a version")
}

fn versions(texts: &[&str]) -> BTreeSet<SoftwareVersion> {
    texts.iter().copied().map(version).collect()
}

fn endpoint() -> EndpointId {
    "e-1".parse().expect("an endpoint id")
}

fn origin(service: &str, software: &str, begun: Instant) -> StreamOrigin {
    StreamOrigin {
        service: name(service),
        software: Some(version(software)),
        endpoint: endpoint(),
        incarnation: None,
        confirmed: false,
        needs: crate::StreamNeeds::Nothing,
        begun,
    }
}

fn known(software: &str) -> Lookup {
    Lookup::Known(origin("s", software, Instant::now()))
}

fn answer(origin: Lookup, seen: &[&str], watched: Duration) -> KeeperAnswer {
    KeeperAnswer { origin, versions: versions(seen), watched, kept: watched, listed: Duration::MAX }
}

/// What an old router with a fresh list knows of a stream that nobody knows.
fn facts<'a>(services: &'a [ServiceName], seen: &[&str]) -> ResumptionFacts<'a> {
    ResumptionFacts {
        service: &services[0],
        allowed: services,
        has_events: true,
        own: Lookup::Unknown,
        stored: Lookup::Unknown,
        asked: 0,
        answers: Vec::new(),
        unheard: 0,
        records: Some(ReadRecords::default()),
        listed: HashMap::new(),
        versions: versions(seen),
        watched: OLD,
        has_unknown_version: false,
        knows_past_versions: false,
        list_is_stale: false,
        list_age: Duration::MAX,
    }
}

fn at(software: &str, source: Source) -> Decision {
    Decision::At { service: name("s"), software: version(software), source }
}

const UNKNOWN: Decision = Decision::Nowhere(Doubt::Unknown);
const UNREAD: Decision = Decision::Nowhere(Doubt::Unread);

#[rstest]
#[case::one_version(&["v1"], false, at("v1", Source::OnlyVersion))]
#[case::one_version_without_the_store(&["v1"], true, at("v1", Source::OnlyVersion))]
#[case::two_versions(&["v1", "v2"], false, UNKNOWN)]
#[case::no_endpoint_listed(&[], false, Decision::Nowhere(Doubt::NoEndpoint))]
fn a_caller_that_names_no_stream_goes_on_in_a_service_with_one_version(
    #[case] seen: &[&str],
    #[case] list_is_stale: bool,
    #[case] expected: Decision,
) {
    let services = [name("s")];
    assert_eq!(decide(&ResumptionFacts { list_is_stale, ..facts(&services, seen) }), expected);
}

/// What cuts a router off from the keepers may have cut it off from the store as well, a moment ago.
#[rstest]
#[case::no_keeper_answers(2, 0, None, UNREAD)]
#[case::no_keeper_answers_and_the_store_does(
    2,
    0,
    Some(ReadRecords::default()),
    at("v1", Source::OnlyVersion)
)]
#[case::a_keeper_answers(2, 1, None, at("v1", Source::OnlyVersion))]
#[case::there_are_no_keepers(0, 0, None, at("v1", Source::OnlyVersion))]
fn one_listed_version_is_the_only_one_while_somebody_answers(
    #[case] asked: usize,
    #[case] answered: usize,
    #[case] records: Option<ReadRecords>,
    #[case] expected: Decision,
) {
    let services = [name("s")];
    let answers = vec![answer(Lookup::Unknown, &["v1"], YOUNG); answered];
    let facts = ResumptionFacts { asked, answers, records, ..facts(&services, &["v1"]) };
    assert_eq!(decide(&facts), expected);
}

#[test]
fn streams_of_unknown_origin_go_on_nowhere_beside_unknown_versions() {
    let services = [name("s")];
    let unversioned = ResumptionFacts { has_unknown_version: true, ..facts(&services, &[]) };
    assert_eq!(decide(&unversioned), UNKNOWN);
    let partly = ResumptionFacts { has_unknown_version: true, ..facts(&services, &["v1"]) };
    assert_eq!(decide(&partly), UNKNOWN);
}

#[test]
fn a_caller_without_events_gets_the_stream_anywhere() {
    let services = [name("s")];
    for own in [Lookup::Unknown, Lookup::Conflicting, known("v1")] {
        let free = ResumptionFacts { has_events: false, own, ..facts(&services, &["v1", "v2"]) };
        assert_eq!(decide(&free), Decision::Anywhere);
    }
}

#[test]
fn a_known_stream_goes_on_at_its_version() {
    let services = [name("s")];
    let own = ResumptionFacts { own: known("v1"), ..facts(&services, &["v1", "v2"]) };
    assert_eq!(decide(&own), at("v1", Source::Own));
    let answers = vec![
        answer(Lookup::Unknown, &["v2"], OLD),
        answer(known("v1"), &["v1"], YOUNG),
        answer(known("v1"), &["v1"], OLD),
    ];
    let told = ResumptionFacts { asked: 4, answers, ..facts(&services, &["v2"]) };
    assert_eq!(decide(&told), at("v1", Source::Keeper));
}

/// Streams were unknown after all routers and keepers had ended.
#[test]
fn a_stream_that_only_the_store_knows_goes_on_at_its_version() {
    let services = [name("s")];
    let stored = ResumptionFacts { stored: known("v1"), ..facts(&services, &["v1", "v2"]) };
    assert_eq!(decide(&stored), at("v1", Source::Store));
    let answers = vec![answer(known("v2"), &[], OLD)];
    let contradicted = ResumptionFacts { asked: 1, answers, ..stored };
    assert_eq!(decide(&contradicted), Decision::Nowhere(Doubt::Conflicting));
}

/// Streams from before a release were unknown once the only router that knew them had ended. Others stay unknown: those whose record
/// a keeper may have lost, or that began at a version which is not recorded yet.
#[rstest]
#[case::all_have_kept(&[(10, u64::MAX), (10, u64::MAX)], 0, &["v1", "v2"], Some("v1"))]
#[case::one_has_restarted(&[(10, u64::MAX), (2, u64::MAX)], 0, &["v1", "v2"], None)]
#[case::one_has_joined(&[(10, u64::MAX), (2, 2)], 0, &["v1", "v2"], Some("v1"))]
#[case::one_has_joined_and_restarted(&[(10, u64::MAX), (1, 5)], 0, &["v1", "v2"], None)]
#[case::one_does_not_answer(&[(10, u64::MAX)], 1, &["v1", "v2"], None)]
#[case::no_keeper(&[], 0, &["v1", "v2"], None)]
#[case::a_version_is_not_recorded(&[(10, u64::MAX)], 0, &["v1", "v2", "v3"], None)]
fn a_stream_of_which_no_record_can_be_lost_goes_on_at_the_established_version(
    #[case] keepers: &[(u64, u64)],
    #[case] unheard: usize,
    #[case] seen: &[&str],
    #[case] expected: Option<&str>,
) {
    let services = [name("s")];
    let answers = keepers.iter().map(|(kept, listed)| KeeperAnswer {
        kept: Duration::from_secs(*kept),
        listed: Duration::from_secs(*listed),
        ..answer(Lookup::Unknown, &[], Duration::ZERO)
    });
    let (software, recorded) = (version("v1"), versions(&["v1", "v2"]));
    let established = Some(Established {
        version: EstablishedVersion { software, versions: recorded },
        others_for: Duration::from_secs(5),
    });
    let records = Some(ReadRecords { established });
    let (asked, answers) = (keepers.len() + unheard, answers.collect());
    let base = facts(&services, seen);
    let facts = ResumptionFacts { asked, answers, unheard, records, ..base };
    let expected = expected.map_or(UNKNOWN, |software| at(software, Source::EstablishedVersion));
    assert_eq!(decide(&facts), expected);
    let unread = ResumptionFacts { records: None, ..facts };
    assert_eq!(decide(&unread), UNREAD, "the store may tell later");
}

#[rstest]
#[case::keepers_disagree(Lookup::Unknown, vec![known("v1"), known("v2")])]
#[case::keeper_against_own(known("v1"), vec![known("v2")])]
#[case::keeper_with_both(Lookup::Unknown, vec![known("v1"), Lookup::Conflicting])]
#[case::own_with_both(Lookup::Conflicting, vec![])]
fn a_stream_with_conflicting_origins_goes_on_nowhere(
    #[case] own: Lookup,
    #[case] told: Vec<Lookup>,
) {
    let services = [name("s")];
    let answers = told.into_iter().map(|origin| answer(origin, &[], OLD)).collect();
    let facts = ResumptionFacts { own, asked: 2, answers, ..facts(&services, &["v1", "v2"]) };
    assert_eq!(decide(&facts), Decision::Nowhere(Doubt::Conflicting));
}

#[test]
fn a_stream_of_another_service_goes_on_only_where_the_route_leads() {
    let begun = Instant::now();
    let own = Lookup::Known(origin("t", "v1", begun));
    let (one, split) = ([name("s")], [name("s"), name("t")]);
    // The version of the same name in `s` is other software.
    let moved = ResumptionFacts { own: own.clone(), ..facts(&one, &["v1"]) };
    assert_eq!(decide(&moved), Decision::Nowhere(Doubt::OtherService));
    let (service, software) = (name("t"), version("v1"));
    assert_eq!(
        decide(&ResumptionFacts { own, ..facts(&split, &["v2"]) }),
        Decision::At { service, software, source: Source::Own }
    );
}

/// Whether a stream goes on whose first event came 10 s after `start`, with what the list says 20 s after `start`.
fn after_restart(start: Instant, listed: ListedEndpoint, seen: &[&str]) -> Decision {
    let services = [name("s")];
    let own = Lookup::Known(origin("s", "v1", start + Duration::from_secs(10)));
    let listed = HashMap::from([(endpoint(), listed)]);
    decide(&ResumptionFacts { own, listed, ..facts(&services, seen) })
}

#[rstest]
#[case::long_after_the_event(Some("v2"), Some(14), at("v1", Source::Own))]
#[case::soon_after_the_event(Some("v2"), Some(12), Decision::Nowhere(Doubt::Restarted))]
#[case::before_the_event(Some("v2"), Some(9), Decision::Nowhere(Doubt::Restarted))]
#[case::at_an_unknown_time(Some("v2"), None, Decision::Nowhere(Doubt::Restarted))]
#[case::version_not_known_yet(None, Some(12), Decision::Nowhere(Doubt::Restarted))]
#[case::version_not_known_long_after(None, Some(14), at("v1", Source::Own))]
#[case::with_the_same_version(Some("v1"), Some(12), at("v1", Source::Own))]
fn an_endpoint_that_restarted_with_other_software_makes_the_origin_doubtful(
    #[case] software: Option<&str>,
    #[case] since: Option<u64>,
    #[case] expected: Decision,
) {
    let start = Instant::now();
    let listed = ListedEndpoint {
        software: software.map(version),
        since: since.map(|at| start + Duration::from_secs(at)),
        confirmed: start + Duration::from_secs(20),
    };
    assert_eq!(after_restart(start, listed, &["v1", "v2"]), expected);
}

#[test]
fn an_origin_is_unconfirmed_until_a_later_list_names_the_same_incarnation() {
    let start = Instant::now();
    let confirmed = |at: u64| ListedEndpoint {
        software: Some(version("v1")),
        since: Some(start),
        confirmed: start + Duration::from_secs(at),
    };
    let unconfirmed = Decision::Nowhere(Doubt::Unconfirmed);
    assert_eq!(after_restart(start, confirmed(9), &["v1", "v2"]), unconfirmed);
    assert_eq!(after_restart(start, confirmed(10), &["v1", "v2"]), at("v1", Source::Own));
    assert_eq!(after_restart(start, confirmed(9), &["v1"]), at("v1", Source::Own));
}

#[rstest]
#[case::own_history(OLD, false, 4, &[], at("v1", Source::OnlyVersion))]
#[case::own_history_of_a_stale_list(OLD, true, 4, &[], UNREAD)]
#[case::restarted_and_cut_off(YOUNG, false, 4, &[], UNREAD)]
#[case::restarted(YOUNG, false, 4, &[("v1", OLD)], at("v1", Source::OnlyVersion))]
#[case::restarted_after_a_release(YOUNG, false, 4, &[("v0 v1", OLD)], UNKNOWN)]
#[case::restarted_with_some_keepers(YOUNG, false, 4, &[("v1", YOUNG), ("", YOUNG)], UNREAD)]
#[case::restarted_with_all_keepers(YOUNG, false, 2, &[("v1", YOUNG), ("", YOUNG)], UNREAD)]
#[case::restarted_without_keepers(YOUNG, false, 0, &[], UNREAD)]
#[case::stale_list_and_a_keeper(OLD, true, 4, &[("v1", OLD)], at("v1", Source::OnlyVersion))]
fn a_stream_that_nobody_knows_goes_on_if_another_version_would_be_known(
    #[case] watched: Duration,
    #[case] list_is_stale: bool,
    #[case] asked: usize,
    #[case] answers: &[(&str, Duration)],
    #[case] expected: Decision,
) {
    let services = [name("s")];
    let answers = answers.iter().map(|(seen, watched)| {
        let seen: Vec<_> = seen.split_whitespace().collect();
        answer(Lookup::Unknown, &seen, *watched)
    });
    let answers = answers.collect();
    let base = facts(&services, &["v1"]);
    let facts = ResumptionFacts { watched, list_is_stale, asked, answers, ..base };
    assert_eq!(decide(&facts), expected);
}

/// After a loss of power nobody has seen the service for long, and what the store says decides.
#[rstest]
#[case::one_version(&["v1"], false, 2, at("v1", Source::OnlyVersion))]
#[case::one_version_without_keepers(&["v1"], false, 0, at("v1", Source::OnlyVersion))]
#[case::another_version_before(&["v1", "v2"], false, 2, UNKNOWN)]
#[case::read_long_ago(&["v1"], true, 2, UNREAD)]
fn a_router_that_knows_past_versions_needs_no_other_evidence(
    #[case] versions: &[&str],
    #[case] list_is_stale: bool,
    #[case] asked: usize,
    #[case] expected: Decision,
) {
    let services = [name("s")];
    let base = facts(&services, versions);
    let answers = (0..asked).map(|_| answer(Lookup::Unknown, &[], YOUNG)).collect();
    let facts = ResumptionFacts {
        watched: YOUNG,
        knows_past_versions: true,
        list_is_stale,
        asked,
        answers,
        ..base
    };
    assert_eq!(decide(&facts), expected);
}

/// The keepers of a router that could read nothing since it started know what other routers told them.
#[test]
fn most_keepers_that_have_kept_records_for_long_know_other_versions() {
    let services = [name("s")];
    let kept = |kept| KeeperAnswer { kept, ..answer(Lookup::Unknown, &[], Duration::ZERO) };
    for (answers, expected) in [
        (vec![kept(OLD), kept(OLD), kept(YOUNG)], at("v1", Source::OnlyVersion)),
        (vec![kept(OLD), kept(YOUNG), kept(YOUNG)], UNREAD),
    ] {
        let base = facts(&services, &["v1"]);
        let facts = ResumptionFacts { watched: YOUNG, asked: 3, answers, ..base };
        assert_eq!(decide(&facts), expected);
    }
}

/// A router that had lost the store refused streams of a service with one version, though keepers had run all the while.
#[rstest]
#[case::since_before_the_last_list(true, 5, 4, at("v1", Source::OnlyVersion))]
#[case::since_after_it(true, 3, 4, UNREAD)]
#[case::versions_before_are_not_known(false, 5, 4, UNREAD)]
fn keepers_know_the_versions_that_appeared_after_the_last_list(
    #[case] knows_past_versions: bool,
    #[case] kept: u64,
    #[case] age: u64,
    #[case] expected: Decision,
) {
    let services = [name("s")];
    let kept = Duration::from_secs(kept);
    let answers = vec![KeeperAnswer { kept, ..answer(Lookup::Unknown, &[], Duration::ZERO) }];
    let base = facts(&services, &["v1"]);
    let facts = ResumptionFacts {
        watched: YOUNG,
        knows_past_versions,
        list_is_stale: true,
        list_age: Duration::from_secs(age),
        asked: 1,
        answers,
        ..base
    };
    assert_eq!(decide(&facts), expected);
}

#[test]
fn more_keepers_are_asked_until_the_answers_decide() {
    let services = [name("s")];
    let asked = |seen: &[&str], answers| {
        ResumptionFacts { asked: 1, answers, ..facts(&services, seen) }.is_decided()
    };
    assert!(!asked(&["v1"], vec![]));
    assert!(!asked(&["v1"], vec![answer(Lookup::Unknown, &["v1"], YOUNG)]));
    assert!(asked(&["v1"], vec![answer(Lookup::Unknown, &["v1"], OLD)]));
    assert!(!asked(&["v1"], vec![answer(Lookup::Unknown, &["v2"], OLD)]));
    assert!(asked(&["v1", "v2"], vec![answer(known("v1"), &["v1"], YOUNG)]));
    assert!(asked(&["v1", "v2"], vec![answer(Lookup::Conflicting, &[], YOUNG)]));
}

#[test]
fn a_stream_goes_on_once_the_version_of_its_incarnation_is_listed() {
    let services = [name("s")];
    let listed = StreamOrigin { confirmed: true, ..origin("s", "v1", Instant::now()) };
    let unlisted = StreamOrigin { software: None, ..listed.clone() };
    for (origin, expected) in
        [(unlisted, Decision::Nowhere(Doubt::Unlisted)), (listed, at("v1", Source::Own))]
    {
        let own = Lookup::Known(origin);
        let facts = ResumptionFacts { own, ..facts(&services, &["v1", "v2"]) };
        assert_eq!(decide(&facts), expected);
    }
}

/// A crash made the origins of all streams doubtful that had begun shortly before it.
#[test]
fn a_stream_of_a_confirmed_incarnation_goes_on_whatever_the_endpoint_runs_since() {
    let services = [name("s")];
    let start = Instant::now();
    let origin = StreamOrigin { confirmed: true, ..origin("s", "v1", start) };
    let listed =
        ListedEndpoint { software: Some(version("v2")), since: Some(start), confirmed: start };
    let listed = HashMap::from([(endpoint(), listed)]);
    let own = Lookup::Known(origin);
    let facts = ResumptionFacts { own, listed, ..facts(&services, &["v1", "v2"]) };
    assert_eq!(decide(&facts), at("v1", Source::Own));
}
