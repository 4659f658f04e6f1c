//! Tests of choosing a replica by capacity.

use rstest::rstest;

use super::*;
use crate::fixture::{TestEndpoints, domain};

const PREFILL: Duration = Duration::from_millis(20);
const SHORT_TARGET: Duration = Duration::from_millis(100);
const LONG_TARGET: Duration = Duration::from_millis(4_000);
/// So few requests that they can't overload a replica.
const FEW_REQUESTS: f64 = 0.5;
const MANY_REQUESTS: f64 = 40.0;
/// Requests that are counted; with fewer, chance outweighs the differences.
const REQUESTS: u64 = 20_000;

/// Replicas of the model `m` with these time factors.
struct Replicas {
    endpoints: TestEndpoints,
    factors: Vec<f64>,
}

impl Replicas {
    fn new(factors: &[f64]) -> Self {
        let mut endpoints = TestEndpoints::new(factors.len());
        (0..factors.len()).for_each(|index| endpoints.hold(index, "m", &[]));
        Self { endpoints, factors: factors.to_vec() }
    }

    fn candidates(&self) -> Vec<Candidate<'_>> {
        let candidates = self.endpoints.candidates().into_iter().zip(&self.factors);
        candidates
            .map(|(candidate, factor)| Candidate {
                time_factor: *factor,
                balanced: true,
                ..candidate
            })
            .collect()
    }

    fn choose(&self, target: Duration, rate: f64, seed: u64) -> ChosenEndpoint {
        let id = "m".parse().expect("an id");
        let request = ReplicaRequest { id: &id, prefill: PREFILL, target, rate, seed };
        choose_replica(&self.candidates(), &request, &domain()).expect("a replica")
    }

    /// How often each replica is chosen for requests of a busy model.
    fn counts(&self, target: Duration) -> Vec<u32> {
        let mut counts = vec![0; self.factors.len()];
        for seed in 0..REQUESTS {
            counts[self.choose(target, MANY_REQUESTS, seed).index] += 1;
        }
        counts
    }
}

#[test]
fn the_replica_with_the_lower_share_of_capacity_is_chosen() {
    let mut replicas = Replicas::new(&[1.0, 2.0]);
    replicas.endpoints.total_running = vec![20, 16];
    let chosen = replicas.choose(SHORT_TARGET, FEW_REQUESTS, 0);
    assert_eq!(chosen.index, 0, "the other one has fewer streams, and half of its capacity taken");
}

#[test]
fn prompts_take_longer_at_a_slow_replica() {
    let mut replicas = Replicas::new(&[1.0, 2.0]);
    replicas.endpoints.backlog = vec![Duration::from_millis(40); 2];
    let chosen = replicas.choose(SHORT_TARGET, FEW_REQUESTS, 0);
    assert_eq!((chosen.index, chosen.first_event), (0, Duration::from_millis(60)));
    let only = Replicas::new(&[2.0]);
    assert_eq!(only.choose(SHORT_TARGET, FEW_REQUESTS, 0).first_event, PREFILL * 2);
}

/// Guards against replicas that are added in a burst and never become idle again.
#[test]
fn few_requests_all_go_to_the_same_replica() {
    let replicas = Replicas::new(&[1.0, 1.0, 1.0]);
    let first = replicas.choose(SHORT_TARGET, FEW_REQUESTS, 0).index;
    let same =
        (1..100).all(|seed| replicas.choose(SHORT_TARGET, FEW_REQUESTS, seed).index == first);
    assert!(same);
}

/// Guards against all routers that choose the same replica before they learn of each other's requests.
#[test]
fn of_many_requests_no_replica_gets_more_than_twice_its_part() {
    let mut replicas = Replicas::new(&[1.0, 1.0, 1.0, 2.0, 2.0, 2.0]);
    let parts = [64, 64, 64, 32, 32, 32].map(|capacity| f64::from(capacity) / 288.0);
    for idle in 0..6 {
        replicas.endpoints.total_running = vec![30; 6];
        replicas.endpoints.total_running[idle] = 0;
        let counts = replicas.counts(SHORT_TARGET);
        let times = f64::from(counts[idle]) / (REQUESTS as f64 * parts[idle]);
        assert!((1.2..2.0).contains(&times), "{times} times the part of {idle}: {counts:?}");
    }
}

#[rstest]
#[case::idle(LONG_TARGET, 0, 1)]
#[case::below_the_bound(LONG_TARGET, 18, 1)]
#[case::at_the_bound(LONG_TARGET, 19, 0)]
#[case::just_long_enough(PREFILL * 8, 0, 1)]
#[case::too_short(PREFILL * 8 - Duration::from_millis(1), 19, 0)]
fn a_request_with_a_long_target_goes_to_a_slow_replica_with_room(
    #[case] target: Duration,
    #[case] running: u32,
    #[case] expected: usize,
) {
    let mut replicas = Replicas::new(&[1.0, 2.0]);
    replicas.endpoints.total_running = vec![0, running];
    assert_eq!(replicas.choose(target, FEW_REQUESTS, 0).index, expected);
}

#[test]
fn replicas_of_equal_speed_are_not_slow() {
    let mut replicas = Replicas::new(&[2.0, 2.0]);
    replicas.endpoints.total_running = vec![0, 16];
    assert_eq!(replicas.choose(LONG_TARGET, FEW_REQUESTS, 0).index, 0);
}

/// Guards against a wrong reading of a speed that takes an endpoint out of use.
#[rstest]
fn a_wrong_factor_excludes_no_endpoint(
    #[values(1_000.0, 0.000_1, 0.0, -1.0, f64::INFINITY, f64::NAN)] wrong: f64,
) {
    assert_eq!(Replicas::new(&[wrong]).choose(SHORT_TARGET, MANY_REQUESTS, 0).index, 0);
    let counts = Replicas::new(&[1.0, 1.0, wrong, 1.0]).counts(SHORT_TARGET);
    assert!(counts.iter().all(|count| *count >= 1_000), "{counts:?}");
}

#[test]
fn without_a_replica_there_is_no_choice() {
    let id = "n".parse().expect("an id");
    let (prefill, target, rate, seed) = (PREFILL, SHORT_TARGET, MANY_REQUESTS, 0);
    let request = ReplicaRequest { id: &id, prefill, target, rate, seed };
    let replicas = Replicas::new(&[1.0, 2.0]);
    assert!(choose_replica(&replicas.candidates(), &request, &domain()).is_none());
}
