//! Replays of endpoints that end, with and without a request that is to blame.

use std::collections::BTreeSet;

use proptest::prelude::*;
use units::Life;

use super::{KEPT, MOST, Standing, TRIALS, Table};
use crate::{Death, Digest, Note, Release, Stamp, Trial};

/// When each replay begins.
const START: u64 = 1_790_000_000_000;

fn digest(name: u32) -> Digest {
    Digest::of(&[&name.to_be_bytes()])
}

/// The end of an endpoint, so many milliseconds after the start, in a failure domain of eight.
fn end(endpoint: u32, at: u64, runs: &[u32]) -> Death {
    Death {
        endpoint: format!("i-{endpoint}").parse().expect("an id"),
        life: Some(Life(1)),
        domain: format!("hall-{}", endpoint % 4).parse().expect("a name"),
        among: 8,
        at: Stamp(START + at),
        runs: runs.iter().map(|name| digest(*name)).collect(),
    }
}

fn table(ends: impl IntoIterator<Item = Death>) -> Table {
    let mut table = Table::default();
    for end in ends {
        let now = end.at;
        table.take(&[Note::Death(end)], now);
    }
    table
}

fn suspects(table: &Table) -> BTreeSet<Digest> {
    table.suspects().map(|(digest, _)| *digest).collect()
}

fn only(name: u32) -> BTreeSet<Digest> {
    BTreeSet::from([digest(name)])
}

#[test]
fn a_request_that_was_at_three_ends_is_a_suspect_and_those_beside_it_are_not() {
    let two = [end(1, 0, &[1, 2, 3]), end(2, 2_000, &[1, 4])];
    assert_eq!(suspects(&table(two.clone())), BTreeSet::new());
    let table = table(two.into_iter().chain([end(3, 4_000, &[1, 2, 5])]));
    assert_eq!(suspects(&table), only(1));
    assert_eq!(table.evidence(&digest(1)).len(), 3);
    assert_eq!(table.standing(&digest(2)), Standing::Watched(2));
    assert_eq!(table.standing(&digest(6)), Standing::Clear);
}

#[test]
fn an_end_that_two_routers_saw_counts_once() {
    let mut again = end(1, 30, &[1]);
    again.at = Stamp(START + 30);
    assert_eq!(suspects(&table([end(1, 0, &[1]), again, end(2, 500, &[1])])), BTreeSet::new());
}

#[test]
fn two_lives_of_one_endpoint_are_two_ends() {
    let mut second = end(1, 3_000, &[1]);
    second.life = Some(Life(2));
    assert_eq!(suspects(&table([end(1, 0, &[1]), second, end(2, 6_000, &[1])])), only(1));
}

#[test]
fn of_two_that_were_always_together_neither_is_a_suspect_until_one_was_alone() {
    let together = [end(1, 0, &[1, 2]), end(2, 2_000, &[1, 2]), end(3, 4_000, &[1, 2])];
    let mut table = table(together);
    assert_eq!(suspects(&table), BTreeSet::new());
    table.take(&[Note::Death(end(4, 6_000, &[1]))], Stamp(START + 6_000));
    assert_eq!(suspects(&table), only(1));
    // What was at the ends of a suspect's only is not one at the next of them either.
    table.take(&[Note::Death(end(5, 8_000, &[1, 2]))], Stamp(START + 8_000));
    assert_eq!(suspects(&table), only(1));
}

#[test]
fn two_suspects_at_a_time_are_both_found() {
    let ends = (0..8).map(|i| end(i, u64::from(i) * 700, &[1 + i % 2, 10 + i]));
    assert_eq!(suspects(&table(ends)), BTreeSet::from([digest(1), digest(2)]));
}

#[test]
fn a_failure_domain_that_is_lost_again_and_again_as_a_whole_makes_no_suspect() {
    // The same requests are at one of its endpoints each time, since their callers repeat them.
    let lost = |at: u64| {
        (0..8).map(move |i| Death {
            domain: "hall-x".parse().expect("a name"),
            ..end(
                i + 100 * u32::try_from(at / 10_000).expect("small"),
                at + u64::from(i) * 20,
                &[1, 2, 3],
            )
        })
    };
    let table = table(lost(0).chain(lost(10_000)));
    assert_eq!(suspects(&table), BTreeSet::new());
}

/// It is at all endpoints of a small failure domain, one right after the other.
#[test]
fn a_request_that_ends_a_whole_failure_domain_is_a_suspect() {
    let ends = (0..4).map(|i| Death {
        domain: "hall-x".parse().expect("a name"),
        among: 4,
        ..end(i, u64::from(i) * 55, &[1, 10 + i])
    });
    assert_eq!(suspects(&table(ends)), only(1));
}

#[test]
fn a_release_that_crashes_on_everything_makes_no_suspects() {
    // Eighteen endpoints end every five seconds; some callers come back three times.
    let ends = (0..180_u32).map(|i| {
        let at = u64::from(i) * 280;
        end(i, at, &[1_000 + i, 2_000 + i / 2, 3_000 + i / 3, 4_000 + i % 40])
    });
    assert_eq!(suspects(&table(ends)), BTreeSet::new());
}

#[test]
fn a_request_that_ran_to_its_end_is_cleared_of_what_was_before() {
    let mut table = table([end(1, 0, &[1]), end(2, 1_000, &[1])]);
    let release = Release { digest: digest(1), at: Stamp(START + 1_500) };
    assert_eq!(table.take(&[Note::Release(release.clone())], Stamp(START + 1_500)), 1);
    assert_eq!(table.take(&[Note::Release(release)], Stamp(START + 1_500)), 0);
    table.take(&[Note::Death(end(3, 2_000, &[1]))], Stamp(START + 2_000));
    assert_eq!(table.standing(&digest(1)), Standing::Watched(1));
}

