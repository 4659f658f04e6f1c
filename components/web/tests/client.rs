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

/// Answers each request with the same bytes and ends its connection.
async fn serve_once(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4 << 10];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(bytes.as_bytes()).await;
        }
    });
    addr
}

/// Tools showed numbers and lists that were parts of the server's.
#[rstest]
#[case::number("1234", "12")]
#[case::list("[]\n", "[]")]
#[tokio::test]
async fn a_part_of_a_body_is_not_taken_for_the_body(
    #[case] body: &str,
    #[case] part: &str,
    #[values("get", "get_if_any", "get_text", "post", "post_raw")] call: &str,
    #[values(
        "Content-Lengtx: {length}\r\n",
        "Content_Length: {length}\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: {length}\r\n",
        "Transfer-Encoding: \r\n"
    )]
    lines: &str,
) {
    let answer = |lines: &str, length: usize| {
        let lines = lines.replace("{length}", &length.to_string());
        format!("HTTP/1.1 200 OK\r\n{lines}\r\n{part}")
    };
    let sound = serve_once(answer("Content-Length: {length}\r\n", part.len())).await;
    assert_eq!(result_of(call, sound).await.expect("an answer"), part);
    let broken = serve_once(answer(lines, body.len())).await;
    let called = result_of(call, broken).await;
    assert!(matches!(called, Err(CallError::InvalidResponse { .. })), "{called:?}");
}

/// What a call of this kind returns.
async fn result_of(call: &str, addr: SocketAddr) -> Result<String, CallError> {
    let client = Client::default();
    let text = |value: serde_json::Value| value.to_string();
    match call {
        "get" => client.get(addr, "/", LIMIT).await.map(text),
        "get_if_any" => {
            let value: Option<serde_json::Value> = client.get_if_any(addr, "/", LIMIT).await?;
            Ok(value.map_or_else(String::new, text))
        }
        "get_text" => client.get_text(addr, "/", LIMIT).await,
        "post" => client.post(addr, "/", &(), LIMIT).await.map(text),
        _ => {
            let (_, bytes) = client.post_raw(addr, "/", &(), LIMIT).await?;
            Ok(String::from_utf8_lossy(&bytes).into_owned())
        }
    }
}

/// Bytes after an answer belong to no call.
#[rstest]
#[case::another_answer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")]
#[case::an_answer_without_a_body("HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\n")]
#[tokio::test]
async fn what_follows_an_answer_does_not_answer_the_next_call(
    #[case] answer: &'static str,
    #[values(Duration::ZERO, Duration::from_millis(50))] pause: Duration,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4 << 10];
                while matches!(stream.read(&mut request).await, Ok(1..)) {
                    let rest = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
                    let first =
                        if pause.is_zero() { answer.to_owned() + rest } else { answer.to_owned() };
                    let _ = stream.write_all(first.as_bytes()).await;
                    tokio::time::sleep(pause).await;
                    if !pause.is_zero() {
                        let _ = stream.write_all(rest.as_bytes()).await;
                    }
                }
            });
        }
    });
    let client = Client::default();
    for _ in 0..3 {
        let called: Option<u32> = client.get_if_any(addr, "/", LIMIT).await.expect("an answer");
        assert!(called.is_none_or(|value| value == 1), "{called:?}");
        tokio::time::sleep(2 * pause).await;
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
