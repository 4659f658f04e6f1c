//! Guards against streaming calls that read a head without an end into memory, or never end themselves.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use edge::{
    Endpoint, EndpointError, HttpEndpoint, HttpList, HttpLog, InstanceList, LogError, LogService,
    Order, OrderKind, Stream,
};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{Instant, timeout};
use units::{Incarnation, Offset, RequestId};

/// How long a call may stay without a byte.
const IDLE: Duration = Duration::from_millis(500);
/// How long a call may take on a busy machine, and how long until its connection is closed.
const CALL_TIME: Duration = Duration::from_secs(3);
/// The pause between the pieces of slow garbage.
const SLOW_GAP: Duration = Duration::from_millis(20);
/// The buffer of a peer's socket, in bytes.
const SEND_BUFFER: u32 = 16 << 10;
/// The most that a peer may send before its connection is closed: what a call reads, and what the system buffers.
const MAX_SENT_BYTES: usize = 1 << 20;

/// A peer that sends `start` and then `unit` without an end. It tells how many bytes were sent on each connection that the other side
/// closes.
async fn peer(
    start: String,
    unit: &'static str,
    slow: bool,
) -> (SocketAddr, UnboundedReceiver<usize>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_send_buffer_size(SEND_BUFFER).expect("a small buffer");
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
    let listener = socket.listen(16).expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let (closed, closes) = unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (start, closed) = (start.clone(), closed.clone());
            tokio::spawn(async move { closed.send(send(stream, &start, unit, slow).await) });
        }
    });
    (addr, closes)
}

/// Sends until the other side closes the connection; returns how many bytes it took.
async fn send(mut stream: TcpStream, start: &str, unit: &str, slow: bool) -> usize {
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).await;
    let piece = if slow { unit.to_owned() } else { unit.repeat((16 << 10) / unit.len()) };
    let mut sent = start.len();
    if stream.write_all(start.as_bytes()).await.is_err() {
        return sent;
    }
    while stream.write_all(piece.as_bytes()).await.is_ok() {
        sent += piece.len();
        if slow {
            tokio::time::sleep(SLOW_GAP).await;
        }
    }
    sent
}

fn id() -> RequestId {
    "r1".parse().expect("an id")
}

async fn wait_closed(mut closes: UnboundedReceiver<usize>) {
    let sent = timeout(CALL_TIME, closes.recv()).await.expect("the connection is closed");
    let sent = sent.expect("the peer runs");
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were sent");
}

#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "X-More: xxxxxxxx\r\n")]
#[case::header_line("HTTP/1.1 200 OK\r\nX-Long: ", "x")]
#[case::interim_responses("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[tokio::test]
async fn a_head_without_an_end_fails_the_call_and_closes_the_connection(
    #[case] start: &str,
    #[case] unit: &'static str,
    #[values(false, true)] slow: bool,
) {
    let (addr, closed) = peer(start.to_owned(), unit, slow).await;
    let begin = Instant::now();
    let request = Request::post("/badges").body(web::full("{}")).expect("a request");
    let endpoint = HttpEndpoint::new(addr).with_idle(IDLE);
    let answer = endpoint.call(&id(), request).await;
    assert!(matches!(answer, Err(EndpointError::Unknown(_))), "{answer:?}");
    assert!(begin.elapsed() < CALL_TIME, "{:?}", begin.elapsed());
    wait_closed(closed).await;
}

/// An endpoint's answer with such a status was passed on as its own.
#[rstest]
#[tokio::test]
async fn an_answer_whose_status_ends_no_call_fails_the_call(
    #[values("000", "101", "600", "999")] status: &str,
    #[values("/badges", "/v1/completions")] path: &str,
) {
    let start = format!("HTTP/1.1 {status} Own\r\nContent-Length: 0\r\n\r\n");
    let (addr, _) = peer(start, " ", true).await;
    let request = Request::post(path).body(web::full("{}")).expect("a request");
    let answer = HttpEndpoint::new(addr).with_idle(IDLE).call(&id(), request).await;
    assert!(matches!(answer, Err(EndpointError::Unknown(_))), "{answer:?}");
}

/// An endpoint's answer was passed on with a body that was not its own.
#[rstest]
#[case::unknown_coding("Transfer-Encoding: xchunked\r\n")]
#[case::coding_after_chunks("Transfer-Encoding: chunked, gzip\r\n")]
#[case::no_coding("Transfer-Encoding: \r\n")]
#[case::coding_and_length("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n")]
#[case::misspelled_name("Content-Lengtx: 5\r\n")]
#[tokio::test]
async fn an_answer_with_a_broken_head_fails_the_call(
    #[case] lines: &str,
    #[values("/badges", "/v1/completions")] path: &str,
    #[values("200 OK", "503 Service Unavailable")] status: &str,
) {
    let start = format!("HTTP/1.1 {status}\r\n{lines}\r\n5\r\nhello\r\n0\r\n\r\n");
    let (addr, closed) = peer(start, " ", true).await;
    let request = Request::post(path).body(web::full("{}")).expect("a request");
    let answer = HttpEndpoint::new(addr).with_idle(IDLE).call(&id(), request).await;
    assert!(matches!(answer, Err(EndpointError::Unknown(_))), "{answer:?}");
    wait_closed(closed).await;
}

