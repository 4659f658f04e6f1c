//! Tests of what a router does with the times between events.

use control::{EndpointLoad, EndpointState};
use fleet::{Endpoint, EndpointStage, Holdings};
use rstest::rstest;
use units::{EndpointIncarnation, Revision};

use super::*;

/// Endpoints of one service, and the time.
struct Service {
    table: EndpointTable,
    now: Instant,
}

fn id(index: usize) -> EndpointId {
    format!("i-{index}").parse().expect("an id")
}

fn model() -> ModelName {
    "a".parse().expect("a name")
}

fn endpoint(index: usize, incarnation: u64) -> Endpoint {
    Endpoint {
        id: id(index),
        incarnation: Some(EndpointIncarnation(incarnation)),
        software: None,
        service: "llm".parse().expect("a service"),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "near".parse().expect("a domain"),
        slots: 16,
        stage: EndpointStage::Ready,
        holdings: Some(Holdings::default()),
    }
}

/// The state that a loader reports, with the published time of one model.
fn state(millis: Option<u64>) -> EndpointState {
    let step = |millis| StepTime { model: model(), gap_us: millis * 1_000, events: 100 };
    EndpointState {
        version: 1,
        endpoint: None,
        incarnation: Some(EndpointIncarnation(1)),
        holdings: Holdings::default(),
        load: EndpointLoad { waiting: 0, running: 7, routers: 2 },
        room_wait: Duration::ZERO,
        can_order: true,
        draining: false,
        rate_limit: None,
        engine_version: Revision(1),
        steps: millis.map(step).into_iter().collect(),
        rates: Vec::new(),
    }
}

impl Service {
    /// Endpoints whose loaders publish these times, or nothing.
    fn new(published: &[Option<u64>]) -> Self {
        let mut service = Self { table: EndpointTable::default(), now: Instant::now() };
        for (index, millis) in published.iter().enumerate() {
            let mut tracked = TrackedEndpoint::new(endpoint(index, 1), service.now);
            tracked.apply_state(state(*millis), service.now);
            service.table.map.insert(id(index), tracked);
        }
        service
    }

    /// Computes factors twice a second for a time. Streams of this router run at endpoints with these times in milliseconds.
    fn run(&mut self, length: Duration, switch: Switch, streams: &[u64]) {
        let end = self.now + length;
        while self.now < end {
            for (index, millis) in streams.iter().enumerate() {
                let tracked = self.table.map.get_mut(&id(index)).expect("an endpoint");
                let recorder = tracked.speed.recorder(&model(), self.now);
                let step = Step { gap: Duration::from_millis(*millis), events: 20 };
                lock(&recorder).record(step, self.now);
            }
            self.now += Duration::from_millis(500);
            update(&mut self.table, switch, self.now);
        }
    }

    /// The factors that placement sees, and whether it balances by them.
    fn placed(&self) -> Vec<(f64, bool)> {
        let candidates = self.table.map.values().map(|tracked| tracked.candidate(false, self.now));
        candidates.map(|one| (one.time_factor, one.balanced)).collect()
    }

    /// Fails unless placement sees these factors, within a tenth.
    fn assert_placed(&self, expected: &[(f64, bool)]) {
        let placed = self.placed();
        assert_eq!(placed.len(), expected.len());
        for ((factor, balanced), (expected, expected_balanced)) in placed.iter().zip(expected) {
            let near = (factor / expected - 1.0).abs() < 0.1 && balanced == expected_balanced;
            assert!(near, "{placed:?}");
        }
    }
}

const THREE_SECONDS: Duration = Duration::from_secs(3);
const UNEVEN: [u64; 5] = [20, 20, 20, 50, 50];

