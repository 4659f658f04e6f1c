//! Idempotency keys.

use std::time::Duration;

use wire::Refusal;

use crate::kit::{Act, World, service_call};

const KEY: &[(&str, &str)] = &[("idempotency-key", "badge-7-december")];

#[tokio::test(start_paused = true)]
async fn can_run_once_for_one_key() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    let first = world.call(service_call("POST", "/badges", KEY)).await;
    let second = world.call(service_call("POST", "/badges", KEY)).await;
    assert_eq!(first.outcome(), "served");
    assert_eq!((second.status.as_u16(), second.error().as_str()), (409, "key-taken"));
    assert_eq!(second.outcome(), "not-run");
    assert_eq!(agent.runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn can_run_once_for_a_key_that_races_through_two_entries() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    let twin = world.twin("entry-1").await;
    let calls: Vec<_> = (0..10)
        .flat_map(|_| {
            let call = || service_call("POST", "/badges", KEY);
            [world.call_later(call()), twin.call_later(call())]
        })
        .collect();
    let mut served = 0;
    for call in calls {
        let answer = call.await.expect("the call ends");
        match answer.status.as_u16() {
            200 => served += 1,
            409 => assert_eq!(answer.outcome(), "not-run"),
            other => panic!("{other}: {}", answer.text()),
        }
    }
    assert_eq!((served, agent.runs().len()), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn can_use_a_key_again_after_a_proof_that_it_did_not_run() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    let twin = world.twin("entry-1").await;
    agent.script([Act::Refuse(Refusal::Full { retry: units::Span::secs(1) })]);
    let refused = world.call(service_call("POST", "/badges", KEY)).await;
    assert_eq!((refused.status.as_u16(), refused.outcome()), (429, "not-run"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let again = twin.call(service_call("POST", "/badges", KEY)).await;
    assert_eq!(again.outcome(), "served");
    assert_eq!(agent.runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn errors_on_a_key_whose_request_has_an_unknown_outcome() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::Never]);
    let headers = [KEY[0], ("hyssop-deadline", "2s")];
    let first = world.call(service_call("POST", "/badges", &headers)).await;
    assert_eq!(first.outcome(), "unknown");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let again = world.call(service_call("POST", "/badges", KEY)).await;
    assert_eq!((again.status.as_u16(), agent.runs().len()), (409, 1));
}

#[tokio::test(start_paused = true)]
async fn can_tell_keys_of_groups_and_routes_apart() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    let grouped = [KEY[0], ("hyssop-group", "other")];
    world.call(service_call("POST", "/badges", KEY)).await;
    world.call(service_call("POST", "/badges", &grouped)).await;
    world.call(service_call("POST", "/badges/8", KEY)).await;
    assert_eq!(agent.runs().len(), 3);
}

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
