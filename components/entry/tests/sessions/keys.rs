//! Idempotency keys.

use std::time::Duration;

use crate::kit::{World, service_call};

const KEY: &[(&str, &str)] = &[("idempotency-key", "badge-7-december")];

#[tokio::test(start_paused = true)]
async fn errors_on_a_key_while_the_log_is_down() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    world.log.set(|faults| faults.outage = true);
    let answer = world.call(service_call("POST", "/badges", KEY)).await;
    assert_eq!((answer.status.as_u16(), answer.error().as_str()), (503, "no-claim"));
    assert_eq!((answer.outcome(), answer.header("retry-after")), ("not-run", "5"));
    assert!(agent.dispatches().is_empty());
    let without = world.call(service_call("POST", "/badges", &[])).await;
    assert_eq!(without.outcome(), "served", "calls without a key need no log");
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_key_that_is_not_decided_by_the_deadline() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    world.log.set(|faults| faults.delay = Duration::from_secs(60));
    let headers = [KEY[0], ("hyssop-deadline", "1s")];
    let answer = world.call(service_call("POST", "/badges", &headers)).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (503, "not-run"));
    assert!(agent.dispatches().is_empty());
}
