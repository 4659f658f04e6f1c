//! Tests of the records that a tail keeps.

use units::Era;

use super::*;

fn at(era: u64, offset: u64) -> StorePosition {
    StorePosition { era: Era(era), offset: Offset(offset) }
}

fn tail(records: &[&'static str]) -> Tail {
    let mut tail = Tail::new(at(1, 10));
    tail.append(records.iter().map(|record| Bytes::from_static(record.as_bytes())).collect());
    tail
}

#[test]
fn returns_the_records_from_a_position_on() {
    let tail = tail(&["a", "b", "c"]);
    assert_eq!(tail.end(), at(1, 13));
    assert_eq!(tail.since(at(1, 11)), Some(vec![Bytes::from("b"), Bytes::from("c")]));
    assert_eq!(tail.since(at(1, 13)), Some(Vec::new()));
}

#[test]
fn has_nothing_for_a_follower_that_has_read_further() {
    assert_eq!(tail(&["a"]).since(at(1, 20)), Some(Vec::new()));
}

#[test]
fn knows_nothing_before_its_start_and_nothing_of_another_era() {
    let tail = tail(&["a"]);
    assert_eq!(tail.since(at(1, 9)), None);
    assert_eq!(tail.since(at(0, 10)), None);
    assert_eq!(tail.since(at(2, 10)), None);
}

#[test]
fn drops_the_oldest_records_beyond_its_size_and_keeps_a_single_large_one() {
    let mut tail = Tail::new(at(0, 0));
    tail.append(vec![Bytes::from(vec![0; MAX_BYTES]), Bytes::from_static(b"b")]);
    assert_eq!(tail.since(at(0, 0)), None);
    assert_eq!(tail.since(at(0, 1)), Some(vec![Bytes::from("b")]));
    tail.append(vec![Bytes::from(vec![0; MAX_BYTES + 1])]);
    assert_eq!(tail.since(at(0, 1)), None);
    assert_eq!(tail.since(at(0, 2)).map(|records| records.len()), Some(1));
}

/// Records without a byte count nothing in the size, so that a tail kept all that were ever written.
#[test]
fn keeps_a_limited_number_of_empty_records() {
    let mut tail = Tail::new(at(0, 0));
    tail.append(vec![Bytes::new(); MAX_RECORDS + 1]);
    tail.append(vec![Bytes::new(); MAX_RECORDS]);
    let end = 2 * MAX_RECORDS as u64 + 1;
    assert_eq!(tail.end(), at(0, end));
    assert!(tail.since(at(0, end - MAX_RECORDS as u64 - 1)).is_none());
    let kept = tail.since(at(0, end - MAX_RECORDS as u64)).map(|records| records.len());
    assert_eq!(kept, Some(MAX_RECORDS));
}

/// Only the bytes of the records were counted, and empty ones were kept without end.
#[test]
fn keeps_the_newest_of_many_empty_records() {
    let mut tail = Tail::new(at(0, 0));
    for _ in 0..100 {
        tail.append(vec![Bytes::new(); 1_000]);
    }
    assert_eq!(tail.records.len(), MAX_RECORDS);
    assert_eq!(tail.end(), at(0, 100_000));
    assert!(tail.since(at(0, 99_000)).is_some_and(|records| records.len() == 1_000));
}
