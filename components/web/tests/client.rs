//! Tests of calls whose answers are not valid.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Request;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use web::{CallError, Client};

/// The timeout of a call.
const LIMIT: Duration = Duration::from_secs(2);

/// Answers each request with the same bytes and keeps its connections open; counts them.
async fn serve(bytes: impl Into<Arc<str>>) -> (SocketAddr, Arc<AtomicUsize>) {
    let bytes = bytes.into();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            let bytes = bytes.clone();
            tokio::spawn(async move {
                let mut request = [0; 4 << 10];
                while matches!(stream.read(&mut request).await, Ok(1..)) {
                    let _ = stream.write_all(bytes.as_bytes()).await;
                }
            });
        }
    });
    (addr, accepted)
}

/// Another call on the connection would get what is left of the answer.
#[rstest]
#[case::coding_and_length(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"
)]
#[case::two_codings("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")]
#[case::unknown_coding("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n")]
#[tokio::test]
async fn a_connection_with_a_broken_head_is_not_used_again(#[case] bytes: &'static str) {
    let (addr, accepted) = serve(bytes).await;
    let client = Client::default();
    for calls in 1..=4 {
        let request =
            Request::get(format!("http://{addr}/")).body(web::empty()).expect("a request");
        let called = client.call(addr, request, LIMIT).await;
        assert!(matches!(called, Err(CallError::InvalidResponse { .. })), "{called:?}");
        assert_eq!(accepted.load(Ordering::Relaxed), calls);
    }
}

/// An answer of megabytes was quoted whole in errors, and in the log lines about them.
#[rstest]
#[case::status("500 Internal Server Error", "a")]
#[case::no_ascii("500 Internal Server Error", "\u{1f600}")]
#[case::value("200 OK", "a")]
#[tokio::test]
async fn errors_quote_the_start_of_an_answer(#[case] status: &str, #[case] text: &str) {
    let body = format!("\"{}\"", text.repeat(250_000));
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (addr, _) = serve(answer).await;
    let client = Client::default();
    let got = client.get::<u64>(addr, "/", LIMIT).await.expect_err("no number");
    let posted = client.post::<u64>(addr, "/", &1, LIMIT).await.expect_err("no number");
    for error in [got, posted] {
        let shown = error.to_string();
        assert!(shown.contains(&text.repeat(100)), "{} characters", shown.chars().count());
        assert!(shown.chars().count() < 300, "{} characters", shown.chars().count());
    }
}
