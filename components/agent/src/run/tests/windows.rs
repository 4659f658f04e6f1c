//! Loads before closing windows, and what stays loaded in them.

use serde_json::json;
use units::Span;

use super::world::{World, id, pause, set, until};
use crate::replica::Phase;

/// A second as the tests pause.
const SECOND: u64 = 1000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;

/// A world whose models, from the first on, have a window at 08:00 for an hour; the tests start at 07:00.
fn world(models: &[&str]) -> World {
    let world = World::new();
    let window =
        json!([{ "opens": "monthly last 08:00", "lasts": "1h", "zone": "UTC", "replicas": 1 }]);
    let changes = models.iter().map(|model| set(&format!("/{model}"), "windows", window.clone()));
    world.edit(changes.collect());
    world
}

#[tokio::test(start_paused = true)]
async fn can_load_before_a_window_and_stay_until_it_closes() {
    let world = world(&["page-text"]);
    let running = world.start().await;
    world.grant("page-text", "v1");
    world.grant("read-aloud", "v1");
    pause(HOUR - MINUTE).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Cold));
    pause(MINUTE - 2 * SECOND).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Ready));
    assert_eq!(running.phase_of("read-aloud@v1"), Some(Phase::Cold));
    pause(HOUR - MINUTE).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Ready), "an hour without a request");
    pause(2 * MINUTE).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Cold));
    assert_eq!(world.engine.truth().calls, Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn can_load_when_it_starts_within_a_window() {
    let world = world(&["page-text"]);
    pause(HOUR + 10 * MINUTE).await;
    let running = world.start().await;
    world.grant("page-text", "v1");
    pause(30 * SECOND).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Ready));
}

#[tokio::test(start_paused = true)]
async fn can_give_way_to_a_caller_without_coming_back_for_the_window() {
    let world = world(&["read-aloud", "glossary"]);
    let running = world.start().await;
    for model in ["page-text", "read-aloud", "glossary"] {
        world.grant(model, "v1");
    }
    pause(HOUR + MINUTE).await;
    assert_eq!(running.phase_of("read-aloud@v1"), Some(Phase::Ready));
    assert_eq!(running.phase_of("glossary@v1"), Some(Phase::Ready));
    let head = running.head("r-1");
    let answer = running.dispatch(&head).await.expect("an answer");
    assert!(answer.whole().is_some(), "{answer:?}");
    until(|| running.phase_of("page-text@v1") == Some(Phase::Cold)).await;
    let loaded = world.engine.loaded().len();
    pause(5 * MINUTE).await;
    assert_eq!((loaded, world.engine.loaded().len()), (1, 1), "one gave way and stays away");
}

#[tokio::test(start_paused = true)]
async fn can_leave_an_idle_replica_alone_until_its_window_needs_the_room() {
    let world = world(&["read-aloud", "glossary"]);
    world.edit(vec![set("/page-text", "keep-warm", json!("10h"))]);
    world.edit(vec![set("/page-text", "cold-weight", json!(1e6))]);
    let running = world.start().await;
    for model in ["page-text", "read-aloud", "glossary"] {
        world.grant(model, "v1");
    }
    let mut head = running.head("r-1");
    head.budget = Span::secs(30);
    head.model = Some(id("page-text"));
    running.dispatch(&head).await.expect("an answer");
    pause(30 * MINUTE).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Ready));
    pause(31 * MINUTE).await;
    assert_eq!(world.engine.loaded(), ["glossary@v1", "read-aloud@v1"]);
}
