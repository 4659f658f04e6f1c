//! The callers: an entry's side of the protocol over one HTTP/2 connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use timeline::Tick;
use tokio::net::TcpStream;
use tree::Class;
use units::{Incarnation, Span};
use wire::{Dispatch, Refusal};

use crate::id;

/// How long the calls run.
const SPAN: Duration = Duration::from_secs(5);

type Line = SendRequest<Full<Bytes>>;

fn request(name: &str, path: &str, incarnation: Incarnation) -> Request<Full<Bytes>> {
    let head = Dispatch {
        request: id(name),
        entry: id("entry-1"),
        incarnation,
        model: None,
        adapter: None,
        class: Class::Interactive,
        group: id("default"),
        budget: Span::secs(600),
        repeatable: true,
        method: "POST".to_owned(),
        path: path.to_owned(),
        content: "application/json".to_owned(),
        tick: Tick(1),
    };
    let mut request =
        Request::post("http://agent/dispatch").body(Full::default()).expect("a request");
    head.write(request.headers_mut());
    request
}

/// Asks with no incarnation, and reads the current one from the refusal.
async fn incarnation(line: &mut Line) -> Incarnation {
    let probe = request("probe", "/", Incarnation(0));
    let answer = line.send_request(probe).await.expect("an answer");
    let body = answer.into_body().collect().await.expect("a refusal").to_bytes();
    match serde_json::from_slice(&body).expect("a refusal") {
        Refusal::Incarnation { current } => current,
        other => panic!("{other}"),
    }
}

pub(crate) async fn run(work: &str, addr: SocketAddr, count: usize) {
    let stream = TcpStream::connect(addr).await.expect("the agent listens");
    stream.set_nodelay(true).expect("a socket");
    let (mut line, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("HTTP/2");
    tokio::spawn(connection);
    let incarnation = incarnation(&mut line).await;
    match work {
        "hold" => hold(line, count, incarnation).await,
        _ => calls(line, count, incarnation).await,
    }
}

async fn hold(mut line: Line, count: usize, incarnation: Incarnation) {
    let mut answers = Vec::new();
    for number in 0..count {
        let request = request(&format!("hold-{number}"), "/hold", incarnation);
        answers.push(line.send_request(request).await.expect("an answer"));
    }
    std::future::pending::<()>().await;
}

async fn calls(line: Line, width: usize, incarnation: Incarnation) {
    let callers = (0..width).map(|caller| {
        let mut line = line.clone();
        tokio::spawn(async move {
            let mut spans = Vec::new();
            let until = Instant::now() + SPAN;
            while Instant::now() < until {
                let began = Instant::now();
                let name = format!("call-{width}-{caller}-{}", spans.len());
                let answer = line.send_request(request(&name, "/", incarnation)).await;
                let body = answer.expect("an answer").into_body().collect().await;
                assert_eq!(body.expect("a whole answer").to_bytes().len(), 200);
                spans.push(began.elapsed());
            }
            spans
        })
    });
    let mut spans = Vec::new();
    for caller in callers.collect::<Vec<_>>() {
        spans.extend(caller.await.expect("a caller that ends"));
    }
    spans.sort();
    let at = |part: f64| spans[(spans.len() as f64 * part) as usize].as_secs_f64() * 1000.0;
    let rate = spans.len() as f64 / SPAN.as_secs_f64();
    println!("{width} at once: {rate:.0} calls/s, p50 {:.3} ms, p99 {:.3} ms", at(0.5), at(0.99));
}
