use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;
use tree::Class;

use super::{Place, Queue, QueueLimits, Waiting};
use crate::kept::KeptBytes;
use crate::slot::Slot;

fn waiting(id: &str, class: Class, group: &str, deadline: u64) -> Waiting {
    let now = Instant::now();
    let model = "page-text".parse().expect("a name");
    let id = id.parse().expect("an id");
    Waiting {
        slot: Arc::new(Slot::queued(id, model, true, KeptBytes::default())),
        adapter: None,
        class,
        group: group.parse().expect("a group"),
        since: now,
        deadline: now + Duration::from_secs(deadline),
    }
}

fn limits(count: usize) -> QueueLimits {
    let shed = vec![Class::Series, Class::Interactive, Class::Urgent];
    QueueLimits { count, group_share: 1.0, shed }
}

fn order(queue: &mut Queue) -> Vec<String> {
    std::iter::from_fn(|| queue.pop(|_| true)).map(|waiting| waiting.slot.id.to_string()).collect()
}

#[test]
fn starts_by_class_then_by_arrival_and_series_by_deadline() {
    let mut queue = Queue::default();
    for (id, class, deadline) in [
        ("s-late", Class::Series, 90),
        ("s-soon", Class::Series, 30),
        ("i-1", Class::Interactive, 20),
        ("u-1", Class::Urgent, 20),
        ("i-2", Class::Interactive, 10),
    ] {
        queue.push(waiting(id, class, "g", deadline), &limits(10));
    }
    assert_eq!(order(&mut queue), ["u-1", "i-1", "i-2", "s-soon", "s-late"]);
}

#[tokio::test(start_paused = true)]
async fn starves_nobody() {
    let mut queue = Queue::default();
    queue.push(waiting("series", Class::Series, "g", 3600), &limits(100));
    let mut starts = 0;
    loop {
        tokio::time::advance(Duration::from_millis(10)).await;
        queue.push(waiting(&format!("u-{starts}"), Class::Urgent, "g", 10), &limits(100));
        starts += 1;
        let next = queue.pop(|_| true).expect("one that waits");
        if next.slot.id.as_str() == "series" {
            break;
        }
        assert!(starts < 9, "the series starves");
    }
}

#[test]
fn sheds_the_newest_of_the_least_class() {
    let mut queue = Queue::default();
    queue.push(waiting("s-1", Class::Series, "g", 10), &limits(2));
    queue.push(waiting("i-1", Class::Interactive, "g", 10), &limits(2));
    match queue.push(waiting("u-1", Class::Urgent, "g", 10), &limits(2)) {
        Place::Instead(other) => assert_eq!(other.slot.id.as_str(), "s-1"),
        place => panic!("{place:?}"),
    }
    match queue.push(waiting("u-2", Class::Urgent, "g", 10), &limits(2)) {
        Place::Instead(other) => assert_eq!(other.slot.id.as_str(), "i-1"),
        place => panic!("{place:?}"),
    }
    assert!(matches!(queue.push(waiting("u-3", Class::Urgent, "g", 10), &limits(2)), Place::Full));
    assert!(matches!(queue.push(waiting("s-2", Class::Series, "g", 10), &limits(2)), Place::Full));
}

#[rstest]
#[case(Class::Interactive, 5)]
#[case(Class::Urgent, 5)]
#[case(Class::Series, 10)]
fn bounds_the_share_of_a_group(#[case] class: Class, #[case] places: usize) {
    let mut queue = Queue::default();
    let limits = QueueLimits { group_share: 0.5, ..limits(10) };
    let taken = (0..10).filter(|n| {
        matches!(queue.push(waiting(&format!("r-{n}"), class, "g", 10), &limits), Place::Taken)
    });
    assert_eq!(taken.count(), places);
}

#[test]
fn passes_over_those_that_cannot_start() {
    let mut queue = Queue::default();
    queue.push(waiting("u-1", Class::Urgent, "blocked", 10), &limits(10));
    queue.push(waiting("i-1", Class::Interactive, "g", 10), &limits(10));
    let next = queue.pop(|waiting| waiting.group.as_str() != "blocked").expect("one");
    assert_eq!(next.slot.id.as_str(), "i-1");
    assert_eq!(queue.len(), 1);
}