/// A peer that sends these bytes on each connection and then closes it.
async fn closing_peer(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(bytes.as_bytes()).await;
        }
    });
    addr
}

#[rstest]
#[case::rest_of_a_head("Connection: close\r\nContent-Length: 5\r\n\r\nhello")]
#[case::chunks("5\r\nhello\r\n0\r\n\r\n")]
#[tokio::test]
async fn a_body_that_shows_a_broken_head_is_broken_off(#[case] body: &str) {
    let addr = closing_peer(format!("HTTP/1.1 200 OK\r\n\r\n{body}")).await;
    assert_eq!(read_answer(addr).await, (StatusCode::OK, false));
}

/// Reads the answer until it ends or breaks off.
async fn read_answer(addr: SocketAddr) -> (StatusCode, bool) {
    let request = Request::post("/badges").body(web::full("{}")).expect("a request");
    let endpoint = HttpEndpoint::new(addr).with_idle(IDLE);
    let answer = endpoint.call(&id(), request).await;
    let answer = answer.expect("the head is sound");
    let (status, whole) = (answer.status(), answer.into_body().collect().await.is_ok());
    (status, whole)
}

#[rstest]
#[case::chunk_size("\r\n", "0")]
#[case::chunk_extension("\r\n4;", "x")]
#[case::trailers("\r\n4\r\nbody\r\n0\r\n", "X-More: xxxxxxxx\r\n")]
#[tokio::test]
async fn framing_without_an_end_breaks_the_body_off(
    #[case] start: &str,
    #[case] unit: &'static str,
) {
    let start = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{start}");
    let (addr, closed) = peer(start, unit, false).await;
    let answer = timeout(CALL_TIME, read_answer(addr)).await.expect("the body ends");
    assert_eq!(answer, (StatusCode::OK, false));
    wait_closed(closed).await;
}

#[tokio::test]
async fn an_endless_body_is_read_no_further_than_its_reader_reads() {
    let (addr, closed) = peer("HTTP/1.1 200 OK\r\n\r\n".to_owned(), "x", false).await;
    let request = Request::post("/badges").body(web::full("{}")).expect("a request");
    let endpoint = HttpEndpoint::new(addr).with_idle(IDLE);
    let answer = endpoint.call(&id(), request).await;
    let mut body = answer.expect("the head is sound").into_body();
    body.frame().await.expect("a part").expect("bytes");
    tokio::time::sleep(IDLE).await;
    drop(body);
    wait_closed(closed).await;
}

#[rstest]
#[case::fast(false)]
#[case::slow(true)]
#[tokio::test]
async fn a_refusal_without_an_end_is_given_up(#[case] slow: bool) {
    let start = "HTTP/1.1 503 Service Unavailable\r\n\r\n".to_owned();
    let (addr, closed) = peer(start, "x", slow).await;
    let request = Request::post("/v1/completions").body(web::full("{}")).expect("a request");
    let endpoint = HttpEndpoint::new(addr).with_idle(IDLE);
    let id = id();
    let answer = timeout(CALL_TIME, endpoint.call(&id, request)).await.expect("the call ends");
    assert!(matches!(answer, Err(EndpointError::Refused(_))), "{answer:?}");
    wait_closed(closed).await;
}

/// What a process asks of another one.
#[derive(Debug, Clone, Copy)]
enum Ask {
    Append,
    Read,
    /// A read of records that are no longer kept.
    ExpiredRead,
    List,
    Order,
    /// An order of an outdated sender.
    OutdatedOrder,
    Inventory,
    Usage,
    CacheEvents,
    Cancel,
    /// A completion for which the engine has no room.
    RefusedCompletion,
    Call,
    Resume,
}

