//! Tests of the stored queue summaries.

use rstest::rstest;

use super::*;

fn id(text: &str) -> ModelId {
    text.parse().expect("an id")
}

fn summary(waiting: u32, first_s: u64, last_s: u64) -> QueueSummary {
    QueueSummary {
        waiting,
        workspaces: Vec::new(),
        first_deadline: Duration::from_secs(first_s),
        last_deadline: Duration::from_secs(last_s),
        oldest: Duration::ZERO,
        priority: 0,
    }
}

/// Guards against loads for callers that are gone when the load is complete.
#[rstest]
#[case::before_all_deadlines(2, 5, Some(2_000))]
#[case::at_the_first_deadline(2_000, 5, Some(2_000))]
#[case::after_the_first(2_001, 4, Some(4_000))]
#[case::at_the_third(6_000, 3, Some(6_000))]
#[case::at_the_last(10_000, 1, Some(10_000))]
#[case::after_all_deadlines(10_001, 0, None)]
#[tokio::test(start_paused = true)]
async fn only_requests_with_a_later_deadline_count(
    #[case] end_ms: u64,
    #[case] in_time: u32,
    #[case] deadline_ms: Option<u64>,
) {
    let now = Instant::now();
    let received = ReceivedSummary { summary: summary(5, 2, 10), arrived: now };
    let end = now + Duration::from_millis(end_ms);
    assert_eq!(received.in_time(end), in_time);
    let expected = deadline_ms.map(|ms| now + Duration::from_millis(ms));
    assert_eq!(received.deadline_after(end), expected);
}

/// Guards against requests that count twice or for ever.
#[tokio::test(start_paused = true)]
async fn the_newest_summary_of_a_router_counts_until_its_last_deadline() {
    let now = Instant::now();
    let (mut queues, target) = (Queues::default(), id("a"));
    queues.record(&target, "r1", summary(9, 1, 20), now);
    queues.record(&target, "r1", summary(2, 1, 5), now);
    queues.record(&target, "r2", summary(3, 1, 8), now);
    let waiting = |queues: &Queues, later: u64| {
        let now = now + Duration::from_secs(later);
        queues.summaries(&target.model, now).map(|one| one.summary.waiting).sum::<u32>()
    };
    assert_eq!((waiting(&queues, 0), waiting(&queues, 5), waiting(&queues, 8)), (5, 3, 0));
    queues.record(&target, "r2", summary(0, 0, 0), now);
    assert_eq!(waiting(&queues, 0), 2);
    queues.expire(now + Duration::from_secs(5));
    assert!(queues.models.is_empty());
}

/// Guards against faulty or very many routers that fill the memory or stop the loader.
#[tokio::test(start_paused = true)]
async fn the_summaries_are_bounded() {
    let now = Instant::now();
    let mut queues = Queues::default();
    let mut faulty = summary(3, 0, 0);
    (faulty.first_deadline, faulty.last_deadline) = (Duration::MAX, Duration::MAX);
    queues.record(&id("faulty"), "r", faulty, now);
    for router in 0..=MAX_SUMMARIES as u64 {
        queues.record(&id("a"), &format!("r{router}"), summary(1, 1, 1 + router % 7), now);
    }
    let kept: usize = queues.models.values().map(BTreeMap::len).sum();
    assert_eq!(kept, MAX_SUMMARIES);
    let late = now + MAX_DEADLINE;
    assert!(queues.is_empty(late), "a deadline is limited");
    assert!(queues.summaries(&id("faulty").model, now).next().is_some(), "the first to end go");
}
