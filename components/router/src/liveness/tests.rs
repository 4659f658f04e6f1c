//! Tests of the liveness of endpoints.

use rstest::rstest;

use super::*;

fn later(now: &mut Instant, by: Duration) -> Instant {
    *now += by;
    *now
}

#[test]
fn an_endpoint_that_sends_nothing_is_unresponsive_until_it_does() {
    let mut now = Instant::now();
    let mut liveness = Liveness::new(now);
    liveness.request_sent(now);
    assert_eq!(liveness.state(now), LivenessState::Responsive);
    assert_eq!(liveness.state(later(&mut now, PROBE_AFTER * 2)), LivenessState::Doubtful);
    assert_eq!(liveness.state(later(&mut now, UNRESPONSIVE_AFTER)), LivenessState::Unresponsive);
    liveness.request_sent(now);
    assert_eq!(
        liveness.state(now),
        LivenessState::Unresponsive,
        "another request is no sign that it responds"
    );
    liveness.answer_received(now);
    assert_eq!(liveness.state(now), LivenessState::Responsive);
}

/// Each router would otherwise send a first request to an endpoint that hangs.
#[test]
fn an_endpoint_that_was_quiet_must_answer_a_probe_before_it_gets_a_request() {
    let mut now = Instant::now();
    let mut liveness = Liveness::new(now);
    assert_eq!(liveness.state(now), LivenessState::Responsive);
    assert_eq!(liveness.state(later(&mut now, PROBE_AFTER * 2)), LivenessState::Doubtful);
    assert_eq!(
        liveness.state(later(&mut now, UNRESPONSIVE_AFTER * 9)),
        LivenessState::Doubtful,
        "nothing was expected of it"
    );
    assert!(liveness.begin_probe(now));
    liveness.probe_answered(now, true);
    assert_eq!(liveness.state(now), LivenessState::Responsive);
    liveness.request_sent(now);
    liveness.answer_received(now);
    liveness.requests_finished(now);
    assert_eq!(liveness.state(later(&mut now, PROBE_AFTER / 2)), LivenessState::Responsive);
    assert_eq!(liveness.state(later(&mut now, PROBE_AFTER)), LivenessState::Doubtful);
}

#[test]
fn a_quiet_endpoint_that_does_not_answer_its_probe_is_unresponsive() {
    let mut now = Instant::now();
    let mut liveness = Liveness::new(now);
    later(&mut now, UNRESPONSIVE_AFTER);
    liveness.begin_probe(now);
    assert_eq!(liveness.state(later(&mut now, PROBE_AFTER)), LivenessState::Doubtful);
    assert_eq!(liveness.state(later(&mut now, UNRESPONSIVE_AFTER)), LivenessState::Unresponsive);
    liveness.probe_answered(now, true);
    assert_eq!(liveness.state(now), LivenessState::Responsive);
}

#[test]
fn an_endpoint_is_unresponsive_as_soon_as_a_probe_fails_until_it_sends_something() {
    let mut now = Instant::now();
    let mut liveness = Liveness::new(now);
    later(&mut now, PROBE_AFTER * 2);
    liveness.begin_probe(now);
    liveness.record_failed_probe();
    assert_eq!(liveness.state(now), LivenessState::Unresponsive);
    liveness.answer_received(now);
    assert_eq!(liveness.state(now), LivenessState::Responsive);
}

#[test]
fn a_stream_whose_caller_left_for_lack_of_events_counts_as_silence() {
    let mut now = Instant::now();
    let mut liveness = Liveness::new(now);
    liveness.request_sent(now);
    liveness.answer_received(now);
    later(&mut now, STUCK_AFTER * 2);
    liveness.requests_finished(now);
    assert_eq!(liveness.state(now), LivenessState::Unresponsive);
}

#[test]
fn requests_whose_callers_left_without_an_answer_count_as_silence() {
    let mut now = Instant::now();
    let mut liveness = Liveness::new(now);
    let mut sent = 0;
    for _ in 0..50 {
        if liveness.state(now) == LivenessState::Responsive {
            liveness.request_sent(now);
            sent += 1;
        }
        later(&mut now, Duration::from_millis(20));
    }
    assert_eq!(liveness.state(now), LivenessState::Unresponsive);
    assert!(sent <= 6, "{sent} were sent to it");
}

#[test]
fn answered_probes_keep_an_endpoint_responsive_only_for_a_while() {
    let mut now = Instant::now();
    let mut liveness = Liveness::new(now);
    liveness.request_sent(now);
    let start = now;
    while now - start + PROBE_AFTER * 2 < STUCK_AFTER {
        assert_eq!(liveness.state(later(&mut now, PROBE_AFTER * 2)), LivenessState::Doubtful);
        liveness.probe_answered(now, false);
        assert_eq!(liveness.state(now), LivenessState::Responsive);
    }
    assert_eq!(liveness.state(later(&mut now, PROBE_AFTER * 2)), LivenessState::Doubtful);
    later(&mut now, PROBE_AFTER / 2);
    liveness.probe_answered(now, false);
    assert_eq!(liveness.state(now), LivenessState::Unresponsive, "only probes were answered");
}

#[test]
fn an_answered_probe_of_an_idle_endpoint_ends_its_silence() {
    let mut now = Instant::now();
    let mut liveness = Liveness::new(now);
    liveness.request_sent(now);
    assert_eq!(liveness.state(later(&mut now, STUCK_AFTER * 9)), LivenessState::Unresponsive);
    liveness.probe_answered(now, true);
    assert_eq!(liveness.state(now), LivenessState::Responsive);
}

#[test]
fn an_endpoint_is_probed_once_at_a_time() {
    let mut liveness = Liveness::new(Instant::now());
    assert!(liveness.begin_probe(Instant::now()));
    assert!(!liveness.begin_probe(Instant::now()));
    liveness.end_probe();
    assert!(liveness.begin_probe(Instant::now()));
}

/// Replays the load pattern: each router has its own view of an endpoint that hangs while many requests a second are spread over
/// all routers.
#[rstest]
#[case::a_few_routers(4)]
#[case::dozens_of_routers(60)]
#[case::hundreds_of_routers(370)]
fn all_routers_together_send_few_requests_to_an_endpoint_that_hangs(#[case] routers: usize) {
    let start = Instant::now();
    let mut all = vec![Liveness::new(start); routers];
    let (request_interval, answer_time) = (Duration::from_millis(40), Duration::from_millis(20));
    let hangs_at = start + Duration::from_secs(20);
    let (mut now, mut late) = (start, 0);
    for request in 0..1_000 {
        // A multiplier without common factors spreads the requests over the routers.
        let liveness = &mut all[request * 7_919 % routers];
        if liveness.state(now) != LivenessState::Responsive && liveness.begin_probe(now) {
            if now < hangs_at {
                liveness.probe_answered(now, true);
            } else {
                liveness.record_failed_probe();
            }
            liveness.end_probe();
        }
        if liveness.state(now) == LivenessState::Responsive {
            liveness.request_sent(now);
            if now < hangs_at {
                liveness.answer_received(now + answer_time);
                liveness.requests_finished(now + answer_time);
            } else {
                late += 1;
            }
        }
        now += request_interval;
    }
    assert!(late <= 4, "{late} requests were sent after it had stopped");
}
