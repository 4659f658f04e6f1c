//! Tests of the lines: a golden text of each kind that a request leaves.

use super::*;

fn text(event: &Event<'_>) -> String {
    serde_json::to_string(event).expect("a line")
}

#[test]
fn names_fields_alike_in_all_lines_of_a_request() {
    let accepted =
        Event::Accepted { request: "r1", route: "chat", version: 7, model: "m", left_ms: 12_000 };
    let sent = Event::Step {
        request: "r1",
        step: Step::Sent,
        endpoint: "i-1",
        sends: 0,
        inflight: 3,
        age_ms: 120,
        cause: "",
    };
    let answered = Event::Answered {
        request: "r1",
        status: 200,
        first_ms: 90,
        total_ms: 1_500,
        gap_ms: 60,
        whole: true,
    };
    let refused = Event::Refused {
        request: "r1",
        status: 503,
        cause: Refusal::ColdTooLong,
        after_ms: 6_000,
        held_ms: 0,
    };
    let lines = [&accepted, &sent, &answered, &refused].map(text);
    let golden = [
        r#"{"event":"accepted","request":"r1","route":"chat","version":7,"model":"m","left_ms":12000}"#,
        r#"{"event":"step","request":"r1","step":"sent","endpoint":"i-1","sends":0,"inflight":3,"age_ms":120,"cause":""}"#,
        r#"{"event":"answered","request":"r1","status":200,"first_ms":90,"total_ms":1500,"gap_ms":60,"whole":true}"#,
        r#"{"event":"refused","request":"r1","status":503,"cause":"cold-too-long","after_ms":6000,"held_ms":0}"#,
    ];
    assert_eq!(lines, golden);
}

#[test]
fn tells_failures_from_successes() {
    let answered = |status, whole| Event::Answered {
        request: "r",
        status,
        first_ms: 0,
        total_ms: 0,
        gap_ms: 0,
        whole,
    };
    assert!(!answered(200, true).failure());
    assert!(answered(200, false).failure());
    assert!(answered(502, true).failure());
}