impl Ask {
    /// The status line and the body of the answer.
    fn answer(self) -> (&'static str, &'static str) {
        match self {
            Self::Append => ("200 OK", r#"{"first":7}"#),
            Self::Read => ("200 OK", r#"{"first":1,"last":0,"records":[]}"#),
            Self::ExpiredRead => ("410 Gone", r#"{"first":7}"#),
            Self::List => ("200 OK", r#"{"instances":[]}"#),
            Self::Order => ("202 Accepted", "{}"),
            Self::OutdatedOrder => ("409 Conflict", r#"{"seen":9}"#),
            Self::Inventory => {
                ("200 OK", r#"{"version":1,"memory":"1GiB","fence":1,"loaded":[],"cached":[]}"#)
            }
            Self::Usage => ("200 OK", r#"{"running":0,"waiting":0,"age":"1s"}"#),
            Self::CacheEvents => ("200 OK", r#"{"next":1,"events":[]}"#),
            Self::Cancel => ("404 Not Found", "no such request"),
            Self::RefusedCompletion => ("503 Service Unavailable", "no room"),
            Self::Call | Self::Resume => ("200 OK", "a whole body"),
        }
    }

    /// Whether the answer at this address is believed.
    async fn is_believed(self, addr: SocketAddr) -> bool {
        let (log, list) = (HttpLog::new(addr), HttpList::new(addr));
        let endpoint = HttpEndpoint::new(addr).with_idle(IDLE);
        match self {
            Self::Append => log.append(Stream::Control, vec!["a".into()]).await.is_ok(),
            Self::Read => log.read(Stream::Control, Offset(1), Duration::ZERO).await.is_ok(),
            Self::ExpiredRead => {
                let read = log.read(Stream::Control, Offset(1), Duration::ZERO).await;
                matches!(read, Err(LogError::Expired { .. }))
            }
            Self::List => list.instances().await.is_ok(),
            Self::Order => endpoint.order(order()).await.is_ok(),
            Self::OutdatedOrder => {
                matches!(endpoint.order(order()).await, Err(EndpointError::Fenced { .. }))
            }
            Self::Inventory => endpoint.inventory(0, Duration::ZERO).await.is_ok(),
            Self::Usage => endpoint.usage().await.is_ok(),
            Self::CacheEvents => endpoint.cache_events(1).await.is_ok(),
            Self::Cancel => endpoint.cancel(&id()).await.is_ok(),
            Self::RefusedCompletion => {
                let request = Request::post("/v1/completions").body(web::full("{}"));
                let answer = endpoint.call(&id(), request.expect("a request")).await;
                matches!(answer, Err(EndpointError::Refused(_)))
            }
            Self::Call => {
                let request = Request::post("/badges").body(web::full("{}")).expect("a request");
                is_whole(endpoint.call(&id(), request).await).await
            }
            Self::Resume => is_whole(endpoint.resume(&id(), 0).await).await,
        }
    }
}

fn order() -> Order {
    let order = OrderKind::Role { role: "decode".to_owned() };
    Order { id: "o1".to_owned(), fence: Incarnation(3), urgent: false, order }
}

/// Whether a whole answer has arrived.
async fn is_whole(answer: Result<Response<web::Body>, EndpointError>) -> bool {
    match answer {
        Ok(answer) => answer.into_body().collect().await.is_ok(),
        Err(_) => false,
    }
}

/// Processes acted on bodies that were not those of the answers, since they parse.
#[rstest]
#[tokio::test]
async fn an_answer_with_a_broken_head_is_not_believed_though_its_body_parses(
    #[values(
        Ask::Append,
        Ask::Read,
        Ask::ExpiredRead,
        Ask::List,
        Ask::Order,
        Ask::OutdatedOrder,
        Ask::Inventory,
        Ask::Usage,
        Ask::CacheEvents,
        Ask::Cancel,
        Ask::RefusedCompletion,
        Ask::Call,
        Ask::Resume
    )]
    ask: Ask,
) {
    let (status, body) = ask.answer();
    let length = body.len();
    let chunks = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
    let answer = |lines: &str, body: &str| format!("HTTP/1.1 {status}\r\n{lines}\r\n{body}");
    let sound = [
        answer(&format!("Content-Length: {length}\r\n"), body),
        answer("Transfer-Encoding: chunked\r\n", &chunks),
        answer("", body),
    ];
    for bytes in sound {
        assert!(ask.is_believed(closing_peer(bytes.clone()).await).await, "{bytes}");
    }
    let broken = [
        answer("Transfer-Encoding: xchunked\r\n", body),
        answer("Transfer-Encoding: gzip\r\n", body),
        answer("Transfer-Encoding: \r\n", body),
        answer("Transfer_Encoding: chunked\r\n", body),
        answer(&format!("Content-Lengtx: {length}\r\n"), body),
        answer(&format!("Content-Length: {length}\r\nTransfer-Encoding: xchunked\r\n"), body),
        answer("Transfer-Encoding: gzip, chunked\r\n", &chunks),
        answer("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", &chunks),
        answer(&format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n"), &chunks),
    ];
    let mut believed = Vec::new();
    for bytes in broken {
        if ask.is_believed(closing_peer(bytes.clone()).await).await {
            believed.push(bytes);
        }
    }
    assert!(believed.is_empty(), "{} were believed: {believed:#?}", believed.len());
}

/// Calls an address that sends these bytes and closes the connection; none if no whole answer came.
async fn whole_answer(bytes: String) -> Option<(StatusCode, String)> {
    let addr = closing_peer(bytes).await;
    let request = Request::post("/badges").body(web::full("{}")).expect("a request");
    let answer = HttpEndpoint::new(addr).with_idle(IDLE).call(&id(), request).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

#[rstest]
#[tokio::test]
async fn an_answer_with_an_invalid_head_fails_the_call(
    #[values(
        "HTTP/1.2 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/2 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "http/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/11 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 20\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 2000\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 +200\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1  200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 O\rK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n 0\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nX: a\rb\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551621\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5,\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding\t: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked ; q=1\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding:\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )]
    bytes: &str,
) {
    assert_eq!(whole_answer(bytes.to_owned()).await, None);
}

#[rstest]
#[tokio::test]
async fn invalid_chunks_break_the_body_off(
    #[values(
        "+5\r\nhello\r\n0\r\n\r\n",
        "-5\r\nhello\r\n0\r\n\r\n",
        "0x5\r\nhello\r\n0\r\n\r\n",
        " 5\r\nhello\r\n0\r\n\r\n",
        "5 5\r\nhello\r\n0\r\n\r\n",
        "\r\nhello\r\n0\r\n\r\n",
        ";a\r\nhello\r\n0\r\n\r\n",
        "10000000000000005\r\nhello\r\n0\r\n\r\n",
        "ffffffffffffffff\r\nhello\r\n0\r\n\r\n",
        "5\nhello\r\n0\r\n\r\n",
        "5;a\nhello\r\n0\r\n\r\n",
        "5;a\rb\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello0\r\n\r\n",
        "5\r\nhello\n0\r\n\r\n",
        "5\r\nhello!\r\n0\r\n\r\n",
        "5\r\nhell\r\n0\r\n\r\n",
        "5\r\nhello\r\n",
        "5\r\nhello\r\n0\r\n",
        "5\r\nhello\r\n0\r\nX-A: b\r\n",
        "5\r\nhello\r\n0\r\nno field\r\n\r\n",
        "5\r\nhello\r\n0\r\nX-A: b\r\n c\r\n\r\n",
        "5\r\nhello\r\n0\r\nX-A: b\rc\r\n\r\n"
    )]
    chunks: &str,
) {
    let bytes = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    assert_eq!(whole_answer(bytes).await, None);
}

/// Extensions of a chunk without a bound would take memory or time.
#[tokio::test]
async fn long_chunk_extensions_break_the_body_off() {
    let extension = "x".repeat(MAX_SENT_BYTES);
    let chunks = format!("5;{extension}\r\nhello\r\n0\r\n\r\n");
    let bytes = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    assert_eq!(whole_answer(bytes).await, None);
}

#[rstest]
#[case::http_1_0("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello")]
#[case::http_1_0_until_the_end("HTTP/1.0 200 OK\r\n\r\nhello")]
#[case::until_the_end("HTTP/1.1 200 OK\r\n\r\nhello")]
#[case::line_feeds("HTTP/1.1 200 OK\nContent-Length: 5\n\nhello")]
#[case::repeated_length(
    "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\nContent-Length: 05\r\n\r\nhello"
)]
#[case::tabs("HTTP/1.1 200 OK\r\nContent-Length:\t5\t\r\n\r\nhello")]
#[case::coding_with_a_tab(
    "HTTP/1.1 200 OK\r\nTRANSFER-encoding:\tChUnKeD\t\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)]
#[case::sizes(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0004 \t;a=b\r\nhell\r\n1;c\r\no\r\n000\r\n\r\n"
)]
#[case::length_in_trailers(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nContent-Length: 3\r\n\r\n"
)]
#[case::interim_responses(
    &("HTTP/1.1 100 Continue\r\n\r\n".repeat(500) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
)]
#[case::more_bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello and more")]
#[tokio::test]
async fn an_unusual_answer_arrives_whole(#[case] bytes: &str) {
    let expected = (StatusCode::OK, "hello".to_owned());
    assert_eq!(whole_answer(bytes.to_owned()).await, Some(expected));
}

#[rstest]
#[tokio::test]
async fn an_answer_without_a_body_ends_with_its_head(
    #[values("204 No Content", "304 Not Modified")] status: &str,
    #[values(
        "Content-Length: 5\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
    )]
    rest: &str,
) {
    let answer = whole_answer(format!("HTTP/1.1 {status}\r\n{rest}")).await;
    let (answered, body) = answer.expect("an answer");
    assert!(status.starts_with(answered.as_str()), "{answered}");
    assert_eq!(body, "");
}
