use super::*;

fn endpoint() -> EndpointId {
    "likhari-0".parse().expect("an endpoint id")
}

fn trip(breakers: &Breakers) {
    for _ in 1..TRIP {
        assert!(!breakers.note_failure(&endpoint()));
    }
    assert!(breakers.note_failure(&endpoint()));
}

#[tokio::test(start_paused = true)]
async fn can_eject_after_failures_in_a_row() {
    let breakers = Breakers::default();
    breakers.note_failure(&endpoint());
    breakers.note_failure(&endpoint());
    breakers.note_success(&endpoint());
    assert_eq!(breakers.admission(&endpoint()), Admission::Closed);
    trip(&breakers);
    assert_eq!(breakers.admission(&endpoint()), Admission::Open);
    assert_eq!(breakers.ejected(), 1);
}

#[tokio::test(start_paused = true)]
async fn can_come_back_after_one_probe() {
    let breakers = Breakers::default();
    trip(&breakers);
    tokio::time::advance(FIRST).await;
    assert_eq!(breakers.admission(&endpoint()), Admission::Probe);
    breakers.note_sent(&endpoint());
    assert_eq!(breakers.admission(&endpoint()), Admission::Open);
    breakers.note_success(&endpoint());
    assert_eq!(breakers.admission(&endpoint()), Admission::Closed);
}

#[tokio::test(start_paused = true)]
async fn can_take_any_request_as_a_probe_if_no_other_comes() {
    let breakers = Breakers::default();
    trip(&breakers);
    tokio::time::advance(FIRST + OVERDUE).await;
    assert_eq!(breakers.admission(&endpoint()), Admission::Overdue);
    breakers.note_sent(&endpoint());
    assert_eq!(breakers.admission(&endpoint()), Admission::Open);
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_failed_probe_for_twice_as_long() {
    let breakers = Breakers::default();
    trip(&breakers);
    tokio::time::advance(FIRST).await;
    breakers.note_sent(&endpoint());
    assert!(breakers.note_failure(&endpoint()));
    tokio::time::advance(FIRST).await;
    assert_eq!(breakers.admission(&endpoint()), Admission::Open);
    tokio::time::advance(FIRST).await;
    assert_eq!(breakers.admission(&endpoint()), Admission::Probe);
}

#[tokio::test(start_paused = true)]
async fn can_count_late_failures_of_an_ejected_endpoint_once() {
    let breakers = Breakers::default();
    trip(&breakers);
    assert!(!breakers.note_failure(&endpoint()));
    tokio::time::advance(FIRST).await;
    assert_eq!(breakers.admission(&endpoint()), Admission::Probe);
}
