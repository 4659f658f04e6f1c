//! Tests of the signs of life.

use super::*;

fn later(now: &mut Instant, by: Duration) -> Instant {
    *now += by;
    *now
}

#[test]
fn an_endpoint_that_sends_nothing_stands_still_until_it_does() {
    let mut now = Instant::now();
    let mut signs = Signs::new(now);
    signs.sent(now);
    assert_eq!(signs.trust(now), Trust::Sound);
    assert_eq!(signs.trust(later(&mut now, DOUBT * 2)), Trust::Doubtful);
    assert_eq!(signs.trust(later(&mut now, SILENT)), Trust::Still);
    signs.sent(now);
    assert_eq!(signs.trust(now), Trust::Still, "one request more is no sign of life");
    signs.alive(now);
    assert_eq!(signs.trust(now), Trust::Sound);
}

#[test]
fn an_endpoint_without_requests_need_not_send_anything() {
    let mut now = Instant::now();
    let mut signs = Signs::new(now);
    assert_eq!(signs.trust(later(&mut now, SILENT * 9)), Trust::Sound);
    signs.sent(now);
    signs.alive(now);
    signs.rest(now);
    assert_eq!(signs.trust(later(&mut now, SILENT * 9)), Trust::Sound);
    signs.sent(now);
    assert_eq!(signs.trust(now), Trust::Sound);
}

#[test]
fn a_stream_whose_caller_left_since_no_event_came_counts_as_silence() {
    let mut now = Instant::now();
    let mut signs = Signs::new(now);
    signs.sent(now);
    signs.alive(now);
    later(&mut now, STUCK * 2);
    signs.rest(now);
    assert_eq!(signs.trust(now), Trust::Still);
}

#[test]
fn requests_whose_callers_left_without_an_answer_count_as_silence() {
    let mut now = Instant::now();
    let mut signs = Signs::new(now);
    let mut sent = 0;
    for _ in 0..50 {
        if signs.trust(now) == Trust::Sound {
            signs.sent(now);
            sent += 1;
        }
        later(&mut now, Duration::from_millis(20));
    }
    assert_eq!(signs.trust(now), Trust::Still);
    assert!(sent <= 6, "{sent} were sent to it");
}

#[test]
fn reports_end_doubt_for_a_while_but_not_for_good() {
    let mut now = Instant::now();
    let mut signs = Signs::new(now);
    signs.sent(now);
    let start = now;
    while now - start + DOUBT * 2 < STUCK {
        assert_eq!(signs.trust(later(&mut now, DOUBT * 2)), Trust::Doubtful);
        signs.reported(now, false);
        assert_eq!(signs.trust(now), Trust::Sound);
    }
    assert_eq!(signs.trust(later(&mut now, DOUBT * 2)), Trust::Doubtful);
    later(&mut now, DOUBT / 2);
    signs.reported(now, false);
    assert_eq!(signs.trust(now), Trust::Still, "only reports came");
}

#[test]
fn a_report_of_an_endpoint_whose_callers_have_all_left_ends_its_silence() {
    let mut now = Instant::now();
    let mut signs = Signs::new(now);
    signs.sent(now);
    assert_eq!(signs.trust(later(&mut now, STUCK * 9)), Trust::Still);
    signs.reported(now, true);
    assert_eq!(signs.trust(now), Trust::Sound);
}

#[test]
fn it_is_asked_once_at_a_time() {
    let mut signs = Signs::new(Instant::now());
    assert!(signs.ask());
    assert!(!signs.ask());
    signs.asked();
    assert!(signs.ask());
}
