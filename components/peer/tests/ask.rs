//! Tests of client and server over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use peer::{Client, listen};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

async fn echo(message: Bytes) -> Bytes {
    message
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_requests_can_be_in_flight_at_once() {
    let (stop, stopped) = watch::channel(false);
    let server = listen(any_port()).expect("a free port");
    let addr = server.addr();
    server.serve(stopped, echo).expect("the socket is bound");
    let client = Client::default();
    let requests = (0..100).map(|i| {
        let client = client.clone();
        tokio::spawn(async move {
            let message = Bytes::from(format!("request {i}"));
            (client.request(addr, message.clone(), REQUEST_TIMEOUT).await, message)
        })
    });
    let requests: Vec<_> = requests.collect();
    for request in requests {
        let (answer, message) = request.await.expect("the task ended");
        assert_eq!(answer, Ok(message));
    }
    assert_eq!(client.connections(), 1);
    let large = Bytes::from(vec![7; 4 << 20]);
    assert_eq!(client.request(addr, large.clone(), REQUEST_TIMEOUT).await, Ok(large));
    drop(stop);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_peer_does_not_delay_requests_to_others() {
    let silent = TcpListener::bind(any_port()).await.expect("a free port");
    let silent_addr = silent.local_addr().expect("it is bound");
    let (_stop, stopped) = watch::channel(false);
    let server = listen(any_port()).expect("a free port");
    let addr = server.addr();
    server.serve(stopped, echo).expect("the socket is bound");
    let client = Client::default();
    let unanswered: Vec<_> = (0..20)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(
                async move { client.request(silent_addr, Bytes::new(), REQUEST_TIMEOUT).await },
            )
        })
        .collect();
    let answer = client.request(addr, Bytes::from_static(b"hello"), REQUEST_TIMEOUT).await;
    assert_eq!(answer, Ok(Bytes::from_static(b"hello")));
    unanswered.into_iter().for_each(|request| request.abort());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_to_a_silent_peer_fails_and_the_next_one_opens_a_new_connection() {
    let silent = TcpListener::bind(any_port()).await.expect("a free port");
    let addr = silent.local_addr().expect("it is bound");
    let client = Client::default();
    assert!(client.request(addr, Bytes::new(), SHORT_TIMEOUT).await.is_err());
    assert_eq!(client.connections(), 0);
    drop(silent);
    let (_stop, stopped) = watch::channel(false);
    listen(addr).expect("the port is free again").serve(stopped, echo).expect("it is bound");
    let answer = client.request(addr, Bytes::from_static(b"hello"), REQUEST_TIMEOUT).await;
    assert_eq!(answer, Ok(Bytes::from_static(b"hello")));
}

/// Forwards the bytes of connections. After a change of `silent`, connections opened before the change pass no more bytes.
async fn forward(listener: TcpListener, to: SocketAddr, silent: watch::Receiver<u32>) {
    while let Ok((mut near, _)) = listener.accept().await {
        let mut silent = silent.clone();
        silent.mark_unchanged();
        tokio::spawn(async move {
            let mut far = TcpStream::connect(to).await.expect("the server listens");
            tokio::select! {
                _ = copy_bidirectional(&mut near, &mut far) => {}
                _ = silent.changed() => std::future::pending().await,
            }
        });
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_succeeds_after_an_open_connection_went_silent() {
    let (_stop, stopped) = watch::channel(false);
    let server = listen(any_port()).expect("a free port");
    let to = server.addr();
    server.serve(stopped, echo).expect("the socket is bound");
    let between = TcpListener::bind(any_port()).await.expect("a free port");
    let addr = between.local_addr().expect("it is bound");
    let (silence, silent) = watch::channel(0);
    let proxy = tokio::spawn(forward(between, to, silent));
    let client = Client::default();
    let hello = Bytes::from_static(b"hello");
    assert_eq!(client.request(addr, hello.clone(), REQUEST_TIMEOUT).await, Ok(hello.clone()));
    silence.send_replace(1);
    assert!(client.request(addr, hello.clone(), SHORT_TIMEOUT).await.is_err());
    assert_eq!(client.request(addr, hello.clone(), REQUEST_TIMEOUT).await, Ok(hello));
    proxy.abort();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listening_on_a_port_in_use_fails_with_advice() {
    let server = listen(any_port()).expect("a free port");
    let error = listen(server.addr()).expect_err("the port is in use");
    assert!(error.to_string().contains("choose another port"), "{error}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_server_stops_answering_after_the_stop_signal() {
    let (stop, stopped) = watch::channel(false);
    let server = listen(any_port()).expect("a free port");
    let addr = server.addr();
    server.serve(stopped, echo).expect("the socket is bound");
    let client = Client::default();
    assert!(client.request(addr, Bytes::from_static(b"a"), REQUEST_TIMEOUT).await.is_ok());
    stop.send_replace(true);
    drop(stop);
    let mut answer = client.request(addr, Bytes::from_static(b"b"), SHORT_TIMEOUT).await;
    while answer.is_ok() {
        answer = client.request(addr, Bytes::from_static(b"b"), SHORT_TIMEOUT).await;
    }
}
