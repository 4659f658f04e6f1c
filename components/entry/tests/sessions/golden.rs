//! Golden files of whole sessions: what callers asked and got, and what agents saw, with virtual time.

use std::time::Duration;

use process::ShutdownPhase;
use units::Span;
use wire::Refusal;

use crate::kit::{Act, World, ask, report, service_call};

const SSE: &str = "text/event-stream";
const EVENTS: &str = "data: one\n\ndata: two\n\ndata: [DONE]\n\n";
const KEY: (&str, &str) = ("idempotency-key", "badge-7");

fn check(name: &str, world: &World) {
    insta::assert_snapshot!(name, world.transcript.text());
}

#[tokio::test(start_paused = true)]
async fn can_wake_a_cold_model_for_a_burst() {
    let mut world = World::new().await;
    let first = world.replica(0, "korangi").await;
    let second = world.replica(1, "saddar").await;
    let twin = world.twin("entry-1").await;
    first.script(vec![Act::After(Duration::from_secs(8), "warm"); 4]);
    let calls = [
        world.call_later(ask(&[])),
        twin.call_later(ask(&[])),
        world.call_later(ask(&[("hyssop-class", "urgent")])),
        twin.call_later(ask(&[("hyssop-deadline", "4s")])),
    ];
    for call in calls {
        call.await.expect("the call ends");
    }
    first.set_report(report(9, 8, 2));
    world.call(ask(&[])).await;
    world.call(ask(&[])).await;
    assert_eq!(second.runs().len(), 1);
    check("cold_burst", &world);
}

#[tokio::test(start_paused = true)]
async fn can_carry_a_stream_over_a_cut_and_a_silence() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([
        Act::CutAt { content: SSE, body: EVENTS, at: 14 },
        Act::After(Duration::from_secs(4), "after the silence"),
    ]);
    world.call(ask(&[])).await;
    let call = world.call_later(ask(&[]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.net.silence_open();
    call.await.expect("the call ends");
    check("cut_and_silent", &world);
}

#[tokio::test(start_paused = true)]
async fn can_grant_a_badge_once() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([
        Act::Refuse(Refusal::Full { retry: Span::secs(2) }),
        Act::LoseAnswer("granted"),
        Act::Die,
    ]);
    world.call(service_call("POST", "/badges/7", &[KEY])).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.call(service_call("POST", "/badges/7", &[KEY])).await;
    world.call(service_call("POST", "/badges/7", &[KEY])).await;
    world.call(service_call("POST", "/badges/8", &[("hyssop-deadline", "20s")])).await;
    world.log.set(|faults| faults.outage = true);
    world.call(service_call("POST", "/badges/9", &[KEY])).await;
    check("badge_once", &world);
}

#[tokio::test(start_paused = true)]
async fn can_answer_all_by_their_deadlines() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::Queue, Act::Never]);
    world.call(ask(&[("hyssop-deadline", "2s")])).await;
    world.call(ask(&[("hyssop-deadline", "2s")])).await;
    world.call(ask(&[("hyssop-deadline", "0s")])).await;
    world.net.silence_open();
    world.net.silence_new(true);
    world.call(ask(&[("hyssop-deadline", "2s")])).await;
    check("deadlines", &world);
}

#[tokio::test(start_paused = true)]
async fn can_move_on_from_a_leaving_endpoint_and_drain() {
    let mut world = World::new().await;
    let first = world.replica(0, "saddar").await;
    let second = world.replica(1, "clifton").await;
    first.script([Act::Refuse(Refusal::Leaving)]);
    second.script([
        Act::After(Duration::from_secs(3), "one"),
        Act::After(Duration::from_secs(3), "two"),
    ]);
    let early = world.call_later(ask(&[]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.leave("likhari-0", &first).await;
    world.phase.send(ShutdownPhase::Drain).expect("the entry runs");
    let late = world.call_later(ask(&[]));
    early.await.expect("the call ends");
    late.await.expect("the call ends");
    check("leaving_and_drain", &world);
}

#[tokio::test(start_paused = true)]
async fn can_explain_bad_input() {
    let world = World::new().await;
    world.call(ask(&[("hyssop-class", "vip")])).await;
    world.call(ask(&[("hyssop-deadline", "tomorrow")])).await;
    world.call(ask(&[("hyssop-group", "cage 7")])).await;
    world.call(service_call("GET", "/doors", &[])).await;
    let lost = http::Request::post("/services/darwazza/doors").body(Default::default());
    world.call(lost.expect("a request")).await;
    let wrong = http::Request::post("/v1/chat/completions").body("{\"model\":\"page-txt\"}".into());
    world.call(wrong.expect("a request")).await;
    let cut = http::Request::post("/v1/completions").body("{\"model\":".into());
    world.call(cut.expect("a request")).await;
    let nowhere = http::Request::get("/v2/completions").body(Default::default());
    world.call(nowhere.expect("a request")).await;
    check("bad_input", &world);
}
