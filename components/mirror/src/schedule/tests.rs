//! Tests of when a follower asks a mirror and when it reads the store.

use rstest::rstest;

use super::*;

const BOUND: Duration = Duration::from_millis(5_000);

fn mirrors() -> [EndpointId; 2] {
    ["i-1", "i-2"].map(|id| id.parse().expect("an id"))
}

fn asked(step: &Step) -> Option<&str> {
    match step {
        Step::AskMirror { mirror, .. } => Some(mirror.as_str()),
        Step::ReadStore | Step::FollowStore => None,
    }
}

#[test]
fn a_follower_without_mirrors_follows_the_store() {
    assert_eq!(Schedule::default().next(BOUND, &[], Moment::now()), Step::FollowStore);
}

#[test]
fn a_follower_reads_the_store_first_and_then_asks_its_preferred_mirror() {
    let (mut schedule, now) = (Schedule::default(), Moment::now());
    assert_eq!(schedule.next(BOUND, &mirrors(), now), Step::ReadStore);
    schedule.record_store_read(now);
    assert_eq!(asked(&schedule.next(BOUND, &mirrors(), now)), Some("i-1"));
}

#[test]
fn a_follower_without_a_confirmation_reads_the_store_while_there_is_time_left() {
    let (mut schedule, start) = (Schedule::default(), Moment::now());
    schedule.record_store_read(start);
    let late = start + (BOUND.mul_f64(CONFIRM_SHARE) - Duration::from_millis(100));
    let Step::AskMirror { limit, .. } = schedule.next(BOUND, &mirrors(), late) else {
        panic!("the mirror is asked")
    };
    assert_eq!(limit, Duration::from_millis(100));
    assert_eq!(schedule.next(BOUND, &mirrors(), late + limit), Step::ReadStore);
}

// After a read of the store that waited for long, the mirror had hardly more time than it was asked to wait, was held for failed, and
// another one read the store as well.
#[rstest]
fn a_mirror_has_time_to_answer_however_old_the_last_confirmation_is(
    #[values(1_000, 2_000, 5_000, 10_000)] bound_ms: u64,
) {
    let (bound, start) = (Duration::from_millis(bound_ms), Moment::now());
    for age_ms in 0..bound_ms {
        let mut schedule = Schedule::default();
        schedule.record_store_read(start);
        let now = start + Duration::from_millis(age_ms);
        if let Step::AskMirror { wait, limit, .. } = schedule.next(bound, &mirrors(), now) {
            assert!(
                wait.is_zero() || limit >= wait + ANSWER_MARGIN,
                "{age_ms} ms after the confirmation: {wait:?}, {limit:?}"
            );
        }
    }
}

#[rstest]
#[case::that_does_not_answer(None)]
#[case::whose_reads_are_old(Some(BOUND))]
fn a_follower_changes_to_another_mirror_for_a_while_from_one(#[case] age: Option<Duration>) {
    let (mut schedule, now) = (Schedule::default(), Moment::now());
    schedule.record_store_read(now);
    let all = mirrors();
    match age {
        None => schedule.record_failure(&all[0], now),
        Some(age) => assert!(!schedule.record_answer(&all[0], BOUND, (now, age), now)),
    }
    assert_eq!(asked(&schedule.next(BOUND, &all, now)), Some("i-2"));
    schedule.record_failure(&all[1], now);
    assert_eq!(schedule.next(BOUND, &all, now), Step::FollowStore);
    let later = now + AVOID_TIME;
    schedule.record_store_read(later);
    assert_eq!(asked(&schedule.next(BOUND, &all, later)), Some("i-1"));
}

#[test]
fn an_old_answer_does_not_take_back_what_is_confirmed() {
    let (mut schedule, now) = (Schedule::default(), Moment::now());
    schedule.record_store_read(now);
    schedule.record_answer(&mirrors()[0], BOUND, (now, BOUND / 2), now);
    assert_eq!(schedule.confirmed, Some(now));
}

#[test]
fn a_follower_reads_the_store_once_if_its_mirror_lacks_records() {
    let (mut schedule, now) = (Schedule::default(), Moment::now());
    schedule.record_store_read(now);
    schedule.record_gap(&mirrors()[0], now);
    assert_eq!(schedule.next(BOUND, &mirrors(), now), Step::ReadStore);
    assert_eq!(asked(&schedule.next(BOUND, &mirrors(), now)), Some("i-1"));
}

#[test]
fn a_follower_changes_to_another_mirror_if_one_lacks_records_again() {
    let (mut schedule, now) = (Schedule::default(), Moment::now());
    schedule.record_store_read(now);
    schedule.record_gap(&mirrors()[0], now);
    assert_eq!(schedule.next(BOUND, &mirrors(), now), Step::ReadStore);
    schedule.record_gap(&mirrors()[0], now + GAP_INTERVAL / 2);
    assert_eq!(schedule.next(BOUND, &mirrors(), now), Step::ReadStore);
    assert_eq!(asked(&schedule.next(BOUND, &mirrors(), now)), Some("i-2"));
}

#[test]
fn a_follower_that_the_store_turns_away_asks_mirrors_however_old_its_confirmation_is() {
    let (mut schedule, now) = (Schedule::default(), Moment::now());
    assert_eq!(schedule.next(BOUND, &mirrors(), now), Step::ReadStore);
    schedule.record_store_failure();
    assert_eq!(asked(&schedule.next(BOUND, &mirrors(), now)), Some("i-1"));
    assert_eq!(schedule.next(BOUND, &mirrors(), now), Step::ReadStore);
}
