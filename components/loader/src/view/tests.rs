//! Tests of the loader's view of its endpoint.

use super::*;

#[tokio::test(start_paused = true)]
async fn a_router_counts_until_it_misses_polls_at_its_own_interval() {
    let mut view = EndpointView::default();
    let now = Instant::now();
    let record_poll = |view: &mut EndpointView, name: &str, wait| {
        let poll = LastPoll { at: now, wait };
        view.routers.insert(name.to_owned(), poll);
        let usage = view.usage.entry("a".parse().expect("a name")).or_default();
        usage.running.insert(name.to_owned(), (3, poll));
    };
    record_poll(&mut view, "frequent", Duration::from_secs(1));
    record_poll(&mut view, "infrequent", Duration::from_secs(8));
    let model: ModelName = "a".parse().expect("a name");
    assert_eq!((view.active_routers(), view.running(&model)), (2, 6));
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!((view.active_routers(), view.running(&model)), (1, 3));
    tokio::time::advance(Duration::from_secs(12)).await;
    assert_eq!((view.active_routers(), view.running(&model)), (0, 0));
}

/// Guards against a shift of demand that shows only after seconds, and against single requests that look like one.
#[tokio::test(start_paused = true)]
async fn the_shared_rate_follows_a_shift_within_a_second() {
    let mut usage = Usage::default();
    usage.record_requests(1, Instant::now());
    assert!(usage.shared_rate_at(Instant::now()) < 0.5);
    for _ in 0..20 {
        tokio::time::advance(Duration::from_millis(25)).await;
        usage.record_requests(1, Instant::now());
    }
    let rate = usage.shared_rate_at(Instant::now());
    assert!(rate > 14.0 && usage.rate_at(Instant::now()) < 7.0, "{rate}");
    for _ in 0..200 {
        tokio::time::advance(Duration::from_millis(25)).await;
        usage.record_requests(1, Instant::now());
    }
    let rate = usage.shared_rate_at(Instant::now());
    assert!((36.0..44.0).contains(&rate), "{rate} of 40");
}

/// Guards against the speed of an earlier process of the endpoint, which other routers would be told.
#[test]
fn times_between_events_end_with_the_incarnation() {
    let (mut view, now) = (EndpointView::default(), Instant::now());
    let step = speed::Step { gap: Duration::from_millis(40), events: 100 };
    view.steps.add(&"a".parse().expect("a name"), step, now);
    assert!(view.steps.publish(1, now));
    view.reset_endpoint();
    assert!(view.steps.published().is_empty());
    assert!(!view.steps.publish(1, now), "nothing is left to be published");
}
