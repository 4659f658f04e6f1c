//! Planned and forced ends of an entry.

use std::time::Duration;

use process::ShutdownPhase;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::kit::{Act, World, ask, service_call};

#[tokio::test(start_paused = true)]
async fn can_finish_what_is_in_flight_during_a_drain() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    agent.script([Act::After(Duration::from_secs(5), "whole")]);
    let call = world.call_later(ask(&[]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.phase.send(ShutdownPhase::Drain).expect("the entry runs");
    let answer = call.await.expect("the call ends");
    assert_eq!((answer.outcome(), answer.text()), ("served", "whole"));
    assert_eq!(answer.header("connection"), "close");
}

#[tokio::test(start_paused = true)]
async fn can_still_serve_what_the_balancer_sends_during_a_drain() {
    let mut world = World::new().await;
    world.replica(0, "saddar").await;
    world.phase.send(ShutdownPhase::Drain).expect("the entry runs");
    let answer = world.call(ask(&[])).await;
    assert_eq!(answer.outcome(), "served");
    assert_eq!(answer.header("connection"), "close");
}

#[tokio::test(start_paused = true)]
async fn can_end_by_force_with_true_outcomes() {
    let mut world = World::new().await;
    let engine = world.replica(0, "saddar").await;
    let service = world.attach("darwaza-0", "darwaza", "saddar").await;
    engine.script([Act::Queue]);
    service.script([Act::Never]);
    let queued = world.call_later(ask(&[]));
    let running = world.call_later(service_call("POST", "/badges", &[]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.phase.send(ShutdownPhase::Force).expect("the entry runs");
    let queued = queued.await.expect("the call ends");
    assert_eq!((queued.status.as_u16(), queued.error().as_str()), (503, "shutdown"));
    assert_eq!(queued.outcome(), "not-run");
    let running = running.await.expect("the call ends");
    assert_eq!((running.status.as_u16(), running.outcome()), (504, "unknown"));
}

const CALL: &[u8] =
    b"POST /services/darwaza/doors HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}";

async fn send(addr: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("the entry listens");
    stream.write_all(CALL).await.expect("the entry reads");
    stream
}

async fn read_all(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("a polite end");
    answer
}

#[tokio::test]
async fn can_close_connections_after_what_is_in_flight() {
    let mut world = World::new().await;
    let agent = world.attach("darwaza-0", "darwaza", "saddar").await;
    agent.script([Act::Hold("in flight"), Act::Answer { content: "text/plain", body: "late" }]);
    let listener = web::bind(([127, 0, 0, 1], 0).into()).await.expect("a free port");
    let addr = listener.local_addr().expect("a bound socket");
    let lag = Duration::from_millis(5);
    let serving = tokio::spawn(world.core.clone().serve(listener, lag));

    let idle = TcpStream::connect(addr).await.expect("the entry listens");
    let early = send(addr).await;
    while agent.dispatches().is_empty() {
        tokio::task::yield_now().await;
    }
    world.phase.send(ShutdownPhase::Drain).expect("the entry runs");
    // The balancer may still send; whether this one comes before the lag is over is up to the machine.
    if let Ok(mut late) = TcpStream::connect(addr).await {
        let _ = late.write_all(CALL).await;
        let mut answer = String::new();
        if late.read_to_string(&mut answer).await.is_ok() && !answer.is_empty() {
            assert!(answer.contains("connection: close"), "{answer}");
        }
    }
    while TcpStream::connect(addr).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert_eq!(read_all(idle).await, "", "an idle connection is closed");
    agent.release();
    let answer = read_all(early).await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("in flight"), "{answer}");
    serving.await.expect("the server ends by itself");
}
