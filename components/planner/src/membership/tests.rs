use std::time::Duration;

use edge::InstanceState;
use state::Member;
use tokio::time::{Instant, advance};
use units::Incarnation;

use super::Observations;
use crate::sample::{listed, member};

const ABSENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the list once a second for `seconds`. Each probe that is due gets an answer if `answers` is true.
async fn watch(
    observations: &mut Observations,
    members: &[Member],
    present: &[usize],
    seconds: u64,
    answers: bool,
) {
    let list: Vec<_> = present.iter().map(|number| listed(*number)).collect();
    for _ in 0..seconds {
        advance(Duration::from_secs(1)).await;
        let now = Instant::now();
        observations.record_list(members, &list, now);
        for target in observations.due_probes(members, ABSENCE_TIMEOUT, now) {
            observations.record_probe(&target.endpoint, answers, now);
        }
    }
}

fn gone(observations: &Observations, members: &[Member]) -> usize {
    members.iter().filter(|member| observations.is_gone(member, ABSENCE_TIMEOUT)).count()
}

fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

#[tokio::test(start_paused = true)]
async fn a_member_is_gone_after_the_absence_timeout() {
    let (mut observations, members) = (Observations::default(), members(4));
    watch(&mut observations, &members, &[0, 1, 2], 10, false).await;
    assert_eq!(gone(&observations, &members), 0);
    assert!(observations.is_unresponsive(&members[3]));
    watch(&mut observations, &members, &[0, 1, 2], 1, false).await;
    assert!(observations.is_gone(&members[3], ABSENCE_TIMEOUT));
    assert_eq!(gone(&observations, &members), 1);
}

#[tokio::test(start_paused = true)]
async fn the_absence_timeout_starts_again_when_a_flapping_list_shows_the_member() {
    let (mut observations, members) = (Observations::default(), members(4));
    for _ in 0..5 {
        watch(&mut observations, &members, &[0, 1, 2], 9, false).await;
        watch(&mut observations, &members, &[0, 1, 2, 3], 1, false).await;
    }
    assert_eq!(gone(&observations, &members), 0);
    assert!(!observations.is_unresponsive(&members[3]));
}

#[tokio::test(start_paused = true)]
async fn a_member_whose_agent_answers_is_not_gone() {
    let (mut observations, members) = (Observations::default(), members(4));
    watch(&mut observations, &members, &[0, 1, 2], 300, true).await;
    assert_eq!(gone(&observations, &members), 0);
    assert!(!observations.is_unresponsive(&members[3]));
}

#[tokio::test(start_paused = true)]
async fn a_member_that_was_not_probed_is_not_gone() {
    let (mut observations, members) = (Observations::default(), members(4));
    let list = [listed(0), listed(1), listed(2)];
    for _ in 0..30 {
        advance(Duration::from_secs(1)).await;
        observations.record_list(&members, &list, Instant::now());
    }
    assert_eq!(gone(&observations, &members), 0);
    assert_eq!(observations.due_probes(&members, ABSENCE_TIMEOUT, Instant::now()).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_agent_that_stops_answering_has_a_whole_absence_timeout() {
    let (mut observations, members) = (Observations::default(), members(4));
    watch(&mut observations, &members, &[0, 1, 2], 300, true).await;
    watch(&mut observations, &members, &[0, 1, 2], 5, false).await;
    assert_eq!(gone(&observations, &members), 0);
    watch(&mut observations, &members, &[0, 1, 2], 10, false).await;
    assert_eq!(gone(&observations, &members), 1);
}

#[tokio::test(start_paused = true)]
async fn an_empty_list_makes_no_member_gone() {
    let (mut observations, members) = (Observations::default(), members(4));
    watch(&mut observations, &members, &[0, 1, 2, 3], 1, false).await;
    watch(&mut observations, &members, &[], 300, false).await;
    assert_eq!(gone(&observations, &members), 0);
}

#[tokio::test(start_paused = true)]
async fn a_loss_of_most_members_at_once_has_a_longer_timeout() {
    let (mut observations, members) = (Observations::default(), members(10));
    watch(&mut observations, &members, &[0, 1], 19, false).await;
    assert_eq!(gone(&observations, &members), 0);
    watch(&mut observations, &members, &[0, 1], 2, false).await;
    assert_eq!(gone(&observations, &members), 8);
}

#[tokio::test(start_paused = true)]
async fn a_newer_incarnation_of_an_absent_member_is_not_gone() {
    let (mut observations, mut members) = (Observations::default(), members(4));
    watch(&mut observations, &members, &[0, 1, 2], 10, false).await;
    members[3].incarnation = Incarnation(900);
    watch(&mut observations, &members, &[0, 1, 2], 2, false).await;
    assert_eq!(gone(&observations, &members), 0);
}

#[tokio::test(start_paused = true)]
async fn the_list_shows_which_instances_are_leaving() {
    let (mut observations, members) = (Observations::default(), members(2));
    let mut list = vec![listed(0), listed(1)];
    list[1].state = InstanceState::Leaving;
    observations.record_list(&members, &list, Instant::now());
    assert!(!observations.is_leaving(&members[0].attach));
    assert!(observations.is_leaving(&members[1].attach));
}
