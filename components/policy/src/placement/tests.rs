use super::{
    CandidateEndpoint, HeldGrant, PlacementWeights, ReplicaSpec, choose_endpoint, relocation_saving,
};
use jiff::Timestamp;
use units::{Domain, ModelName, ReplicaIndex, ServiceName, Size};

fn candidate(name: &str, domain: &str) -> CandidateEndpoint {
    CandidateEndpoint {
        endpoint: name.parse().expect("an endpoint id"),
        domain: domain.parse().expect("a domain"),
        service: service(),
        memory: Size::gib(80),
        cached: Vec::new(),
        grants: Vec::new(),
        accepts_grants: true,
    }
}

fn service() -> ServiceName {
    "likhari".parse().expect("a service")
}

fn model(name: &str) -> ModelName {
    name.parse().expect("a model")
}

fn held(name: &str, gib: u64, next_opening: Option<Timestamp>) -> HeldGrant {
    HeldGrant { model: model(name), memory: Size::gib(gib), next_opening }
}

fn at(seconds: i64) -> Option<Timestamp> {
    Timestamp::from_second(seconds).ok()
}

fn with_replica<R>(
    other_domains: &[Domain],
    next_opening: Option<Timestamp>,
    check: impl FnOnce(&ReplicaSpec<'_>) -> R,
) -> R {
    let (name, service) = (model("page-text"), service());
    check(&ReplicaSpec {
        model: &name,
        index: ReplicaIndex(0),
        artifact: &name,
        service: &service,
        memory: Size::gib(10),
        next_opening,
        other_domains,
    })
}

fn best(
    candidates: &[CandidateEndpoint],
    other_domains: &[Domain],
    next_opening: Option<Timestamp>,
) -> Option<String> {
    with_replica(other_domains, next_opening, |replica| {
        choose_endpoint(candidates, replica, &PlacementWeights::default())
            .map(|i| candidates[i].endpoint.to_string())
    })
}

#[test]
fn an_endpoint_with_a_cached_checkpoint_is_preferred() {
    let mut candidates =
        vec![candidate("e1", "saddar"), candidate("e2", "lyari"), candidate("e3", "clifton")];
    candidates[2].cached.push(model("page-text"));
    candidates[2].grants.push(held("other", 20, None));
    assert_eq!(best(&candidates, &[], None).as_deref(), Some("e3"));
}

#[test]
fn replicas_are_spread_over_failure_domains() {
    let mut candidates = vec![candidate("e1", "saddar"), candidate("e2", "lyari")];
    candidates[0].cached.push(model("page-text"));
    candidates[1].grants.extend([held("a", 70, None), held("b", 70, None)]);
    let taken = ["saddar".parse().expect("a domain")];
    assert_eq!(best(&candidates, &taken, None).as_deref(), Some("e2"));
}

#[test]
fn models_of_one_window_that_do_not_fit_together_are_kept_apart() {
    let mut candidates = vec![candidate("e1", "saddar"), candidate("e2", "saddar")];
    candidates[0].grants.push(held("bills", 75, at(1000)));
    candidates[1].grants.extend([held("term", 50, at(2000)), held("kiosk", 40, None)]);
    assert_eq!(best(&candidates, &[], at(1000)).as_deref(), Some("e2"));
    assert_eq!(best(&candidates, &[], None).as_deref(), Some("e1"));
}

#[test]
fn no_endpoint_is_chosen_if_none_can_hold_the_replica() {
    let mut candidates =
        vec![candidate("e1", "saddar"), candidate("e2", "saddar"), candidate("e3", "lyari")];
    candidates[0].accepts_grants = false;
    candidates[1].memory = Size::gib(9);
    candidates[2].grants.push(held("page-text", 10, None));
    assert_eq!(best(&candidates, &[], None), None);
}

#[test]
fn ties_are_broken_in_the_same_way_in_any_order_of_candidates() {
    let mut candidates: Vec<CandidateEndpoint> =
        (0..20).map(|i| candidate(&format!("e{i}"), "saddar")).collect();
    let first = best(&candidates, &[], None);
    candidates.reverse();
    assert_eq!(best(&candidates, &[], None), first);
}

#[test]
fn relocation_saving_is_the_difference_of_the_placement_costs() {
    let mut candidates = vec![candidate("e1", "saddar"), candidate("e2", "lyari")];
    candidates[0].grants.extend([held("page-text", 10, None), held("a", 60, None)]);
    let save = |candidates: &[CandidateEndpoint], other_domains: &[Domain]| {
        with_replica(other_domains, None, |replica| {
            relocation_saving(candidates, 0, replica, &PlacementWeights::default())
        })
    };
    assert_eq!(save(&candidates, &[]), Some(0.75));
    let spread = save(&candidates, &["lyari".parse().expect("a domain")]);
    assert_eq!(spread, Some(0.75 - 8.0), "the other failure domain has a replica already");
    candidates[1].accepts_grants = false;
    assert_eq!(save(&candidates, &[]), None);
}
