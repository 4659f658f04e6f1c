use std::net::SocketAddr;

use http::{Method, StatusCode};
use quarantine::{Evidence, UnixMillis};
use tokio::sync::watch;
use units::EndpointIncarnation;
use web::ServeOptions;

use super::*;

fn digest() -> Digest {
    Digest::of(&[b"shop.example", b"/x", b"body"])
}

fn part_digest() -> Digest {
    Digest::of(&[b"part", b"5c1e07a2"])
}

/// A router with two suspects.
async fn router() -> (SocketAddr, watch::Sender<bool>) {
    let listener = web::bind(([127, 0, 0, 1], 0).into()).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let handler = |request: http::Request<hyper::body::Incoming>, _| async move {
        let call = (request.method().clone(), request.uri().path().to_owned());
        let body = web::read(request.into_body(), 1 << 10).await.unwrap_or_default();
        match (call.0, call.1.as_str()) {
            (Method::GET, SUSPECTS_PATH) => {
                let end = Evidence {
                    endpoint: "i-1".parse().expect("an id"),
                    incarnation: Some(EndpointIncarnation(7)),
                    at: UnixMillis(1_500),
                };
                let unknown = Evidence { incarnation: None, ..end.clone() };
                let kind = SuspectKind::Request;
                let suspect =
                    Suspect { digest: digest(), kind, crashes: vec![end.clone(), unknown] };
                let kind = SuspectKind::Part;
                let part = Suspect { digest: part_digest(), kind, crashes: vec![end] };
                web::json(StatusCode::OK, &vec![suspect, part])
            }
            (Method::POST, RELEASE_PATH) => match serde_json::from_slice::<ReleaseRequest>(&body) {
                Ok(let_go) if let_go.digest == digest() => web::json(StatusCode::OK, &let_go),
                _ => web::text(StatusCode::NOT_FOUND, "no suspect here\n"),
            },
            _ => web::text(StatusCode::NOT_FOUND, ""),
        }
    };
    tokio::spawn(web::serve(listener, ServeOptions::default(), stopped, handler));
    (addr, stop)
}

#[tokio::test]
async fn shows_what_speaks_against_each_suspect() {
    let (addr, _stop) = router().await;
    let mut out = Vec::new();
    assert_eq!(list(addr, &mut out).await.expect("an answer"), Exit::Done);
    let expected = format!(
        "suspects: 2\n  {} (request)\n    endpoint i-1 ended, life 7, at 1500 ms\n    endpoint i-1 ended, life unknown, at 1500 ms\n\
         \x20 {} (part of prompts)\n    endpoint i-1 ended, life 7, at 1500 ms\n",
        digest(),
        part_digest()
    );
    assert_eq!(String::from_utf8(out).expect("text"), expected);
}

#[tokio::test]
async fn lets_a_suspect_go_and_says_why_not() {
    let (addr, _stop) = router().await;
    let mut out = Vec::new();
    assert_eq!(release(addr, digest(), &mut out).await.expect("an answer"), Exit::Done);
    assert!(String::from_utf8(out).expect("text").ends_with("is served again\n"));
    let other = Digest::of(&[b"another"]);
    let error = release(addr, other, &mut Vec::new()).await.expect_err("no suspect");
    assert_eq!(error.exit(), Exit::Failed);
    assert!(error.to_string().contains("no suspect here"), "{error}");
}
