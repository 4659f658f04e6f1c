//! Tests of what a loader publishes.

use rstest::rstest;

use super::*;

fn step(millis: u64, events: u32) -> Step {
    Step { gap: Duration::from_millis(millis), events }
}

fn model() -> ModelName {
    "a".parse().expect("a name")
}

#[test]
fn routers_with_few_events_each_are_published_together() {
    let now = Instant::now();
    let mut shared = SharedSteps::default();
    shared.add(&model(), step(40, 20), now);
    assert!(!shared.publish(2, now), "20 events are too few");
    shared.add(&model(), step(40, 20), now);
    assert!(shared.publish(2, now));
    assert_eq!(shared.published()[&model()].events, 40);
}

/// Guards against messages to all routers for changes that make no difference.
#[rstest]
#[case::less_than_an_eighth(44, 1, 1_000, false)]
#[case::more_than_an_eighth(48, 1, 1_000, true)]
#[case::too_soon(48, 1, 400, false)]
#[case::too_soon_for_many_routers(48, 31, 3_000, false)]
#[case::for_many_routers(48, 31, 3_100, true)]
#[case::before_times_expire(48, 370, 30_000, true)]
fn publishes_what_has_changed(
    #[case] millis: u64,
    #[case] routers: u32,
    #[case] after: u64,
    #[case] published: bool,
) {
    let now = Instant::now();
    let mut shared = SharedSteps::default();
    shared.add(&model(), step(40, 100), now);
    assert!(shared.publish(routers, now));
    let later = now + Duration::from_millis(after);
    // So many events that the earlier ones hardly count.
    shared.add(&model(), step(millis, 100_000), later);
    assert_eq!(shared.publish(routers, later), published);
}

#[test]
fn drops_what_is_not_measured_any_more() {
    let now = Instant::now();
    let mut shared = SharedSteps::default();
    shared.add(&model(), step(40, 100), now);
    assert!(shared.publish(1, now));
    assert!(!shared.publish(1, now + STEP_LIFETIME - Duration::from_millis(1)));
    assert!(shared.publish(1, now + STEP_LIFETIME));
    assert!(shared.published().is_empty());
}

/// Guards against arithmetic on values that no router sends.
#[test]
fn ignores_times_and_counts_of_zero() {
    let now = Instant::now();
    let mut shared = SharedSteps::default();
    shared.add(&model(), step(0, 100), now);
    shared.add(&model(), step(40, 0), now);
    assert!(!shared.publish(1, now));
}
