//! Tests of the roster.

use super::*;

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8_144).into()
}

fn domain() -> Domain {
    "hall".parse().expect("a name")
}

fn record(stage: Stage) -> RouterRecord {
    RouterRecord { domain: domain(), stage }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A router that has read a roster with these.
fn reading(own: u8, all: &[(u8, Stage)], now: Moment) -> Roster {
    let mut roster = Roster::new(addr(own), domain());
    let news = all.iter().map(|(number, stage)| (addr(*number), Some(record(*stage)))).collect();
    roster.apply_read(news, true, now, now);
    roster
}

#[test]
fn has_no_share_before_it_has_read_anything() {
    let mut roster = Roster::new(addr(1), domain());
    let now = Moment::now();
    assert_eq!(roster.share(now), None);
    assert_eq!(roster.next_write(now), None);
}

#[test]
fn joins_and_has_a_share_once_all_have_counted_it() {
    let start = Moment::now();
    let mut roster = reading(1, &[(2, Stage::Member)], start);
    let write = roster.next_write(start).expect("it joins");
    assert_eq!(write, RosterWrite::Put(addr(1), record(Stage::Joining)));
    roster.confirm_write(&write, start);
    assert_eq!(roster.share(start), None);
    let later = start + CHANGE_DELAY;
    roster.apply_read(Vec::new(), false, later, later);
    assert_eq!(roster.share(later), Some(Share { count: 2, since: later }));
    assert_eq!(roster.next_write(later), Some(RosterWrite::Put(addr(1), record(Stage::Member))));
}

#[test]
fn one_that_starts_again_has_the_share_of_the_process_before() {
    let start = Moment::now();
    let roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    assert_eq!(roster.share(start), Some(Share { count: 2, since: start }));
}

#[test]
fn one_that_starts_again_while_it_joins_waits_anew() {
    let start = Moment::now();
    let roster = reading(1, &[(1, Stage::Joining)], start);
    assert_eq!(roster.share(start + secs(1)), None);
}

#[test]
fn without_a_fresh_read_it_has_no_share() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member)], start);
    assert!(roster.share(start + SHARE_LEASE).is_some());
    let late = start + SHARE_LEASE + Duration::from_millis(1);
    assert_eq!(roster.share(late), None);
    roster.apply_read(Vec::new(), false, late, late);
    assert!(roster.share(late).is_some());
}

#[test]
fn one_that_is_gone_counts_until_it_has_no_share_for_certain() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    roster.apply_read(vec![(addr(2), Some(record(Stage::Gone)))], false, start, start);
    let count = |roster: &Roster, now| roster.share(now).map(|share| share.count);
    assert_eq!(count(&roster, start), Some(2));
    let later = start + CHANGE_DELAY;
    roster.apply_read(Vec::new(), false, later, later);
    assert_eq!(count(&roster, later), Some(1));
}

#[test]
fn one_that_is_taken_for_gone_joins_anew() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    roster.apply_read(vec![(addr(1), Some(record(Stage::Gone)))], false, start, start);
    assert_eq!(roster.share(start), None);
    assert_eq!(roster.next_write(start), Some(RosterWrite::Put(addr(1), record(Stage::Joining))));
}

#[test]
fn one_that_is_not_there_after_the_store_came_back_from_a_copy_joins_anew() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    roster.apply_read(vec![(addr(2), Some(record(Stage::Member)))], true, start, start);
    assert_eq!(roster.share(start), None);
}

#[test]
fn the_first_one_takes_a_silent_one_for_gone_and_drops_its_record_later() {
    let start = Moment::now();
    let mut first =
        reading(1, &[(1, Stage::Member), (2, Stage::Member), (3, Stage::Member)], start);
    let mut second =
        reading(2, &[(1, Stage::Member), (2, Stage::Member), (3, Stage::Member)], start);
    let mut now = start;
    let mut gone = None;
    while gone.is_none() && now.since(start) < STALE_AFTER * 2 {
        now = now + secs(2);
        let fresh =
            vec![(addr(1), Some(record(Stage::Member))), (addr(2), Some(record(Stage::Member)))];
        for roster in [&mut first, &mut second] {
            roster.apply_read(fresh.clone(), false, now, now);
        }
        while let Some(write) = first.next_write(now) {
            first.confirm_write(&write, now);
            if write == RosterWrite::Put(addr(3), record(Stage::Gone)) {
                gone = Some(now);
            }
        }
        if let Some(write) = second.next_write(now) {
            assert_eq!(
                write,
                RosterWrite::Put(addr(2), record(Stage::Member)),
                "one cleans up for all"
            );
            second.confirm_write(&write, now);
        }
    }
    assert!(gone.is_some_and(|gone| gone.since(start) >= STALE_AFTER));
    let later = now + GONE_RETENTION;
    first.apply_read(Vec::new(), false, later, later);
    let mut writes = Vec::new();
    while let Some(write) = first.next_write(later) {
        first.confirm_write(&write, later);
        writes.push(write);
    }
    assert!(writes.contains(&RosterWrite::Delete(addr(3))), "{writes:?}");
}

#[test]
fn nobody_is_taken_for_gone_because_the_store_was_away() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    let later = start + STALE_AFTER * 3;
    roster.apply_read(Vec::new(), false, later, later);
    let write = roster.next_write(later).expect("its own record");
    roster.confirm_write(&write, later);
    assert_eq!(write, RosterWrite::Put(addr(1), record(Stage::Member)));
    assert_eq!(roster.next_write(later), None);
}