#[test]
fn a_suspect_that_is_let_go_is_served_again() {
    let mut table = table([end(1, 0, &[1]), end(2, 1_000, &[1]), end(3, 2_000, &[1])]);
    assert_eq!(table.standing(&digest(1)), Standing::Suspect);
    let release = Release { digest: digest(1), at: Stamp(START + 60_000) };
    table.take(&[Note::Release(release)], Stamp(START + 60_000));
    assert_eq!(table.standing(&digest(1)), Standing::Clear);
}

#[test]
fn a_suspect_is_tried_three_times_at_most_and_more_and_more_seldom() {
    let mut table = table([end(1, 0, &[1]), end(2, 1_000, &[1]), end(3, 2_000, &[1])]);
    let mut now = Stamp(START + 2_000);
    for (pause, number) in TRIALS.into_iter().zip(1..) {
        let pause = u64::try_from(pause.as_millis()).expect("short");
        assert_eq!(table.trial(&digest(1), Stamp(now.0 + pause - 1)), None);
        now = Stamp(now.0 + pause);
        assert_eq!(table.trial(&digest(1), now), Some(number));
        table.take(&[Note::Trial(Trial { digest: digest(1), number, at: now })], now);
        assert_eq!(table.trial(&digest(1), now), None);
    }
    assert_eq!(table.trial(&digest(1), Stamp(now.0 + 12 * 3_600_000)), None);
}

#[test]
fn what_is_old_is_forgotten_and_the_table_has_a_size() {
    let mut table = table([end(1, 0, &[1]), end(2, 1_000, &[1]), end(3, 2_000, &[1])]);
    let kept = u64::try_from(KEPT.as_millis()).expect("short");
    let late = Stamp(START + kept + 5_000);
    table.take(&[Note::Death(Death { at: late, ..end(4, 0, &[2]) })], late);
    assert_eq!(table.standing(&digest(1)), Standing::Clear);
    for i in 0..2 * u32::try_from(MOST).expect("small") {
        table.take(&[Note::Death(Death { at: late, ..end(10 + i, 0, &[i]) })], late);
    }
    assert_eq!(table.ends.len(), MOST);
}

/// An hour of ends without a request to blame: crashes of single endpoints and replacements that nobody told of, one every ten
/// seconds. A caller whose request was cut sends it once more; one in six of these is at an endpoint that ends again.
#[test]
fn an_hour_of_failures_without_a_culprit_makes_no_suspect() {
    proptest!(ProptestConfig::with_cases(4), |(seeds in prop::collection::vec(0..1_000_u32, 360))| {
        let mut table = Table::default();
        let mut back: Vec<u32> = Vec::new();
        for (i, seed) in (0_u32..).zip(&seeds) {
            let now = u64::from(i) * 10_000;
            let first: Vec<u32> = (0..10).map(|n| 100_000 + i * 10 + n).collect();
            let again = back.iter().filter(|name| (**name * 31 + seed) % 6 == 0);
            let runs: Vec<u32> = first.iter().chain(again).copied().collect();
            back = first;
            table.take(&[Note::Death(end(i, now, &runs))], Stamp(START + now));
            if i % 30 == 0 {
                prop_assert_eq!(suspects(&table), BTreeSet::new());
            }
        }
    });
}

proptest! {
    /// Routers get the records in different orders, and some twice.
    #[test]
    fn the_table_is_the_same_in_whatever_order_records_come(
        ends in prop::collection::vec((0..6_u32, 0..40_u64, prop::collection::vec(0..5_u32, 1..4)), 1..20),
        releases in prop::collection::vec((0..5_u32, 0..40_u64), 0..4),
        order in any::<u64>(),
    ) {
        let mut notes: Vec<Note> = ends
            .iter()
            .map(|(endpoint, at, runs)| Note::Death(end(*endpoint, at * 500, runs)))
            .chain(releases.iter().map(|(name, at)| {
                Note::Release(Release { digest: digest(*name), at: Stamp(START + at * 500) })
            }))
            .collect();
        let now = Stamp(START + 60_000);
        let fold = |notes: &[Note]| {
            let mut table = Table::default();
            for note in notes {
                table.take([note], now);
            }
            table.suspects
        };
        let one = fold(&notes);
        let len = notes.len();
        for i in 0..len {
            notes.swap(i, (order as usize).wrapping_mul(i + 7) % len);
        }
        let again = notes[0].clone();
        notes.push(again);
        prop_assert_eq!(one, fold(&notes));
    }

    /// One request is at all of some ends, others are beside it by chance and come back once.
    #[test]
    fn a_culprit_is_found_at_its_third_end_and_nobody_else_is_whatever_ran_beside_it(
        beside in prop::collection::vec(prop::collection::btree_set(10..40_u32, 0..12), 3..12),
    ) {
        let mut table = Table::default();
        for (i, beside) in (0_u32..).zip(&beside) {
            let runs: Vec<u32> = beside.iter().copied().chain([1]).collect();
            let now = u64::from(i) * 1_500;
            table.take(&[Note::Death(end(i, now, &runs))], Stamp(START + now));
            let found = suspects(&table);
            prop_assert!(found.is_subset(&only(1)), "{:?}", found);
        }
        let always: BTreeSet<u32> = beside.iter().skip(1).fold(beside[0].clone(), |all, one| &all & one);
        prop_assert_eq!(suspects(&table).is_empty(), !always.is_empty());
    }
}
