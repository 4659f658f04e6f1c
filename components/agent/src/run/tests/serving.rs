//! The way of a request: queue, load, call, answer, resume, and the unload once it is idle.

use wire::Refusal;

use super::world::{World, pause, until};
use crate::replica::Phase;

const WHOLE: &str = "t0 t1 t2 t3 ";

#[tokio::test(start_paused = true)]
async fn can_load_on_the_first_request_and_unload_when_idle() {
    let world = World::new();
    let running = world.start().await;
    world.grant("page-text", "v1");
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert_eq!(answer.whole(), Some(WHOLE), "{answer:?}");
    assert_eq!(world.engine.loaded(), ["page-text@v1"]);
    assert_eq!(world.engine.truth().calls, ["page-text@v1"]);
    pause(19_000).await;
    assert_eq!(running.phase_of("page-text@v1"), Some(Phase::Ready));
    pause(2_000).await;
    assert_eq!(world.engine.loaded(), Vec::<String>::new());
    until(|| running.phase_of("page-text@v1") == Some(Phase::Cold)).await;
}

#[tokio::test(start_paused = true)]
async fn errors_without_a_grant() {
    let world = World::new();
    let running = world.start().await;
    let answer = running.dispatch(&running.head("r-1")).await.expect("an answer");
    assert_eq!(answer.refusal(), Some(&Refusal::NoGrant));
}
