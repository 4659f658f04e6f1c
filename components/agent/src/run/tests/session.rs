//! A whole session as its time line.

use process::ShutdownPhase;
use serde_json::json;
use timeline::{Event, Kind};
use units::Span;
use wire::Dispatch;

use super::world::{Running, World, id, pause, set, until};

/// The agent's events, one a line; those of the log are left out.
fn lines(running: &Running) -> String {
    let events = Event::from_lines(&running.agent.recorder.to_lines()).expect("events");
    let ours = events.into_iter().filter(|event| event.endpoint.is_some());
    let line = |event: Event| {
        let request = event.request.map(|request| request.to_string()).unwrap_or_default();
        let model = event.model.map(|model| model.to_string()).unwrap_or_default();
        let kind = format!("{:<13}", event.kind);
        format!("{kind} {request:<5} {model:<18} {}", event.note).trim_end().to_owned()
    };
    ours.filter(|event| event.kind != Kind::Applied).map(line).collect::<Vec<_>>().join("\n")
}

async fn whole(running: &Running, head: Dispatch) {
    let answer = running.dispatch(&head).await.expect("an answer");
    assert!(answer.whole().is_some(), "{answer:?}");
}

#[tokio::test(start_paused = true)]
async fn can_go_through_a_day_of_an_endpoint() {
    let world = World::new();
    let running = world.start().await;
    let first = world.grant("page-text", "v1");
    world.grant("read-aloud", "v1");

    // A burst for a cold model joins one load; one of them comes too late.
    let late = Dispatch { budget: Span::secs(1), ..running.head("r-2") };
    let burst = [running.dispatch(&running.head("r-1")), running.dispatch(&late)];
    for answer in burst {
        let _ = answer.await;
    }
    let adapted = Dispatch { adapter: Some(id("urdu")), ..running.head("r-3") };
    whole(&running, adapted).await;

    // The reply to an order is lost; the engine falls silent, then dies.
    world.engine.set(|faults| {
        faults.lost_replies = 1;
        faults.silent_after = Some(2);
    });
    let head = |request| Dispatch { model: Some(id("read-aloud")), ..running.head(request) };
    whole(&running, head("r-4")).await;
    world.engine.set(|faults| faults.tokens = 100);
    let dies = running.dispatch(&head("r-5"));
    until(|| running.running() == 1).await;
    world.engine.crash();
    assert!(dies.await.expect("an answer").whole().is_none());
    world.engine.set(|faults| faults.tokens = 4);

    // A version is rolled out.
    whole(&running, running.head("r-6")).await;
    world.version("page-text", "v2");
    world.revoke(first);
    until(|| world.state().grant(first).is_none()).await;
    world.grant("page-text", "v2");
    whole(&running, running.head("r-7")).await;

    // Nobody comes, and then the instance leaves.
    world.edit(vec![set("/page-text", "keep-warm", json!("5s"))]);
    pause(6_000).await;
    running.phase.send_replace(ShutdownPhase::Drain);
    let refused = running.dispatch(&running.head("r-8")).await.expect("an answer");
    assert!(refused.refusal().is_some());
    until(|| running.task.is_finished()).await;
    insta::assert_snapshot!(lines(&running));
}
