//! Tests of how often a waiting request searches for an endpoint, and of what a search finds for a stream that one version of the
//! software began.

use fleet::Loading;
use rstest::rstest;

use super::*;
use crate::endpoint::MissingEntry;
use crate::software::fixture::{Versions, id, name, version};

/// Searches of a request that waits for `waited` while something changes each millisecond.
fn searches(waited: Duration) -> u32 {
    let (mut now, mut count) = (Duration::ZERO, 0);
    while now < waited {
        count += 1;
        now += search_pause(now).unwrap_or(Duration::from_millis(1));
    }
    count
}

/// A router with 314 models for 171 places spent most of its time in the searches of requests that waited for models, each at every
/// change.
#[rstest]
#[case::for_a_probe(5, 5)]
#[case::for_a_load_from_disk(400, 60)]
#[case::for_a_load_from_the_weight_store(10_000, 260)]
fn a_waiting_request_searches_a_bounded_number_of_times(#[case] millis: u64, #[case] most: u32) {
    let count = searches(Duration::from_millis(millis));
    assert!(count <= most, "{count} searches in {millis} ms");
}

#[rstest]
#[case(4)]
#[case(100)]
#[case(400)]
#[case(10_000)]
fn a_request_waits_an_eighth_longer_at_most_than_without_pauses(#[case] millis: u64) {
    let waited = Duration::from_millis(millis);
    let pause = search_pause(waited).unwrap_or_default();
    assert!(pause <= (waited / 8).min(Duration::from_millis(50)));
}

/// Time in which the endpoints of a version take no requests.
const PAUSE: Duration = Duration::from_secs(3);

/// A plan as text: the endpoint, the endpoints of the loads, or the time.
fn describe(plan: Plan) -> String {
    let load = |load: PlannedLoad| format!("{} in {:?}", load.id, load.duration);
    match plan {
        Plan::Send { id, extra_load, .. } => {
            let extra = extra_load.map_or(String::new(), |one| format!(", load at {}", one.id));
            format!("send to {id}{extra}")
        }
        Plan::Probe(id) => format!("probe {id}"),
        Plan::Other(result) => match result {
            SearchResult::Reserved(_) => "reserved".to_owned(),
            SearchResult::Load(loads) => {
                let loads: Vec<String> = loads.into_iter().map(load).collect();
                format!("load at {}", loads.join(", "))
            }
            SearchResult::Wait(left) => format!("wait {left:?}"),
            SearchResult::NoLoader(left) => format!("no loader {left:?}"),
            SearchResult::Hold(left) => format!("hold {left:?}"),
            SearchResult::Paused(left) => format!("paused {left:?}"),
            SearchResult::NoEndpoint => "no endpoint".to_owned(),
            SearchResult::NoVersion => "no version".to_owned(),
        },
    }
}

impl Versions {
    /// What a search finds for a request that continues a stream of version `v1`, or for any other one.
    fn plan(&mut self, begun: bool) -> String {
        self.plan_with(begun, &[])
    }

    fn plan_with(&mut self, begun: bool, excluded: &[EndpointId]) -> String {
        let mut table = std::mem::take(&mut self.table);
        let needs = RequestNeeds { excluded, ..self.needs(begun) };
        let local = "near".parse().expect("a domain");
        let times = (needs.prefill_time(&mut table), self.now);
        let considered = consider(&table, &needs, self.now);
        let plan = describe(plan(&table, &considered, &needs, times, &local));
        drop(considered);
        self.table = table;
        plan
    }
}

/// The stream would go on at another version, which writes something else.
#[tokio::test(start_paused = true)]
async fn a_begun_stream_goes_to_its_version_only() {
    let mut test = Versions::new(&["v2", "v1", "v2"]);
    for endpoint in ["i-0", "i-1", "i-2"] {
        test.hold(endpoint, "a");
    }
    test.endpoint("i-1").running = 9;
    assert_ne!(test.plan(false), "send to i-1", "the others are idle");
    assert_eq!(test.plan(true), "send to i-1");
}

/// A stream of this service would go on at an endpoint of another one whose version has the same name.
#[tokio::test(start_paused = true)]
async fn a_version_of_another_service_is_another_version() {
    let mut test = Versions::new(&["v2"]);
    test.add("o-1", "other", "v1");
    for endpoint in ["i-0", "o-1"] {
        test.hold(endpoint, "a");
    }
    assert_eq!(test.plan(true), "no version");
}