/// Guards against decisions that change where all endpoints are alike, or where speeds are switched off.
#[rstest]
#[case::alike(Switch::Auto, &[20; 5], &[(1.0, false); 5])]
#[case::alike_but_on(Switch::On, &[20; 5], &[(1.0, true); 5])]
#[case::uneven(Switch::Auto, &UNEVEN, &[(1.0, true), (1.0, true), (1.0, true), (2.5, true), (2.5, true)])]
#[case::uneven_but_off(Switch::Off, &UNEVEN, &[(1.0, false); 5])]
#[case::one_slow(Switch::Auto, &[20, 20, 20, 20, 50], &[(1.0, false); 5])]
fn factors_reach_placement_while_the_service_is_uneven(
    #[case] switch: Switch,
    #[case] streams: &[u64],
    #[case] placed: &[(f64, bool)],
) {
    // The loaders are of a version that publishes nothing.
    let mut service = Service::new(&[None; 5]);
    service.run(THREE_SECONDS, switch, streams);
    service.assert_placed(placed);
}

#[test]
fn a_router_without_streams_uses_what_the_loaders_publish() {
    let mut service = Service::new(&UNEVEN.map(Some));
    service.run(THREE_SECONDS, Switch::Auto, &[]);
    let (even, slow) = ((1.0, true), (2.5, true));
    service.assert_placed(&[even, even, even, slow, slow]);
    service.now += STEP_LIFETIME;
    service.run(THREE_SECONDS, Switch::Auto, &[]);
    assert_eq!(service.placed()[4].0, 1.0, "the loaders have not been heard from for too long");
}

#[test]
fn switching_off_takes_the_factors_back_at_once() {
    let mut service = Service::new(&UNEVEN.map(Some));
    service.run(THREE_SECONDS, Switch::Auto, &[]);
    service.run(Duration::from_millis(500), Switch::Off, &[]);
    assert_eq!(service.placed(), [(1.0, false); 5]);
}

/// Guards against the speed of an earlier process of an endpoint.
#[test]
fn a_new_incarnation_is_unknown_in_a_service_that_stays_uneven() {
    let mut service = Service::new(&[None; 5]);
    service.run(THREE_SECONDS, Switch::Auto, &UNEVEN);
    let now = service.now;
    let tracked = service.table.map.get_mut(&id(4)).expect("an endpoint");
    assert!(tracked.apply_entry(endpoint(4, 2), now));
    assert_eq!(service.placed()[4], (1.0, true));
    assert!(service.table.map[&id(4)].speed.recorders.is_empty());
    service.run(Duration::from_millis(500), Switch::Auto, &UNEVEN[..4]);
    assert_eq!(service.placed()[4], (1.0, true));
}

#[test]
fn times_are_reported_once_and_again_to_a_loader_that_was_lost() {
    let mut service = Service::new(&[None]);
    service.run(THREE_SECONDS, Switch::Auto, &[20]);
    let now = service.now;
    let speed = &mut service.table.map.get_mut(&id(0)).expect("an endpoint").speed;
    let events = |steps: Vec<StepTime>| steps.first().map(|step| step.events);
    assert_eq!(events(speed.take_steps(false, now)), Some(120));
    assert_eq!(events(speed.take_steps(false, now)), None);
    assert_eq!(events(speed.take_steps(true, now)), Some(120));
    assert_eq!(events(speed.take_steps(true, now + STEP_LIFETIME)), None);
    assert!(speed.recorders.is_empty(), "what is not measured any more takes no memory");
}

#[rstest]
#[case::whole("id: 1\ndata: a\n\n", 1)]
#[case::several("data: a\n\ndata: b\n\ndata: c\n\n", 3)]
#[case::a_part("id: 1\nda", 0)]
fn counts_the_events_that_end(#[case] data: &str, #[case] events: u32) {
    assert_eq!(count_events(data.as_bytes()), events);
}

/// Guards against a lock of the table for each event of a stream that is not measured.
#[test]
fn a_stream_looks_for_its_recorder_once() {
    let mut meter = StreamMeter::default();
    let mut searches = 0;
    for _ in 0..3 {
        meter.record(b"data: a\n\n", Instant::now(), || {
            searches += 1;
            None
        });
    }
    assert_eq!(searches, 1);
}
