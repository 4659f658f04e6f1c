//! Tests of what changes when an endpoint restarts.

use fleet::LoadedModel;
use platform::EndpointHints;
use units::Revision;

use super::*;
use crate::hints::ReceivedHints;
use crate::registry::EndpointRegistry;

fn entry(incarnation: u64) -> Endpoint {
    Endpoint {
        id: "i-1".parse().expect("an id"),
        incarnation: Some(EndpointIncarnation(incarnation)),
        software: None,
        service: "llm".parse().expect("a service"),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "near".parse().expect("a domain"),
        slots: 16,
        stage: EndpointStage::Ready,
        holdings: Some(holding(&["a"])),
    }
}

fn holding(models: &[&str]) -> Holdings {
    let held =
        |name: &&str| LoadedModel { model: name.parse().expect("a name"), adapters: Vec::new() };
    Holdings { models: models.iter().map(held).collect(), ..Holdings::default() }
}

fn state(incarnation: u64, models: &[&str]) -> EndpointState {
    EndpointState {
        version: 1,
        endpoint: None,
        incarnation: Some(EndpointIncarnation(incarnation)),
        holdings: holding(models),
        load: EndpointLoad { waiting: 0, running: 7, routers: 2 },
        room_wait: Duration::ZERO,
        can_order: true,
        draining: false,
        rate_limit: None,
        engine_version: Revision(1),
        steps: Vec::new(),
        rates: Vec::new(),
    }
}

/// An endpoint in its first incarnation with failures, a pause, refused and open loads.
fn troubled(now: Instant) -> TrackedEndpoint {
    let mut tracked = TrackedEndpoint::new(entry(100), now);
    tracked.apply_state(state(100, &["a", "b"]), now);
    tracked.running = 5;
    tracked.consecutive_failures = 3;
    tracked.paused_until = Some(now + Duration::from_secs(4));
    tracked.refused_until.insert("b".parse().expect("a model"), now + Duration::from_secs(4));
    tracked.open_loads.entry("b".parse().expect("a model")).or_default().open = 1;
    tracked
}

fn assert_new(tracked: &TrackedEndpoint, now: Instant) {
    assert!(tracked.usable(now));
    assert_eq!((tracked.running, tracked.consecutive_failures, tracked.total_running()), (0, 0, 0));
    assert!(tracked.refused_until.is_empty() && tracked.open_loads.is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_earlier_incarnation_is_forgotten_when_the_list_shows_a_new_one() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    let pool = tracked.pool.clone();
    assert!(tracked.apply_entry(Endpoint { holdings: Some(holding(&[])), ..entry(200) }, now));
    assert_new(&tracked, now);
    assert!(!Arc::ptr_eq(&pool, &tracked.pool), "the connections are new");
    assert!(!tracked.holdings(now).expect("models").holds(&"a".parse().expect("a name")));
}

#[tokio::test(start_paused = true)]
async fn a_loader_reports_a_new_incarnation_before_the_list_does() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    assert!(
        tracked.apply_state(
            EndpointState { load: EndpointLoad::default(), ..state(200, &["c"]) },
            now
        )
    );
    assert_new(&tracked, now);
    assert!(tracked.holdings(now).expect("models").holds(&"c".parse().expect("a name")));
    // The list still shows the earlier incarnation, and then the new one.
    assert!(!tracked.apply_entry(entry(100), now));
    assert_eq!(tracked.endpoint.incarnation, Some(EndpointIncarnation(200)));
    assert!(!tracked.apply_entry(entry(200), now));
    assert!(tracked.holdings(now).expect("models").holds(&"c".parse().expect("a name")));
}

#[tokio::test(start_paused = true)]
async fn a_loader_that_still_reports_the_earlier_incarnation_is_ignored() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    tracked.apply_entry(entry(200), now);
    assert!(!tracked.apply_state(state(100, &["a", "b"]), now));
    assert!(tracked.state.is_none());
    assert!(!tracked.can_load(now));
}

#[tokio::test(start_paused = true)]
async fn an_incarnation_that_seems_older_is_accepted_from_the_list() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    // The endpoint's clock was set back between its incarnations.
    assert!(tracked.apply_entry(entry(50), now));
    assert_new(&tracked, now);
    assert!(
        !tracked
            .apply_state(EndpointState { load: EndpointLoad::default(), ..state(50, &["c"]) }, now)
    );
    assert!(tracked.can_load(now));
}

/// The endpoint's clock was set back between its incarnations. A report of the earlier one that came after the list's entry counted
/// as a later restart, and neither the list nor the loader could correct that.
#[tokio::test(start_paused = true)]
async fn a_late_report_does_not_replace_an_incarnation_with_an_earlier_start() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    assert!(tracked.apply_entry(entry(50), now));
    assert!(!tracked.apply_state(state(100, &["a", "b"]), now));
    tracked.apply_state(EndpointState { version: 2, ..state(50, &["c"]) }, now);
    tracked.apply_entry(entry(50), now);
    assert_eq!(tracked.endpoint.incarnation, Some(EndpointIncarnation(50)));
    assert!(tracked.holdings(now).expect("models").holds(&"c".parse().expect("a name")));
}