/// A model that only the other version holds would never be loaded for the stream.
#[rstest]
#[case::a_copy(true, "load at i-0 in 300ms")]
#[case::the_store(false, "load at i-0 in 6s")]
#[tokio::test(start_paused = true)]
async fn the_version_is_asked_to_load_a_model_that_only_another_one_has(
    #[case] copied: bool,
    #[case] expected: &str,
) {
    let mut test = Versions::new(&["v1", "v2", "v2"]);
    test.hold("i-1", "a");
    test.ask("i-2", "a");
    if copied {
        test.copy("i-0", "a");
    }
    assert_eq!(test.plan(true), expected);
    assert_eq!(test.plan(false), "send to i-1");
}

/// A stream would wait for the end of a load that it can't use, or of a pause.
#[tokio::test(start_paused = true)]
async fn what_another_version_loads_or_pauses_is_not_waited_for() {
    let mut test = Versions::new(&["v1", "v2"]);
    test.copy("i-0", "a");
    test.hold("i-1", "a");
    test.pause("i-1", Duration::from_millis(200));
    assert_eq!(test.plan(true), "load at i-0 in 300ms");
    assert_eq!(test.plan(false), "wait 200ms");
}

/// A request would be held back for a replica that is being loaded at another version.
#[tokio::test(start_paused = true)]
async fn a_faster_replica_that_another_version_loads_holds_nothing_back() {
    let mut test = Versions::new(&["v1", "v2"]);
    test.hold("i-0", "a");
    let (now, backlog) = (test.now, Duration::from_secs(5));
    test.endpoint("i-0").backlog.add(backlog, now);
    let remaining = Duration::from_millis(400);
    test.holdings("i-1").loading = Some(Loading { model: name("a"), cold: false, remaining });
    assert_eq!(test.plan(false), "hold 400ms");
    assert_eq!(test.plan(true), "send to i-0");
}

/// The replicas of another version would pass for those that the version lacks, or a load be asked for at the wrong one.
#[tokio::test(start_paused = true)]
async fn one_more_replica_is_loaded_at_the_version_whose_replicas_are_late() {
    let mut test = Versions::new(&["v1", "v1", "v2", "v2"]);
    test.hold("i-0", "a");
    for endpoint in ["i-1", "i-2", "i-3"] {
        test.copy(endpoint, "a");
    }
    test.ask("i-2", "a");
    let (now, backlog) = (test.now, Duration::from_secs(1));
    test.endpoint("i-0").backlog.add(backlog, now);
    assert_eq!(test.plan(false), "send to i-0", "a replica is coming");
    assert_eq!(test.plan(true), "send to i-0, load at i-1");
}

/// Only endpoints with rate limits would be left to load the model, and none would be asked.
#[tokio::test(start_paused = true)]
async fn a_model_is_loaded_at_a_limited_endpoint_if_all_of_the_version_are_limited() {
    let mut test = Versions::new(&["v1", "v2"]);
    let (state, _) = test.endpoint("i-0").state.as_mut().expect("a state");
    state.rate_limit = Some(units::Rate(5.0));
    assert_eq!(test.plan(false), "load at i-1 in 6s");
    assert_eq!(test.plan(true), "load at i-0 in 6s");
}

