//! Tests of the signs of life.

use super::*;

fn later(now: &mut Instant, by: Duration) -> Instant {
    *now += by;
    *now
}

#[test]
fn an_endpoint_that_sends_nothing_stands_still_until_it_does() {
    let mut now = Instant::now();
    let mut signs = Liveness::new(now);
    signs.request_sent(now);
    assert_eq!(signs.state(now), LivenessState::Responsive);
    assert_eq!(signs.state(later(&mut now, DOUBT * 2)), LivenessState::Doubtful);
    assert_eq!(signs.state(later(&mut now, SILENT)), LivenessState::Unresponsive);
    signs.request_sent(now);
    assert_eq!(
        signs.state(now),
        LivenessState::Unresponsive,
        "one request more is no sign of life"
    );
    signs.answer_received(now);
    assert_eq!(signs.state(now), LivenessState::Responsive);
}

#[test]
fn an_endpoint_without_requests_need_not_send_anything() {
    let mut now = Instant::now();
    let mut signs = Liveness::new(now);
    assert_eq!(signs.state(later(&mut now, SILENT * 9)), LivenessState::Responsive);
    signs.request_sent(now);
    signs.answer_received(now);
    signs.requests_finished(now);
    assert_eq!(signs.state(later(&mut now, SILENT * 9)), LivenessState::Responsive);
    signs.request_sent(now);
    assert_eq!(signs.state(now), LivenessState::Responsive);
}

#[test]
fn a_stream_whose_caller_left_since_no_event_came_counts_as_silence() {
    let mut now = Instant::now();
    let mut signs = Liveness::new(now);
    signs.request_sent(now);
    signs.answer_received(now);
    later(&mut now, STUCK * 2);
    signs.requests_finished(now);
    assert_eq!(signs.state(now), LivenessState::Unresponsive);
}

#[test]
fn requests_whose_callers_left_without_an_answer_count_as_silence() {
    let mut now = Instant::now();
    let mut signs = Liveness::new(now);
    let mut sent = 0;
    for _ in 0..50 {
        if signs.state(now) == LivenessState::Responsive {
            signs.request_sent(now);
            sent += 1;
        }
        later(&mut now, Duration::from_millis(20));
    }
    assert_eq!(signs.state(now), LivenessState::Unresponsive);
    assert!(sent <= 6, "{sent} were sent to it");
}

#[test]
fn reports_end_doubt_for_a_while_but_not_for_good() {
    let mut now = Instant::now();
    let mut signs = Liveness::new(now);
    signs.request_sent(now);
    let start = now;
    while now - start + DOUBT * 2 < STUCK {
        assert_eq!(signs.state(later(&mut now, DOUBT * 2)), LivenessState::Doubtful);
        signs.probe_answered(now, false);
        assert_eq!(signs.state(now), LivenessState::Responsive);
    }
    assert_eq!(signs.state(later(&mut now, DOUBT * 2)), LivenessState::Doubtful);
    later(&mut now, DOUBT / 2);
    signs.probe_answered(now, false);
    assert_eq!(signs.state(now), LivenessState::Unresponsive, "only reports came");
}

#[test]
fn a_report_of_an_endpoint_whose_callers_have_all_left_ends_its_silence() {
    let mut now = Instant::now();
    let mut signs = Liveness::new(now);
    signs.request_sent(now);
    assert_eq!(signs.state(later(&mut now, STUCK * 9)), LivenessState::Unresponsive);
    signs.probe_answered(now, true);
    assert_eq!(signs.state(now), LivenessState::Responsive);
}

#[test]
fn it_is_asked_once_at_a_time() {
    let mut signs = Liveness::new(Instant::now());
    assert!(signs.begin_probe());
    assert!(!signs.begin_probe());
    signs.end_probe();
    assert!(signs.begin_probe());
}
