//! Asking and answering over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use peer::{Client, listen};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const LIMIT: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(50);

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a right address")
}

async fn echo(message: Bytes) -> Bytes {
    message
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn can_ask_many_questions_at_once() {
    let (stop, stopped) = watch::channel(false);
    let server = listen(any()).expect("a free port");
    let addr = server.addr();
    server.serve(stopped, echo).expect("the socket is bound");
    let client = Client::default();
    let asks = (0..100).map(|i| {
        let client = client.clone();
        tokio::spawn(async move {
            let message = Bytes::from(format!("question {i}"));
            (client.request(addr, message.clone(), LIMIT).await, message)
        })
    });
    let asks: Vec<_> = asks.collect();
    for ask in asks {
        let (answer, message) = ask.await.expect("the task ended");
        assert_eq!(answer, Ok(message));
    }
    assert_eq!(client.connections(), 1);
    let large = Bytes::from(vec![7; 4 << 20]);
    assert_eq!(client.request(addr, large.clone(), LIMIT).await, Ok(large));
    drop(stop);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn can_ask_others_while_one_peer_is_silent() {
    let silent = TcpListener::bind(any()).await.expect("a free port");
    let silent_addr = silent.local_addr().expect("it is bound");
    let (_stop, stopped) = watch::channel(false);
    let server = listen(any()).expect("a free port");
    let addr = server.addr();
    server.serve(stopped, echo).expect("the socket is bound");
    let client = Client::default();
    let lost: Vec<_> = (0..20)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { client.request(silent_addr, Bytes::new(), LIMIT).await })
        })
        .collect();
    let answer = client.request(addr, Bytes::from_static(b"hello"), LIMIT).await;
    assert_eq!(answer, Ok(Bytes::from_static(b"hello")));
    lost.into_iter().for_each(|ask| ask.abort());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn errors_on_a_silent_peer_and_opens_a_new_connection() {
    let silent = TcpListener::bind(any()).await.expect("a free port");
    let addr = silent.local_addr().expect("it is bound");
    let client = Client::default();
    assert!(client.request(addr, Bytes::new(), SHORT).await.is_err());
    assert_eq!(client.connections(), 0);
    drop(silent);
    let (_stop, stopped) = watch::channel(false);
    listen(addr).expect("the port is free again").serve(stopped, echo).expect("it is bound");
    let answer = client.request(addr, Bytes::from_static(b"hello"), LIMIT).await;
    assert_eq!(answer, Ok(Bytes::from_static(b"hello")));
}

/// Passes bytes on for connections that come after the last change of `silent`, and none for older ones.
async fn pass_on(listener: TcpListener, to: SocketAddr, silent: watch::Receiver<u32>) {
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
async fn can_ask_again_after_an_open_connection_went_silent() {
    let (_stop, stopped) = watch::channel(false);
    let server = listen(any()).expect("a free port");
    let to = server.addr();
    server.serve(stopped, echo).expect("the socket is bound");
    let between = TcpListener::bind(any()).await.expect("a free port");
    let addr = between.local_addr().expect("it is bound");
    let (silence, silent) = watch::channel(0);
    let proxy = tokio::spawn(pass_on(between, to, silent));
    let client = Client::default();
    let hello = Bytes::from_static(b"hello");
    assert_eq!(client.request(addr, hello.clone(), LIMIT).await, Ok(hello.clone()));
    silence.send_replace(1);
    assert!(client.request(addr, hello.clone(), SHORT).await.is_err());
    assert_eq!(client.request(addr, hello.clone(), LIMIT).await, Ok(hello));
    proxy.abort();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn errors_on_a_port_that_is_taken() {
    let server = listen(any()).expect("a free port");
    let error = listen(server.addr()).expect_err("the port is taken");
    assert!(error.to_string().contains("choose another port"), "{error}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn can_stop() {
    let (stop, stopped) = watch::channel(false);
    let server = listen(any()).expect("a free port");
    let addr = server.addr();
    server.serve(stopped, echo).expect("the socket is bound");
    let client = Client::default();
    assert!(client.request(addr, Bytes::from_static(b"a"), LIMIT).await.is_ok());
    stop.send_replace(true);
    drop(stop);
    let mut answer = client.request(addr, Bytes::from_static(b"b"), SHORT).await;
    while answer.is_ok() {
        answer = client.request(addr, Bytes::from_static(b"b"), SHORT).await;
    }
}
