//! Tests of time factors and of when a service counts as uneven.

use super::*;

/// One model at endpoints with these times in milliseconds.
struct Service {
    ids: Vec<EndpointId>,
    model: ModelName,
    speeds: ServiceSpeeds,
    now: Instant,
}

impl Service {
    fn new(endpoints: usize) -> Self {
        let id = |index| format!("i-{index}").parse().expect("an id");
        Self {
            ids: (0..endpoints).map(id).collect(),
            model: "a".parse().expect("a name"),
            speeds: ServiceSpeeds::default(),
            now: Instant::now(),
        }
    }

    /// Updates the factors twice a second for a time; the endpoints have these times, events and incarnation.
    fn run(&mut self, length: Duration, times: &[(u64, u32, u64)]) -> Vec<Option<f64>> {
        let end = self.now + length;
        loop {
            let endpoint = |(endpoint, (millis, events, incarnation)): (_, &(u64, u32, u64))| {
                let step = Step { gap: Duration::from_millis(*millis), events: *events };
                EndpointSteps {
                    endpoint,
                    incarnation: Some(EndpointIncarnation(*incarnation)),
                    steps: vec![(&self.model, step)],
                }
            };
            let endpoints: Vec<_> = self.ids.iter().zip(times).map(endpoint).collect();
            let factors = self.speeds.update(&endpoints, self.now);
            if self.now >= end {
                return factors;
            }
            self.now += Duration::from_millis(500);
        }
    }

    fn uneven(&self) -> bool {
        self.speeds.uneven(self.now)
    }
}

const EVEN: (u64, u32, u64) = (40, 100, 1);
const SLOW: (u64, u32, u64) = (68, 100, 1);

#[test]
fn a_lasting_difference_of_two_endpoints_makes_a_service_uneven() {
    let mut service = Service::new(5);
    let times = [EVEN, EVEN, EVEN, SLOW, SLOW];
    service.run(Duration::from_millis(1_500), &times);
    assert!(!service.uneven(), "it may still be noise");
    service.run(Duration::from_millis(500), &times);
    assert!(service.uneven());
}

#[test]
fn a_service_is_even_again_after_half_a_minute() {
    let mut service = Service::new(5);
    service.run(Duration::from_secs(3), &[EVEN, EVEN, EVEN, SLOW, SLOW]);
    service.run(Duration::from_millis(29_500), &[EVEN; 5]);
    assert!(service.uneven());
    service.run(Duration::from_millis(1_000), &[EVEN; 5]);
    assert!(!service.uneven());
}

/// Guards against a single endpoint, or a few of many, changing how all requests are placed.
#[test]
fn few_different_endpoints_leave_a_service_even() {
    let mut service = Service::new(5);
    service.run(Duration::from_secs(60), &[EVEN, EVEN, EVEN, EVEN, SLOW]);
    assert!(!service.uneven());
    let mut service = Service::new(21);
    let mut times = [EVEN; 21];
    times[..2].fill(SLOW);
    service.run(Duration::from_secs(60), &times);
    assert!(!service.uneven(), "2 of 21 are less than a tenth");
}

/// Guards against time factors that outlive the process they were measured at.
#[test]
fn a_new_incarnation_is_unknown_and_must_differ_for_as_long() {
    let mut service = Service::new(5);
    service.run(Duration::from_millis(1_500), &[EVEN, EVEN, EVEN, SLOW, SLOW]);
    let restarted = (68, 20, 2);
    let factors =
        service.run(Duration::from_millis(500), &[EVEN, EVEN, EVEN, restarted, restarted]);
    assert_eq!(factors[3..], [None, None], "20 events are too few");
    let measured = (68, 40, 2);
    service.run(Duration::from_millis(1_500), &[EVEN, EVEN, EVEN, measured, measured]);
    assert!(!service.uneven());
}

#[test]
fn factors_are_relative_to_the_median_endpoint_and_limited() {
    let mut service = Service::new(5);
    let times = [EVEN, EVEN, EVEN, (2, 100, 1), (4_000, 100, 1)];
    let factors = service.run(Duration::ZERO, &times);
    let factors: Vec<f64> = factors.into_iter().flatten().collect();
    assert_eq!(factors, [1.0, 1.0, 1.0, 0.25, 4.0]);
}
