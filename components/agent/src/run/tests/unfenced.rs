//! Endpoints that ignore fencing numbers.

use units::{Incarnation, Span};
use wire::Dispatch;

use super::world::{Running, World, id, pause, settings, until};
use crate::{EndpointKind, Settings};

fn unfenced() -> Settings {
    Settings { fenced: false, ..settings(EndpointKind::Engine) }
}

fn world() -> World {
    let world = World::new();
    world.engine.set(|faults| faults.unfenced = true);
    world
}

#[tokio::test(start_paused = true)]
async fn waits_out_the_orders_of_an_older_incarnation() {
    let world = world();
    let running = world.start_with(unfenced()).await;
    world.grant("page-text", "v1");
    let head = Dispatch { budget: Span::secs(60), ..running.head("r-1") };
    let answer = running.dispatch(&head);
    pause(3900).await;
    assert!(world.engine.truth().orders.is_empty());
    assert!(answer.await.expect("an answer").whole().is_some());
}

#[tokio::test(start_paused = true)]
async fn orders_nothing_without_recent_news_of_the_log() {
    let world = world();
    let old = world.start_with(unfenced()).await;
    world.grant("page-text", "v1");
    world.grant("read-aloud", "v1");
    pause(5000).await;
    let head = Dispatch { budget: Span::secs(60), ..old.head("r-1") };
    assert!(old.dispatch(&head).await.expect("an answer").whole().is_some());
    old.cut.cut();
    pause(10_000).await;
    let new = world.start_with(unfenced()).await;
    assert_ne!(new.agent.incarnation(), Incarnation(0));
    let ordered = |agent: &Running| {
        let fence = agent.agent.incarnation();
        world.engine.truth().orders.iter().filter(|order| order.fence == fence).count()
    };
    let before = ordered(&old);
    let head =
        Dispatch { model: Some(id("read-aloud")), budget: Span::secs(20), ..old.head("r-2") };
    let late = old.dispatch(&head).await.expect("an answer");
    assert_eq!(late.refusal(), Some(&wire::Refusal::Late));
    assert_eq!(ordered(&old), before, "the old one has ordered something");
    let head = Dispatch { model: Some(id("read-aloud")), ..new.head("r-3") };
    assert!(new.dispatch(&head).await.expect("an answer").whole().is_some());
}

#[tokio::test(start_paused = true)]
async fn stops_once_it_hears_of_the_new_incarnation() {
    let world = world();
    let old = world.start_with(unfenced()).await;
    world.grant("page-text", "v1");
    pause(5000).await;
    old.cut.cut();
    let new = world.start_with(unfenced()).await;
    assert_eq!(old.agent.authority.current(), Ok(old.agent.incarnation()));
    old.cut.mend();
    until(|| old.agent.authority.current().is_err()).await;
    old.task.await.expect("an agent that ends");
    let answer = new.dispatch(&new.head("r-1")).await.expect("an answer");
    assert!(answer.whole().is_some());
}