/// What becomes of an endpoint.
#[derive(Debug, Clone, Copy)]
enum Change {
    Drains,
    Gone,
    /// The list shows this version, or none.
    Runs(Option<&'static str>),
    /// Its loader reports a restart that the list does not show yet.
    Restarts,
    Pauses,
    CallFails,
    /// Its entry is missing, and its last health check failed.
    Missing,
}

impl Versions {
    fn change(&mut self, endpoint: &str, change: Change) {
        let until = self.now + PAUSE;
        match change {
            Change::Drains => self.drain(endpoint),
            Change::Gone => drop(self.table.map.remove(&id(endpoint))),
            Change::Runs(software) => {
                self.endpoint(endpoint).endpoint.software = software.map(version);
            }
            Change::Restarts => self.restart(endpoint),
            Change::Pauses => self.pause(endpoint, PAUSE),
            Change::CallFails => self.endpoint(endpoint).paused_until = Some(until),
            Change::Missing => {
                self.endpoint(endpoint).missing = Some(MissingEntry { until, unhealthy: true });
            }
        }
    }
}

/// A caller would be kept waiting, or told a time, for a version that does not come back; or be turned away for good while it is only
/// away for a moment.
#[rstest]
#[case::drains(Change::Drains, "no version")]
#[case::gone(Change::Gone, "no version")]
#[case::released(Change::Runs(Some("v3")), "no version")]
#[case::unknown(Change::Runs(None), "no version")]
#[case::restarts(Change::Restarts, "no endpoint")]
#[case::pauses(Change::Pauses, "paused 3s")]
#[case::call_fails(Change::CallFails, "no loader 6s")]
#[case::missing(Change::Missing, "no loader 6s")]
#[tokio::test(start_paused = true)]
async fn a_caller_is_told_to_come_back_only_if_the_version_does(
    #[case] change: Change,
    #[case] expected: &str,
) {
    let mut test = Versions::new(&["v1", "v1", "v2"]);
    test.hold("i-2", "a");
    test.drain("i-0");
    assert_eq!(test.plan(true), "load at i-1 in 6s", "the last one of its version");
    test.change("i-1", change);
    assert_eq!(test.plan(true), expected);
    assert_eq!(test.plan(false), "send to i-2");
}

/// A router that has just started would turn callers away for good.
#[tokio::test(start_paused = true)]
async fn before_the_list_is_read_no_version_is_known_to_be_gone() {
    let mut test = Versions::new(&["v2"]);
    assert_eq!(test.plan(true), "no version");
    test.table.list_loaded = false;
    assert_eq!(test.plan(true), "no endpoint");
}

/// A request that its only endpoint has refused would be turned away for good.
#[tokio::test(start_paused = true)]
async fn a_version_whose_endpoints_have_all_refused_the_request_is_still_there() {
    let mut test = Versions::new(&["v1", "v2"]);
    assert_eq!(test.plan_with(true, &[id("i-0")]), "no endpoint");
}

/// Requests without the condition, and services with one version, would be served otherwise.
#[tokio::test(start_paused = true)]
async fn a_begun_stream_is_served_like_any_request_where_one_version_runs() {
    for backlog in [0, 1_000] {
        let mut test = Versions::new(&["v1", "v1", "v1"]);
        assert_eq!(test.plan(true), test.plan(false), "no replica");
        test.ask("i-1", "a");
        assert_eq!(test.plan(true), test.plan(false), "a load is pending");
        test.hold("i-1", "a");
        test.copy("i-2", "a");
        let now = test.now;
        test.endpoint("i-1").backlog.add(Duration::from_millis(backlog), now);
        assert_eq!(test.plan(true), test.plan(false), "a replica");
        test.pause("i-1", PAUSE);
        assert_eq!(test.plan(true), test.plan(false), "a replica that is paused");
    }
}

/// A stream would leave its endpoint for one that it can't go to.
#[tokio::test(start_paused = true)]
async fn an_endpoint_of_another_version_is_no_alternative() {
    let mut test = Versions::new(&["v1", "v2"]);
    test.hold("i-1", "a");
    let mut find = |begun| {
        let mut table = std::mem::take(&mut test.table);
        let local = "near".parse().expect("a domain");
        let found = alternative(&mut table, &test.needs(begun), &local, test.now);
        test.table = table;
        found
    };
    assert!(find(false).is_some());
    assert_eq!(find(true), None);
}

/// A caller would be told to come back when a loader may be asked that can't load for it, or at once while its own can't be asked.
#[rstest]
#[case::of_the_version("i-0", PAUSE)]
#[case::of_another_version("i-1", Duration::ZERO)]
#[tokio::test(start_paused = true)]
async fn only_loaders_of_the_version_that_refused_are_waited_for(
    #[case] endpoint: &str,
    #[case] expected: Duration,
) {
    let mut test = Versions::new(&["v1", "v2"]);
    let (model, until) = (test.model.clone(), test.now + PAUSE);
    test.endpoint(endpoint).refused_until.insert(model, until);
    assert_eq!(loader_pause(&test.table, &test.needs(true), test.now), expected);
    assert_eq!(loader_pause(&test.table, &test.needs(false), test.now), PAUSE);
}

/// The replicas that the requests of another version need would be loaded at this one.
#[tokio::test(start_paused = true)]
async fn no_further_replica_is_loaded_for_what_runs_at_another_version() {
    let mut test = Versions::new(&["v1", "v1", "v2"]);
    test.hold("i-0", "a");
    test.copy("i-1", "a");
    let usage = crate::endpoint::Usage { begun: 0, running: 30 };
    test.endpoint("i-2").uses.insert(name("a"), usage);
    assert_eq!(test.plan(false), "send to i-0, load at i-1");
    assert_eq!(test.plan(true), "send to i-0");
}
