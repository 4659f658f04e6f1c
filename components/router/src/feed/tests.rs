//! Tests of which invalid list entries are reported.

use super::*;

#[tokio::test(start_paused = true)]
async fn an_entry_is_reported_when_it_appears() {
    let now = Instant::now();
    let mut invalid = InvalidEntries::new(now);
    let add = |invalid: &mut InvalidEntries, key: &str| invalid.add(key.to_owned(), now);
    assert_eq!(add(&mut invalid, "i-1"), Some(0));
    assert_eq!(add(&mut invalid, "i-1"), None);
    assert_eq!(add(&mut invalid, "i-2"), Some(0));
    invalid.remove(&"i-1".parse().expect("an id"));
    assert_eq!(add(&mut invalid, "i-1"), Some(0));
    assert_eq!(add(&mut invalid, "i-2"), None);
}

/// Once 4,096 entries had been reported, no other one was.
#[tokio::test(start_paused = true)]
async fn entries_are_reported_at_a_limited_rate_however_many_there_have_been() {
    let mut invalid = InvalidEntries::new(Instant::now());
    let (mut reported, mut skipped) = (0, 0);
    for second in 0..1_000 {
        for entry in 0..50 {
            let others = invalid.add(format!("odd {second} {entry}"), Instant::now());
            reported += u64::from(others.is_some());
            skipped += others.unwrap_or(0);
        }
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(invalid.reported.len() <= MAX_REPORTED_KEYS);
    }
    assert_eq!(reported, u64::from(MAX_REPORTS) + 999 * 10);
    assert_eq!(
        invalid.add("i-1".to_owned(), Instant::now()),
        Some(1_000 * 50 - reported - skipped)
    );
}
