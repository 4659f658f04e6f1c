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

/// The roster of router `own` after a complete read that returned these routers.
fn reading(own: u8, all: &[(u8, Stage)], now: Moment) -> Roster {
    let mut roster = Roster::new(addr(own), domain());
    let records = all.iter().map(|(number, stage)| (addr(*number), Some(record(*stage)))).collect();
    roster.apply_read(records, true, now, now);
    roster
}

#[test]
fn a_router_has_no_share_before_its_first_read() {
    let mut roster = Roster::new(addr(1), domain());
    let now = Moment::now();
    assert_eq!(roster.share(now), None);
    assert_eq!(roster.next_write(now), None);
}

#[test]
fn a_router_that_joins_has_a_share_once_all_others_count_it() {
    let start = Moment::now();
    let mut roster = reading(1, &[(2, Stage::Member)], start);
    let write = roster.next_write(start).expect("a write of its record");
    assert_eq!(write, RosterWrite::Put(addr(1), record(Stage::Joining)));
    roster.confirm_write(&write, start);
    assert_eq!(roster.share(start), None);
    let later = start + CHANGE_DELAY;
    roster.apply_read(Vec::new(), false, later, later);
    assert_eq!(roster.share(later), Some(Share { count: 2, since: later }));
    assert_eq!(roster.next_write(later), Some(RosterWrite::Put(addr(1), record(Stage::Member))));
}

#[test]
fn a_restarted_member_keeps_its_share() {
    let start = Moment::now();
    let roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    assert_eq!(roster.share(start), Some(Share { count: 2, since: start }));
}

#[test]
fn a_router_restarted_while_joining_waits_again() {
    let start = Moment::now();
    let roster = reading(1, &[(1, Stage::Joining)], start);
    assert_eq!(roster.share(start + secs(1)), None);
}

#[test]
fn a_router_without_a_recent_read_has_no_share() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member)], start);
    assert!(roster.share(start + SHARE_LEASE).is_some());
    let late = start + SHARE_LEASE + Duration::from_millis(1);
    assert_eq!(roster.share(late), None);
    roster.apply_read(Vec::new(), false, late, late);
    assert!(roster.share(late).is_some());
}

#[test]
fn a_gone_router_counts_until_it_certainly_has_no_share() {
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
fn a_router_marked_as_gone_joins_again() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    roster.apply_read(vec![(addr(1), Some(record(Stage::Gone)))], false, start, start);
    assert_eq!(roster.share(start), None);
    assert_eq!(roster.next_write(start), Some(RosterWrite::Put(addr(1), record(Stage::Joining))));
}

#[test]
fn a_router_missing_from_a_restored_store_joins_again() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    roster.apply_read(vec![(addr(2), Some(record(Stage::Member)))], true, start, start);
    assert_eq!(roster.share(start), None);
}

#[test]
fn the_first_live_router_marks_a_silent_one_as_gone_and_deletes_its_record_later() {
    let start = Moment::now();
    let mut first =
        reading(1, &[(1, Stage::Member), (2, Stage::Member), (3, Stage::Member)], start);
    let mut second =
        reading(2, &[(1, Stage::Member), (2, Stage::Member), (3, Stage::Member)], start);
    let mut now = start;
    let mut gone = None;
    while gone.is_none() && now.since(start) < STALE_AFTER * 2 {
        now = now + secs(2);
        let renewed =
            vec![(addr(1), Some(record(Stage::Member))), (addr(2), Some(record(Stage::Member)))];
        for roster in [&mut first, &mut second] {
            roster.apply_read(renewed.clone(), false, now, now);
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
                "only the first live router cleans up"
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
fn no_router_is_marked_as_gone_because_the_store_was_unreachable() {
    let start = Moment::now();
    let mut roster = reading(1, &[(1, Stage::Member), (2, Stage::Member)], start);
    let later = start + STALE_AFTER * 3;
    roster.apply_read(Vec::new(), false, later, later);
    let write = roster.next_write(later).expect("a write of its own record");
    roster.confirm_write(&write, later);
    assert_eq!(write, RosterWrite::Put(addr(1), record(Stage::Member)));
    assert_eq!(roster.next_write(later), None);
}
