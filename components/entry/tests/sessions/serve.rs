//! Requests that are served.

use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;

use crate::kit::{Act, World, ask, id, service_call};

#[tokio::test(start_paused = true)]
async fn can_serve_a_completion() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    let answer = world.call(ask(&[])).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.outcome(), "served");
    assert_eq!(answer.text(), r#"{"ok":true}"#);
    assert_eq!(agent.runs(), [id(answer.header("hyssop-request"))]);
}

#[tokio::test(start_paused = true)]
async fn can_tell_the_agent_all_about_the_call() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    let body = r#"{"model":"page-text:urdu","prompt":"x"}"#;
    let request = Request::post("/v1/chat/completions")
        .header("content-type", "application/json")
        .header("hyssop-deadline", "5s")
        .header("hyssop-class", "urgent")
        .header("hyssop-group", "kiosk")
        .body(Full::from(body))
        .expect("a request");
    world.call(request).await;
    let dispatch = agent.dispatches().remove(0);
    assert_eq!(dispatch.model, Some(id("page-text")));
    assert_eq!(dispatch.adapter, Some(id("urdu")));
    assert_eq!(dispatch.class, tree::Class::Urgent);
    assert_eq!(dispatch.group, id("kiosk"));
    assert_eq!(dispatch.path, "/v1/chat/completions");
    assert_eq!(dispatch.content, "application/json");
    assert_eq!(dispatch.incarnation, agent.incarnation);
    assert!(dispatch.repeatable);
    assert!(dispatch.budget.0 < Duration::from_secs(5));
    assert!(dispatch.budget.0 >= Duration::from_millis(4500));
    assert_eq!(agent.bodies(), [body]);
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

#[tokio::test(start_paused = true)]
async fn can_pass_a_service_call_through() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::Status { status: 201, content: "text/plain", body: "granted" }]);
    let answer = world.call(service_call("POST", "/badges/7?cage=3", &[])).await;
    assert_eq!(answer.status, StatusCode::CREATED);
    assert_eq!(answer.text(), "granted");
    let dispatch = agent.dispatches().remove(0);
    assert_eq!(dispatch.path, "/badges/7?cage=3");
    assert_eq!(dispatch.model, None);
    assert!(!dispatch.repeatable);
}

#[tokio::test(start_paused = true)]
async fn can_pass_an_endpoints_own_errors_on() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    for status in [400, 404, 409, 410, 500] {
        agent.script([Act::Status { status, content: "text/plain", body: "no such door" }]);
        let answer = world.call(service_call("GET", "/doors/9", &[])).await;
        assert_eq!(answer.status, status);
        assert_eq!(answer.outcome(), "served");
        assert_eq!(answer.text(), "no such door");
    }
}

#[tokio::test(start_paused = true)]
async fn can_list_the_models() {
    let world = World::new().await;
    let request = Request::get("/v1/models").body(Full::default()).expect("a request");
    let answer = world.call(request).await;
    let list: serde_json::Value = serde_json::from_str(answer.text()).expect("JSON");
    let names: Vec<_> = list["data"].as_array().expect("a list").iter().map(|m| &m["id"]).collect();
    assert_eq!(names, ["page-text", "page-text:urdu"]);
    assert_eq!(answer.outcome(), "served");
}

#[tokio::test(start_paused = true)]
async fn can_follow_an_edit_of_the_tree() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    world.set("/likhari/page-text", "deadline", serde_json::json!("2s")).await;
    world.call(ask(&[("hyssop-deadline", "1h")])).await;
    assert!(agent.dispatches()[0].budget.0 <= Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn can_show_its_status() {
    let mut world = World::new().await;
    world.replica(0, "saddar").await;
    let status = world.core.status();
    assert_eq!(status["planner"], "planner");
    assert_eq!(status["revision"], 1);
    assert_eq!(status["offset"], 4);
    assert_eq!(status["state"]["members"], 1);
    assert_eq!(status["state"]["grants"], 1);
    assert!(status["state"]["frozen"].is_null());
    let routes = status["routes"].as_array().expect("a list");
    let route = routes.iter().find(|route| route["model"] == "page-text").expect("the model");
    assert_eq!(route["endpoints"], serde_json::json!(["likhari-0"]));
}

#[tokio::test(start_paused = true)]
async fn can_leave_events_in_causal_order() {
    let mut world = World::new().await;
    world.replica(0, "saddar").await;
    world.call(ask(&[])).await;
    let events = timeline::Event::from_lines(&world.recorder.to_lines()).expect("events");
    let kinds: Vec<String> = events
        .iter()
        .filter(|event| event.request.is_some())
        .map(|event| event.kind.to_string())
        .collect();
    assert_eq!(kinds, ["accepted", "dispatched", "answered"]);
    assert!(events.is_sorted_by_key(|event| event.tick));
}
