use std::time::Duration;

use edge::InstanceState;
use state::Member;
use tokio::time::{Instant, advance};
use units::Incarnation;

use super::Sightings;
use crate::sample::{listed, member};

const GUARD: Duration = Duration::from_secs(10);

/// Reads the list once a second for `seconds`; asks suspects and takes `answers` for their answer.
async fn watch(
    sightings: &mut Sightings,
    members: &[Member],
    present: &[usize],
    seconds: u64,
    answers: bool,
) {
    let list: Vec<_> = present.iter().map(|number| listed(*number)).collect();
    for _ in 0..seconds {
        advance(Duration::from_secs(1)).await;
        let now = Instant::now();
        sightings.note(members, &list, now);
        for suspect in sightings.suspects(members, GUARD, now) {
            sightings.note_answer(&suspect.endpoint, answers, now);
        }
    }
}

fn gone(sightings: &Sightings, members: &[Member]) -> usize {
    members.iter().filter(|member| sightings.is_gone(member, GUARD)).count()
}

fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

#[tokio::test(start_paused = true)]
async fn can_drop_a_member_after_the_guard_time() {
    let (mut sightings, members) = (Sightings::default(), members(4));
    watch(&mut sightings, &members, &[0, 1, 2], 10, false).await;
    assert_eq!(gone(&sightings, &members), 0);
    assert!(sightings.is_silent(&members[3]));
    watch(&mut sightings, &members, &[0, 1, 2], 1, false).await;
    assert!(sightings.is_gone(&members[3], GUARD));
    assert_eq!(gone(&sightings, &members), 1);
}

#[tokio::test(start_paused = true)]
async fn can_start_the_guard_time_again_when_a_flapping_list_shows_it() {
    let (mut sightings, members) = (Sightings::default(), members(4));
    for _ in 0..5 {
        watch(&mut sightings, &members, &[0, 1, 2], 9, false).await;
        watch(&mut sightings, &members, &[0, 1, 2, 3], 1, false).await;
    }
    assert_eq!(gone(&sightings, &members), 0);
    assert!(!sightings.is_silent(&members[3]));
}

#[tokio::test(start_paused = true)]
async fn can_keep_a_member_whose_agent_answers() {
    let (mut sightings, members) = (Sightings::default(), members(4));
    watch(&mut sightings, &members, &[0, 1, 2], 300, true).await;
    assert_eq!(gone(&sightings, &members), 0);
    assert!(!sightings.is_silent(&members[3]));
}

#[tokio::test(start_paused = true)]
async fn can_keep_a_member_that_was_not_asked_yet() {
    let (mut sightings, members) = (Sightings::default(), members(4));
    let list = [listed(0), listed(1), listed(2)];
    for _ in 0..30 {
        advance(Duration::from_secs(1)).await;
        sightings.note(&members, &list, Instant::now());
    }
    assert_eq!(gone(&sightings, &members), 0);
    assert_eq!(sightings.suspects(&members, GUARD, Instant::now()).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn can_give_an_agent_that_falls_silent_a_whole_guard_time() {
    let (mut sightings, members) = (Sightings::default(), members(4));
    watch(&mut sightings, &members, &[0, 1, 2], 300, true).await;
    watch(&mut sightings, &members, &[0, 1, 2], 5, false).await;
    assert_eq!(gone(&sightings, &members), 0);
    watch(&mut sightings, &members, &[0, 1, 2], 10, false).await;
    assert_eq!(gone(&sightings, &members), 1);
}

#[tokio::test(start_paused = true)]
async fn can_keep_all_when_the_list_is_empty() {
    let (mut sightings, members) = (Sightings::default(), members(4));
    watch(&mut sightings, &members, &[0, 1, 2, 3], 1, false).await;
    watch(&mut sightings, &members, &[], 300, false).await;
    assert_eq!(gone(&sightings, &members), 0);
}

#[tokio::test(start_paused = true)]
async fn can_wait_longer_when_most_members_vanish_at_once() {
    let (mut sightings, members) = (Sightings::default(), members(10));
    watch(&mut sightings, &members, &[0, 1], 19, false).await;
    assert_eq!(gone(&sightings, &members), 0);
    watch(&mut sightings, &members, &[0, 1], 2, false).await;
    assert_eq!(gone(&sightings, &members), 8);
}

#[tokio::test(start_paused = true)]
async fn can_keep_a_newer_incarnation_of_a_lost_one() {
    let (mut sightings, mut members) = (Sightings::default(), members(4));
    watch(&mut sightings, &members, &[0, 1, 2], 10, false).await;
    members[3].incarnation = Incarnation(900);
    watch(&mut sightings, &members, &[0, 1, 2], 2, false).await;
    assert_eq!(gone(&sightings, &members), 0);
}

#[tokio::test(start_paused = true)]
async fn can_tell_who_is_leaving() {
    let (mut sightings, members) = (Sightings::default(), members(2));
    let mut list = vec![listed(0), listed(1)];
    list[1].state = InstanceState::Leaving;
    sightings.note(&members, &list, Instant::now());
    assert!(!sightings.is_leaving(&members[0].attach));
    assert!(sightings.is_leaving(&members[1].attach));
}
