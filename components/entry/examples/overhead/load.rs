//! Callers that ask one request after another.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Which way a call takes.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Route {
    /// To the endpoint.
    Direct,
    /// To the entry, and from there over the agent's protocol.
    Entry,
}

/// What a load showed; times in milliseconds.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) count: u64,
    pub(crate) rate: f64,
    pub(crate) p50: f64,
    pub(crate) p99: f64,
    pub(crate) first_p50: f64,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    first: Duration,
    whole: Duration,
}

/// Runs `width` callers for a while.
pub(crate) async fn measure(
    (addr, prefix): (SocketAddr, &'static str),
    path: &str,
    width: usize,
    span: Duration,
) -> Load {
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..width {
        callers.spawn(caller(addr, format!("{prefix}{path}"), began + span));
    }
    let samples: Vec<Sample> = callers.join_all().await.into_iter().flatten().collect();
    let rate = samples.len() as f64 / began.elapsed().as_secs_f64();
    Load {
        count: samples.len() as u64,
        rate,
        p50: percentile(&samples, 0.5, |sample| sample.whole),
        p99: percentile(&samples, 0.99, |sample| sample.whole),
        first_p50: percentile(&samples, 0.5, |sample| sample.first),
    }
}

/// Opens streams and keeps them open until the result is dropped.
pub(crate) async fn hold(
    (addr, prefix): (SocketAddr, &'static str),
    count: usize,
) -> Vec<(SendRequest<Full<Bytes>>, Response<Incoming>)> {
    let mut held = Vec::new();
    for _ in 0..count {
        let mut sender = connect(addr).await;
        let mut response = ask(&mut sender, &format!("{prefix}/hold")).await;
        let _first = response.body_mut().frame().await;
        held.push((sender, response));
    }
    held
}

async fn caller(addr: SocketAddr, path: String, until: Instant) -> Vec<Sample> {
    let mut sender = connect(addr).await;
    let mut samples = Vec::new();
    while Instant::now() < until {
        let began = Instant::now();
        let response = ask(&mut sender, &path).await;
        let first = began.elapsed();
        response.into_body().collect().await.expect("the answer is whole");
        samples.push(Sample { first, whole: began.elapsed() });
    }
    samples
}

async fn ask(sender: &mut SendRequest<Full<Bytes>>, path: &str) -> Response<Incoming> {
    let body = Full::new(Bytes::from_static(&[b'q'; 300]));
    let request = Request::post(path).header("host", "bench").body(body).expect("a request");
    sender.ready().await.expect("the connection is open");
    let response = sender.send_request(request).await.expect("an answer");
    assert!(response.status().is_success(), "{}", response.status());
    response
}

async fn connect(addr: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(addr).await.expect("the server listens");
    stream.set_nodelay(true).expect("a TCP option");
    let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("a connection");
    tokio::spawn(connection);
    sender
}

fn percentile(samples: &[Sample], part: f64, value: impl Fn(&Sample) -> Duration) -> f64 {
    let mut times: Vec<Duration> = samples.iter().map(value).collect();
    times.sort_unstable();
    let at = (times.len() as f64 * part) as usize;
    times.get(at.min(times.len().saturating_sub(1))).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
