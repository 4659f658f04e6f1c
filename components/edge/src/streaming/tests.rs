use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

const BODY: &str = "data: 1\n\ndata: 2\n\n";

fn with_length() -> String {
    format!("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len())
}

fn chunked() -> String {
    let size = BODY.len();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{size:x}\r\n{BODY}\r\n0\r\n\r\n")
}

/// Guards against a server that stops in the middle of its answer's head and passes for one that has answered.
#[rstest::rstest]
#[case::length(with_length())]
#[case::chunks(chunked())]
#[tokio::test]
async fn an_answer_that_is_cut_anywhere_is_not_whole(#[case] answer: String) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let text = answer.clone();
    tokio::spawn(async move {
        for len in 0..=text.len() {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&text.as_bytes()[..len]).await;
        }
    });
    for len in 0..=answer.len() {
        let request = Request::builder().uri("http://x/").body(web::empty()).expect("a request");
        let whole = match call(addr, request, Duration::from_secs(2)).await {
            Ok(response) => web::read(response.into_body(), 1 << 10).await.is_ok(),
            Err(StreamError::Broken { .. }) => false,
            Err(error) => panic!("{error}"),
        };
        assert_eq!(whole, len == answer.len(), "cut after {:?}", &answer[..len]);
    }
}
