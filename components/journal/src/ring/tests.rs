use bytes::Bytes;
use units::Offset;

use super::Ring;

fn ring(limit: usize, texts: &[&'static str]) -> Ring {
    let mut ring = Ring::new(limit);
    texts.iter().for_each(|text| ring.push(Bytes::from_static(text.as_bytes())));
    ring
}

fn offsets(ring: &Ring, from: u64, limit: usize) -> Vec<u64> {
    ring.from(Offset(from), limit).into_iter().map(|(offset, _)| offset.0).collect()
}

#[test]
fn can_give_records_without_a_gap() {
    let ring = ring(3, &["a", "b", "c", "d"]);
    assert_eq!(offsets(&ring, 2, 100), [2, 3, 4]);
    assert_eq!(offsets(&ring, 3, 1), [3]);
    assert_eq!(offsets(&ring, 3, 0), [3]);
}

#[test]
fn can_give_nothing_that_is_not_kept() {
    let ring = ring(3, &["a", "b", "c", "d"]);
    assert_eq!(offsets(&ring, 1, 100), [0; 0]);
    assert_eq!(offsets(&ring, 5, 100), [0; 0]);
}

#[test]
fn can_restart_after_a_snapshot() {
    let mut ring = ring(3, &["a", "b"]);
    ring.restart(Offset(9));
    ring.push(Bytes::from_static(b"c"));
    assert_eq!(offsets(&ring, 10, 100), [10]);
    assert_eq!(offsets(&ring, 1, 100), [0; 0]);
}