/// The same, at a router that has just started: it learns of both incarnations at once.
#[tokio::test(start_paused = true)]
async fn a_loader_corrects_a_late_report_of_an_incarnation_with_a_later_start() {
    let now = Instant::now();
    let mut tracked = TrackedEndpoint::new(entry(50), now);
    tracked.apply_state(state(100, &["a"]), now);
    assert!(tracked.apply_state(EndpointState { version: 2, ..state(50, &["c"]) }, now));
    assert_eq!(tracked.endpoint.incarnation, Some(EndpointIncarnation(50)));
    assert!(!tracked.apply_state(state(100, &["a"]), now), "an answer that was overtaken");
}

/// A restart with an earlier start was ignored until the list showed it, and the endpoint got requests for models that it had lost.
#[tokio::test(start_paused = true)]
async fn a_loader_reports_an_incarnation_with_an_earlier_start_before_the_list_does() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    assert!(tracked.apply_state(EndpointState { version: 2, ..state(50, &["c"]) }, now));
    assert!(!tracked.holdings(now).expect("models").holds(&"a".parse().expect("a name")));
    assert!(!tracked.apply_entry(entry(100), now), "the list is late");
    assert!(!tracked.apply_entry(entry(50), now));
    assert_eq!(tracked.endpoint.incarnation, Some(EndpointIncarnation(50)));
}

/// Two quick restarts, or a store that has been restored from an older copy: the entry counted as another restart.
#[tokio::test(start_paused = true)]
async fn an_entry_of_an_incarnation_that_has_ended_is_no_restart() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    assert!(tracked.apply_state(EndpointState { version: 2, ..state(200, &["a"]) }, now));
    assert!(tracked.apply_state(EndpointState { version: 3, ..state(300, &["a"]) }, now));
    assert!(!tracked.apply_entry(entry(200), now));
    assert!(!tracked.apply_entry(entry(200), now));
    assert_eq!(tracked.endpoint.incarnation, Some(EndpointIncarnation(300)));
    assert!(!tracked.apply_entry(entry(300), now));
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_without_an_incarnation_counts_as_the_known_one() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    assert!(!tracked.apply_entry(Endpoint { incarnation: None, ..entry(0) }, now));
    assert!(!tracked.apply_state(EndpointState { incarnation: None, ..state(0, &["a"]) }, now));
    assert_eq!(
        (tracked.endpoint.incarnation, tracked.running),
        (Some(EndpointIncarnation(100)), 5)
    );
}

#[tokio::test(start_paused = true)]
async fn an_unchanged_report_renews_the_state_but_not_that_of_an_earlier_incarnation() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    let later = now + STATE_LIFETIME;
    let load = EndpointLoad { waiting: 1, running: 9, routers: 3 };
    assert!(tracked.refresh_load(load, later));
    assert!(tracked.can_load(later));
    assert_eq!((tracked.routers(), tracked.candidate(true, later).queued_models), (3, 1));
    tracked.apply_entry(entry(200), later);
    assert!(!tracked.refresh_load(load, later));
    assert!(tracked.state.is_none());
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_announced_draining_stays_draining_for_its_incarnation() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    tracked.hints.own.draining = true;
    tracked.apply_entry(entry(100), now);
    assert!(!tracked.accepts_work(), "an older entry");
    tracked.apply_state(state(100, &["a"]), now);
    assert!(!tracked.accepts_work(), "a loader that does not know of the draining");
    tracked.apply_entry(Endpoint { addr: ([10, 0, 0, 2], 80).into(), ..entry(100) }, now);
    assert!(!tracked.accepts_work(), "another address");
    assert_eq!(tracked.announced_entry().stage, EndpointStage::Draining(None));
    tracked.apply_entry(entry(200), now);
    assert!(tracked.accepts_work(), "another incarnation");
}

/// The endpoint announced that it is draining and wants no requests, perhaps in an incarnation that neither the list nor its loader
/// had shown.
#[tokio::test(start_paused = true)]
async fn hints_from_an_incarnation_that_was_not_known_yet_hold_for_it() {
    let now = Instant::now();
    let backoff_until = Some(now + Duration::from_secs(9));
    for by_loader in [false, true] {
        let mut tracked = troubled(now);
        tracked.hints.own = ReceivedHints { draining: true, backoff_until, by_answer: true };
        if by_loader {
            tracked.apply_state(state(200, &[]), now);
        } else {
            tracked.apply_entry(entry(200), now);
        }
        assert!(!tracked.accepts_work());
        assert!(tracked.backoff_left(now).is_some());
        tracked.apply_entry(entry(400), now);
        assert!(!tracked.accepts_work(), "it may have announced this in any of them");
        tracked.hints.settle();
        assert!(tracked.accepts_work());
        assert!(tracked.backoff_left(now).is_some(), "another answer doesn't end a back-off");
        let later = now + Duration::from_secs(4);
        assert!(tracked.backoff_left(later).is_none(), "after a while it would have said so again");
    }
}

