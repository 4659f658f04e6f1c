//! Tests of the virtual token counters.

use tokio::time::Instant;

use super::*;
use crate::tests::{seconds, workspace};

/// A workspace that was idle would be served alone until it has caught up with what the others were served meanwhile.
#[test]
fn an_idle_workspace_gets_no_credit() {
    let (now, a, b, c) = (Instant::now(), workspace("a"), workspace("b"), workspace("c"));
    let mut counters = TokenCounters::default();
    counters.charge(&a, 1_000, now);
    counters.charge(&b, 3_000, now);
    counters.begin_waiting(&a, now);
    counters.begin_waiting(&b, now);
    counters.begin_waiting(&c, now);
    assert!((counters.tokens(&c, now) - 1_000.0).abs() < 0.01, "as low as the lowest active one");
    assert!((counters.tokens(&b, now) - 3_000.0).abs() < 0.01, "never lowered");
}

/// The share of a workspace would depend on what it was served hours ago.
#[test]
fn tokens_served_long_ago_no_longer_count() {
    let (now, a, b) = (Instant::now(), workspace("a"), workspace("b"));
    let mut counters = TokenCounters::default();
    counters.charge(&a, 1_000_000, now);
    let later = now + HALF_LIFE * 20;
    counters.charge(&b, 100, later);
    assert!(counters.tokens(&a, later) < counters.tokens(&b, later));
    let much_later = now + HALF_LIFE * 5_000;
    counters.charge(&b, 100, much_later);
    assert!((counters.tokens(&b, much_later) - 100.0).abs() < 0.01);
    assert_eq!(counters.all(much_later).len(), 1, "counters near zero are forgotten");
}

/// A workspace that is never counted as idle again would keep the level of the others down.
#[test]
fn a_workspace_is_active_until_its_last_request_has_left() {
    let (now, a, b) = (Instant::now(), workspace("a"), workspace("b"));
    let mut counters = TokenCounters::default();
    counters.begin_waiting(&a, now);
    counters.begin_waiting(&a, now);
    counters.end_waiting(&a);
    assert_eq!(counters.waiting.get(&a), Some(&1));
    counters.end_waiting(&a);
    counters.end_waiting(&a);
    assert!(counters.waiting.is_empty());
    counters.charge(&b, 500, now + seconds(1.0));
    counters.begin_waiting(&b, now + seconds(1.0));
    counters.begin_waiting(&a, now + seconds(1.0));
    assert!((counters.tokens(&a, now + seconds(1.0)) - 500.0).abs() < 0.01);
}
