//! Tests of adding a replica where requests go by capacity.

use rstest::rstest;

use super::*;
use crate::fixture::{TestEndpoints, engine, name};

const TARGET: Duration = Duration::from_millis(4_000);
const SHORT_TARGET: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(300);
const PREFILL: Duration = Duration::from_millis(20);

/// Endpoints with these time factors that all keep a copy of the model `a`, of which the first one holds it.
struct Fleet {
    endpoints: TestEndpoints,
    factors: Vec<f64>,
    requested: Vec<bool>,
}

impl Fleet {
    fn new(factors: &[f64]) -> Self {
        let mut endpoints = TestEndpoints::new(factors.len());
        (0..factors.len()).for_each(|index| endpoints.copy(index, "a"));
        endpoints.hold(0, "a", &[]);
        Self { endpoints, factors: factors.to_vec(), requested: vec![false; factors.len()] }
    }

    fn candidates(&self) -> Vec<Candidate<'_>> {
        let mut candidates = self.endpoints.candidates();
        for (candidate, factor) in candidates.iter_mut().zip(&self.factors) {
            candidate.time_factor = *factor;
            candidate.balanced = true;
        }
        candidates
    }

    fn add(&self, chosen: usize, target: Duration, max_pause: Duration) -> Option<usize> {
        let model = "a".parse().expect("an id");
        let chosen = ChosenEndpoint { index: chosen, first_event: Duration::ZERO };
        let requested = &self.requested;
        let status = ReplicaStatus { model: &model, requested, needed: 1, chosen, target };
        let bounds = CapacityBounds { max_pause, prefill: PREFILL };
        let added = scale_out_by_capacity(&self.candidates(), &engine(), &status, bounds);
        added.map(|target| target.index)
    }

    /// The streams at the only replica when a request first has another one loaded.
    fn streams_at_scale_out(&mut self) -> u32 {
        let added = (0..65).find(|running| {
            self.endpoints.total_running[0] = *running;
            self.add(0, TARGET, MAX_PAUSE).is_some()
        });
        added.expect("one more replica")
    }
}

/// Guards against replicas that are added when the streams of the present one pause already.
#[rstest]
#[case::median(1.0, 64.0)]
#[case::slow(2.0, 32.0)]
#[case::fast(0.5, 64.0)]
fn a_replica_is_added_before_the_first_is_filled_up_to_the_bound(
    #[case] factor: f64,
    #[case] capacity: f64,
    #[values(false, true)] scarce: bool,
) {
    let mut fleet = Fleet::new(&[factor, 1.0, 1.0]);
    fleet.endpoints.room_wait = vec![Duration::from_millis(if scarce { 500 } else { 0 }); 3];
    let streams = f64::from(fleet.streams_at_scale_out());
    assert!(streams <= 0.6 * capacity && streams + 1.0 > 0.6 * capacity, "{streams}");
}

#[test]
fn while_one_is_being_loaded_no_other_is_added() {
    let mut fleet = Fleet::new(&[1.0, 1.0, 1.0]);
    fleet.endpoints.total_running[0] = 60;
    fleet.requested[1] = true;
    assert_eq!(fleet.add(0, TARGET, MAX_PAUSE), None);
    fleet.requested[1] = false;
    let remaining = Duration::from_millis(400);
    fleet.endpoints.holdings[2].loading =
        Some(fleet::Loading { model: name("a"), cold: false, remaining });
    assert_eq!(fleet.add(0, TARGET, MAX_PAUSE), None);
}

/// Guards against one replica after another that is added until the streams of the first have ended.
#[test]
fn while_one_replica_has_capacity_left_no_other_is_added() {
    let mut fleet = Fleet::new(&[1.0, 1.0, 1.0]);
    fleet.endpoints.hold(1, "a", &[]);
    fleet.endpoints.total_running = vec![60, 10, 0];
    assert_eq!(fleet.add(0, TARGET, MAX_PAUSE), None);
    fleet.endpoints.total_running = vec![60, 60, 0];
    assert_eq!(fleet.add(0, TARGET, MAX_PAUSE), Some(2));
}

/// Guards against streams that pause while the prompts of a burst are processed.
#[rstest]
#[case::half_of_the_pause(75, 300, false)]
#[case::more_than_half_of_the_pause(76, 300, true)]
#[case::without_a_bound_on_pauses(1_000, 0, false)]
fn prompts_that_take_half_of_the_pause_add_a_replica(
    #[case] prompts: u64,
    #[case] pause: u64,
    #[case] added: bool,
) {
    let mut fleet = Fleet::new(&[2.0, 1.0]);
    fleet.endpoints.backlog[0] = Duration::from_millis(prompts);
    assert_eq!(fleet.add(0, TARGET, Duration::from_millis(pause)).is_some(), added);
}

#[test]
fn a_replica_for_short_targets_is_added_at_a_fast_endpoint() {
    let mut fleet = Fleet::new(&[1.0, 2.0, 2.0, 0.5, 2.0, 2.0]);
    fleet.endpoints.total_running[0] = 60;
    // A slow endpoint would have the model earlier, but not twice as early.
    fleet.endpoints.hold(3, "b", &[]);
    fleet.endpoints.hold(3, "c", &[]);
    assert_eq!(fleet.add(0, SHORT_TARGET, MAX_PAUSE), Some(3));
    assert_ne!(fleet.add(0, TARGET, MAX_PAUSE), Some(3));
}

#[test]
fn a_replica_is_added_where_there_is_capacity_left_if_there_is_any() {
    let mut fleet = Fleet::new(&[1.0, 1.0, 1.0, 1.0]);
    fleet.endpoints.total_running = vec![60, 60, 10, 60];
    assert_eq!(fleet.add(0, TARGET, MAX_PAUSE), Some(2));
    fleet.endpoints.total_running = vec![60; 4];
    assert!(fleet.add(0, TARGET, MAX_PAUSE).is_some());
}
