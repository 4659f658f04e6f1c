//! A whole agent behind its sockets, in real time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use process::{Shutdown, ShutdownPhase};
use timeline::{Recorder, Tick};
use tokio::net::TcpStream;
use tree::Class;
use units::{Incarnation, Span};
use wire::{Dispatch, ResponseEnd, Resume};

use super::world::{Answer, World, id, read, settings, until};
use crate::EndpointKind;
use crate::run::{build, listen, supervise};

type Line = SendRequest<Full<Bytes>>;

async fn connect(addr: SocketAddr) -> Line {
    let stream = TcpStream::connect(addr).await.expect("the agent listens");
    let (line, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("HTTP/2");
    tokio::spawn(connection);
    line
}

fn dispatch(incarnation: Incarnation) -> Request<Full<Bytes>> {
    let head = Dispatch {
        request: id("r-1"),
        entry: id("entry-1"),
        incarnation,
        model: Some(id("page-text")),
        adapter: None,
        class: Class::Interactive,
        group: id("default"),
        budget: Span::secs(30),
        repeatable: true,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        content: "application/json".to_owned(),
        tick: Tick(1),
    };
    let body = Full::new(Bytes::from_static(br#"{"model":"page-text"}"#));
    let mut request = Request::post("http://agent/dispatch").body(body).expect("a request");
    head.write(request.headers_mut());
    request
}

fn resume(incarnation: Incarnation, from: u64) -> Request<Full<Bytes>> {
    let head = Resume { request: id("r-1"), incarnation, from, cancel: false, tick: Tick(1) };
    let mut request =
        Request::post("http://agent/resume").body(Full::default()).expect("a request");
    head.write(request.headers_mut());
    request
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn can_serve_over_http2_and_resume_after_a_lost_connection() {
    let world = World::new();
    world.engine.set(|faults| {
        faults.load = Duration::from_millis(20);
        faults.token = Duration::from_millis(5);
        faults.tokens = 40;
    });
    let (phase, shutdown) = Shutdown::manual();
    let (settings, listener) = listen(settings(EndpointKind::Engine)).await.expect("a free port");
    let addr = settings.dispatch;
    let edges = world.edges();
    let recorder = Recorder::new(id("instance-1"));
    let agent = build(settings, &edges, recorder, shutdown);
    let task = tokio::spawn(supervise(agent.clone(), listener, edges.list));
    until(|| agent.incarnation() != Incarnation(0)).await;
    assert_eq!(world.member().map(|(attach, _)| attach.dispatch), Some(addr));
    let grant = world.grant("page-text", "v1");
    until(|| agent.journal.read(|state| state.grant(grant).is_some())).await;

    let mut first = connect(addr).await;
    let answer = first.send_request(dispatch(agent.incarnation())).await.expect("a head");
    drop(answer);
    drop(first);
    let mut second = connect(addr).await;
    let answer = second.send_request(resume(agent.incarnation(), 3)).await.expect("a head");
    let Answer::Served { text, end, .. } = read(answer).await else { panic!("not served") };
    assert!(text.starts_with("t1 t2 ") && text.ends_with("t39 "), "{text}");
    assert_eq!(end, Some(ResponseEnd::Whole { length: text.len() as u64 + 3 }));
    assert_eq!(world.engine.truth().executions["r-1"], 1);

    phase.send_replace(ShutdownPhase::Drain);
    task.await.expect("a task that ends").expect("an agent that ends well");
    assert!(world.engine.loaded().is_empty());
}
