use super::RecentCompletions;
use crate::{Digest, UnixMillis};

fn digest(number: usize) -> Digest {
    Digest::of(&[&number.to_be_bytes()])
}

/// All requests of a router pass through here, and most never come again.
#[test]
fn requests_that_come_once_displace_each_other_and_not_one_that_comes_often() {
    let mut completions = RecentCompletions::default();
    for number in 0..10 * RecentCompletions::MAX_REQUESTS {
        completions.insert(digest(number), UnixMillis(1));
        if number % 1_000 == 0 {
            completions
                .insert(digest(usize::MAX), UnixMillis(u64::try_from(number).expect("small")));
        }
        assert!(completions.last(&digest(usize::MAX)).is_some(), "after {number}");
    }
    assert_eq!(completions.last(&digest(0)), None);
    assert_eq!(completions.last(&digest(usize::MAX)), Some(UnixMillis(20_000)));
    let kept = completions.recent.len() + completions.older.len();
    assert!(kept <= 2 * RecentCompletions::MAX_REQUESTS, "{kept}");
}
