//! Requests that are served.

mod kit;

use http::StatusCode;
use kit::{Act, World, ask};

#[tokio::test(start_paused = true)]
async fn can_serve_a_completion() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    let answer = world.call(ask(&[])).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.outcome(), "served");
    assert_eq!(answer.text(), r#"{"ok":true}"#);
    assert_eq!(agent.runs().len(), 1);
    assert!(!answer.header("hyssop-request").is_empty());
}

#[tokio::test(start_paused = true)]
async fn can_stream_events() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    let body = "data: {\"a\":1}\n\ndata: [DONE]\n\n";
    agent.script([Act::Answer { content: "text/event-stream", body }]);
    let answer = world.call(ask(&[])).await;
    assert_eq!(answer.text(), body);
    assert_eq!(answer.header("content-type"), "text/event-stream");
}
