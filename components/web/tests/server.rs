//! Servers and the control client against each other and against hostile peers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Body as _;

use http::{Method, Request, StatusCode, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use web::{CallError, Client, ServeOptions};

const LOCAL: &str = "127.0.0.1:0";
const LIMIT: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(50);

fn local() -> SocketAddr {
    LOCAL.parse().expect("an address")
}

fn get(addr: SocketAddr, path: &str) -> Request<web::Body> {
    let uri: Uri = format!("http://{addr}{path}").parse().expect("a URI");
    Request::builder().method(Method::GET).uri(uri).body(web::empty()).expect("a request")
}

#[tokio::test]
async fn can_finish_a_request_in_flight_after_the_stop() {
    let listener = web::bind(local()).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let (arrived, mut arrivals) = mpsc::channel(1);
    let (release, released) = watch::channel(false);
    let handler = move |_request, _peer| {
        let (arrived, mut released) = (arrived.clone(), released.clone());
        async move {
            arrived.send(()).await.expect("the test listens");
            released.wait_for(|released| *released).await.expect("the test releases");
            web::text(StatusCode::OK, "whole")
        }
    };
    let server = tokio::spawn(web::serve(listener, ServeOptions::default(), stopped, handler));
    let call =
        tokio::spawn(async move { Client::default().call(addr, get(addr, "/"), LIMIT).await });
    arrivals.recv().await.expect("the request arrives");
    stop.send(true).expect("the server runs");
    release.send(true).expect("the handler waits");
    let (status, body) = call.await.expect("no panic").expect("an answer");
    assert_eq!((status, body.as_ref()), (StatusCode::OK, b"whole".as_ref()));
    server.await.expect("the server ends");
    let refused = Client::default().call(addr, get(addr, "/"), LIMIT).await;
    assert!(matches!(refused, Err(CallError::Connect { .. })), "{refused:?}");
}

#[tokio::test]
async fn errors_on_a_port_that_is_taken_with_what_to_do() {
    let first = web::bind(local()).await.expect("a port");
    let addr = first.local_addr().expect("an address");
    let message = web::bind(addr).await.expect_err("it is taken").to_string();
    assert!(message.starts_with(&format!("cannot listen on {addr}")), "{message}");
    assert!(message.contains("choose another port"), "{message}");
}

#[tokio::test]
async fn errors_on_a_peer_that_accepts_and_never_answers() {
    let silent = TcpListener::bind(local()).await.expect("a port");
    let addr = silent.local_addr().expect("an address");
    let hold = tokio::spawn(async move { silent.accept().await.map(|(stream, _)| stream) });
    let answer = Client::default().call(addr, get(addr, "/"), SHORT).await;
    assert!(matches!(answer, Err(CallError::Timeout { .. })), "{answer:?}");
    drop(hold);
}

#[tokio::test]
async fn errors_on_an_answer_that_is_cut() {
    let listener = TcpListener::bind(local()).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut seen = [0; 1024];
        let _ = stream.read(&mut seen).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    });
    let answer = Client::default().call(addr, get(addr, "/"), LIMIT).await;
    assert!(matches!(answer, Err(CallError::Interrupted { .. })), "{answer:?}");
}

#[tokio::test]
async fn can_refuse_malformed_http_and_live_on() {
    let listener = web::bind(local()).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    let handler = |_request, _peer| async { web::text(StatusCode::OK, "fine") };
    tokio::spawn(web::serve(listener, ServeOptions::default(), stopped, handler));
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(b"NOT HTTP AT ALL\r\n\r\n").await.expect("it takes bytes");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    assert!(answer.starts_with(b"HTTP/1.1 400"), "{}", String::from_utf8_lossy(&answer));
    let (status, _) = Client::default().call(addr, get(addr, "/"), LIMIT).await.expect("it lives");
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn errors_on_a_body_over_the_limit() {
    let error = web::read(web::full("12345"), 4).await.expect_err("it is too large");
    assert!(matches!(error, web::BodyError::TooLarge { limit: 4 }), "{error}");
    assert_eq!(web::read(web::full("1234"), 4).await.expect("it fits").as_ref(), b"1234");
}

#[tokio::test]
async fn can_read_a_written_body_to_its_end() {
    let (writer, body) = web::channel();
    tokio::spawn(async move {
        writer.send("half, ".into()).await.expect("a reader");
        writer.send("whole".into()).await.expect("a reader");
        writer.finish().await.expect("a reader");
    });
    assert_eq!(web::read(body, 100).await.expect("it is whole").as_ref(), b"half, whole");
}

#[tokio::test]
async fn errors_on_a_body_whose_writer_is_dropped_or_cuts() {
    let (writer, body) = web::channel();
    writer.send("half".into()).await.expect("room");
    drop(writer);
    assert!(matches!(web::read(body, 100).await, Err(web::BodyError::Truncated(_))));
    let (writer, body) = web::channel();
    writer.abort(std::io::Error::other("a fault")).await;
    assert!(matches!(web::read(body, 100).await, Err(web::BodyError::Truncated(_))));
}

#[tokio::test]
async fn can_pass_on_the_last_piece_when_the_writer_ends_between_two_polls() {
    let (writer, mut body) = web::channel();
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    assert!(std::pin::Pin::new(&mut body).poll_frame(&mut context).is_pending());
    writer.send("last".into()).await.expect("room");
    writer.finish().await.expect("room");
    assert_eq!(web::read(body, 100).await.expect("it is whole").as_ref(), b"last");
}