/// Answers without a back-off ended the one that the endpoint had asked for before its restart was listed.
#[tokio::test(start_paused = true)]
async fn a_back_off_from_an_incarnation_that_was_not_known_yet_lasts_until_its_end() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    let backoff_until = Some(now + Duration::from_millis(1_200));
    tracked.hints.own = ReceivedHints { draining: false, backoff_until, by_answer: true };
    tracked.apply_entry(entry(200), now);
    tracked.hints.settle();
    assert_eq!(tracked.backoff_left(now), Some(Duration::from_millis(1_200)));
}

/// An answer of the new incarnation that was on its way when the list showed it was ignored.
#[tokio::test(start_paused = true)]
async fn hints_that_arrive_after_a_restart_was_listed_hold_until_the_endpoint_has_answered() {
    let now = Instant::now();
    let registry = EndpointRegistry::default();
    let id = entry(100).id;
    registry.lock().map.insert(id.clone(), troubled(now));
    registry.lock().map.get_mut(&id).expect("listed").apply_entry(entry(200), now);
    let retry_after = Some(Duration::from_secs(2));
    let hints = EndpointHints { draining: true, retry_after, ..EndpointHints::default() };
    let applied = registry.apply_hints(&id, entry(100).incarnation, hints, now, |_| false);
    assert!(!applied);
    registry.doubt_hints(&id, hints);
    let table = registry.lock();
    let tracked = &table.map[&id];
    assert!(tracked.hints.in_doubt() && !tracked.accepts_work());
    assert_eq!(tracked.backoff_left(now), retry_after);
}

#[tokio::test(start_paused = true)]
async fn a_loader_that_no_longer_reports_draining_does_not_take_it_back() {
    let now = Instant::now();
    let mut tracked = troubled(now);
    tracked.apply_state(EndpointState { draining: true, ..state(100, &["a"]) }, now);
    tracked.apply_state(state(100, &["a"]), now);
    assert!(!tracked.accepts_work());
    tracked.apply_state(state(200, &[]), now);
    assert!(tracked.accepts_work());
}

/// A load would seem to take its whole time until its end, and requests that it is in time for would be refused.
#[test]
fn the_remaining_time_of_a_load_runs_down_between_reports() {
    let start = Instant::now();
    let mut tracked = TrackedEndpoint::new(entry(100), start);
    let loading = |model: &str| {
        let mut state = state(100, &["a"]);
        let model = model.parse().expect("a name");
        let remaining = Duration::from_secs(10);
        state.holdings.loading = Some(fleet::Loading { model, cold: true, remaining });
        state
    };
    tracked.apply_state(loading("b"), start);
    let later = start + Duration::from_secs(4);
    assert_eq!(tracked.load_progress(later), Duration::from_secs(4));
    // The same report arrives again, with the answer to a load request.
    tracked.apply_state(loading("b"), later);
    assert_eq!(tracked.load_progress(later), Duration::from_secs(4));
    tracked.apply_state(loading("c"), later);
    assert_eq!(tracked.load_progress(later), Duration::ZERO);
    tracked.apply_state(state(100, &["a"]), later);
    assert_eq!(tracked.load_progress(later), Duration::ZERO);
}

/// An endpoint whose entries state no incarnation restarted with other software, and a stream of its former software went on there.
#[test]
fn an_endpoint_that_runs_other_software_has_restarted() {
    let now = Instant::now();
    let version = |text: &str| Some(text.parse().expect("a version"));
    let entry = |software| Endpoint { incarnation: None, software, ..entry(0) };
    let mut tracked = TrackedEndpoint::new(entry(version("v1")), now);
    let pool = tracked.pool.clone();
    assert!(!tracked.apply_entry(entry(version("v1")), now));
    assert!(!tracked.apply_entry(entry(None), now), "a router of an earlier release told of it");
    assert_eq!(tracked.software(), "v1");
    assert!(tracked.apply_entry(entry(version("v2")), now));
    assert_eq!(tracked.software(), "v2");
    assert!(!std::sync::Arc::ptr_eq(&pool, &tracked.pool));
}

/// A loader reports numbers of any size, and their sum ended the request that was to be sent, or made a full endpoint look idle.
#[rstest::rstest]
#[case::running(EndpointLoad { waiting: 0, running: u32::MAX, routers: 2 })]
#[case::routers(EndpointLoad { waiting: 0, running: 0, routers: u32::MAX })]
#[case::all(EndpointLoad { waiting: u32::MAX, running: u32::MAX, routers: u32::MAX })]
fn an_endpoint_with_the_largest_load_is_taken_for_full(#[case] load: EndpointLoad) {
    let now = Instant::now();
    let mut tracked = TrackedEndpoint::new(entry(100), now);
    tracked.apply_state(EndpointState { load, ..state(100, &["a"]) }, now);
    tracked.running = 20;
    assert!(tracked.total_running() > u32::MAX / 8, "{}", tracked.total_running());
}
