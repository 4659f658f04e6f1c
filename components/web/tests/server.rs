//! Tests of the servers and the control client with each other and with faulty peers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Body as _;

use http::{Method, Request, StatusCode, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use web::{CallError, Client, ServeOptions};

const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

fn any_port() -> SocketAddr {
    LOOPBACK_ANY_PORT.parse().expect("an address")
}

fn get(addr: SocketAddr, path: &str) -> Request<web::Body> {
    let uri: Uri = format!("http://{addr}{path}").parse().expect("a URI");
    Request::builder().method(Method::GET).uri(uri).body(web::empty()).expect("a request")
}

#[tokio::test]
async fn a_request_in_flight_is_finished_after_the_stop() {
    let listener = web::bind(any_port()).await.expect("a port");
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
        tokio::spawn(
            async move { Client::default().call(addr, get(addr, "/"), CALL_TIMEOUT).await },
        );
    arrivals.recv().await.expect("the request arrives");
    stop.send(true).expect("the server runs");
    release.send(true).expect("the handler waits");
    let (status, body) = call.await.expect("no panic").expect("an answer");
    assert_eq!((status, body.as_ref()), (StatusCode::OK, b"whole".as_ref()));
    server.await.expect("the server ends");
    let refused = Client::default().call(addr, get(addr, "/"), CALL_TIMEOUT).await;
    assert!(matches!(refused, Err(CallError::Connect { .. })), "{refused:?}");
}

#[tokio::test]
async fn binding_a_port_in_use_fails_with_advice() {
    let first = web::bind(any_port()).await.expect("a port");
    let addr = first.local_addr().expect("an address");
    let message = web::bind(addr).await.expect_err("the port is in use").to_string();
    assert!(message.starts_with(&format!("cannot listen on {addr}")), "{message}");
    assert!(message.contains("choose another port"), "{message}");
}

#[tokio::test]
async fn a_call_to_a_peer_that_never_answers_times_out() {
    let silent = TcpListener::bind(any_port()).await.expect("a port");
    let addr = silent.local_addr().expect("an address");
    let held_connection =
        tokio::spawn(async move { silent.accept().await.map(|(stream, _)| stream) });
    let answer = Client::default().call(addr, get(addr, "/"), SHORT_TIMEOUT).await;
    assert!(matches!(answer, Err(CallError::Timeout { .. })), "{answer:?}");
    drop(held_connection);
}

#[tokio::test]
async fn a_truncated_response_is_an_error() {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut seen = [0; 1024];
        let _ = stream.read(&mut seen).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    });
    let answer = Client::default().call(addr, get(addr, "/"), CALL_TIMEOUT).await;
    assert!(matches!(answer, Err(CallError::Interrupted { .. })), "{answer:?}");
}

#[tokio::test]
async fn malformed_http_is_refused_and_the_server_keeps_serving() {
    let listener = web::bind(any_port()).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    let handler = |_request, _peer| async { web::text(StatusCode::OK, "fine") };
    tokio::spawn(web::serve(listener, ServeOptions::default(), stopped, handler));
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(b"NOT HTTP AT ALL\r\n\r\n").await.expect("the bytes are written");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    assert!(answer.starts_with(b"HTTP/1.1 400"), "{}", String::from_utf8_lossy(&answer));
    let (status, _) = Client::default()
        .call(addr, get(addr, "/"), CALL_TIMEOUT)
        .await
        .expect("the server still serves");
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_body_over_the_limit_is_an_error() {
    let error = web::read(web::full("12345"), 4).await.expect_err("the body is too large");
    assert!(matches!(error, web::BodyError::TooLarge { limit: 4 }), "{error}");
    assert_eq!(web::read(web::full("1234"), 4).await.expect("the body fits").as_ref(), b"1234");
}

#[tokio::test]
async fn a_finished_body_is_read_completely() {
    let (writer, body) = web::channel();
    tokio::spawn(async move {
        writer.send("half, ".into()).await.expect("a reader");
        writer.send("whole".into()).await.expect("a reader");
        writer.finish().await.expect("a reader");
    });
    assert_eq!(web::read(body, 100).await.expect("the body is complete").as_ref(), b"half, whole");
}

#[tokio::test]
async fn a_body_whose_writer_is_dropped_or_aborts_is_an_error() {
    let (writer, body) = web::channel();
    writer.send("half".into()).await.expect("room");
    drop(writer);
    assert!(matches!(web::read(body, 100).await, Err(web::BodyError::Truncated(_))));
    let (writer, body) = web::channel();
    writer.abort(std::io::Error::other("a fault")).await;
    assert!(matches!(web::read(body, 100).await, Err(web::BodyError::Truncated(_))));
}

#[tokio::test]
async fn the_last_chunk_arrives_when_the_writer_finishes_between_two_polls() {
    let (writer, mut body) = web::channel();
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    assert!(std::pin::Pin::new(&mut body).poll_frame(&mut context).is_pending());
    writer.send("last".into()).await.expect("room");
    writer.finish().await.expect("room");
    assert_eq!(web::read(body, 100).await.expect("the body is complete").as_ref(), b"last");
}
