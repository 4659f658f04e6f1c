//! Tests of the buffer's bounds.

use super::*;

fn accepted(request: &str) -> Event<'_> {
    Event::Accepted {
        request,
        route: "",
        class: "",
        version: 1,
        model: "",
        left_ms: 0,
        target_ms: 0,
        pause_ms: 0,
    }
}

#[test]
fn keeps_everything_while_there_is_room() {
    assert!((0..100).all(|n| admit(0, &accepted(&n.to_string()))));
}

#[test]
fn keeps_whole_requests_and_failures_when_it_is_crowded() {
    let failure = Event::Answered {
        request: "r",
        class: "",
        status: 502,
        first_ms: 0,
        total_ms: 0,
        gap_ms: 0,
        whole: true,
    };
    assert!(admit(CROWDED, &failure));
    let kept: Vec<String> =
        (0..1_000).map(|n| n.to_string()).filter(|id| admit(CROWDED, &accepted(id))).collect();
    assert!((60..200).contains(&kept.len()), "{}", kept.len());
    let left = |request| Event::Left { request, held_ms: 0, left_ms: 0 };
    assert!(kept.iter().all(|id| admit(CROWDED, &left(id))));
}

#[test]
fn keeps_nothing_when_it_is_full() {
    assert!(!admit(BUFFER, &accepted("r")));
}
