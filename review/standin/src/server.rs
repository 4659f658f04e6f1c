//! A model server. It holds its models from the start, streams events at a steady pace, and names its software version in each
//! event, so that a client can tell which version wrote it.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{Message, Wire};
use crate::record::Record;

#[derive(Debug, Default)]
struct State {
    leaving: bool,
    sequence: u64,
    fence: u64,
    running: u32,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    pub version: String,
    zone: String,
    models: Vec<String>,
    born: u64,
    /// The number of events of a whole stream, and the time between two.
    events: u64,
    gap: Duration,
    state: Arc<Mutex<State>>,
    gone: Arc<watch::Sender<bool>>,
    record: Record,
}

pub struct Setup<'a> {
    pub id: &'a str,
    pub ip: IpAddr,
    pub version: &'a str,
    pub zone: &'a str,
    pub models: &'a [&'a str],
    pub events: u64,
    pub gap: Duration,
}

impl Server {
    pub async fn start(setup: Setup<'_>, record: &Record) -> Self {
        let listener = TcpListener::bind((setup.ip, 0)).await.expect("a server's address");
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let server = Self {
            id: setup.id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            version: setup.version.to_owned(),
            zone: setup.zone.to_owned(),
            models: setup.models.iter().map(|name| (*name).to_owned()).collect(),
            born: since.as_millis() as u64,
            events: setup.events,
            gap: setup.gap,
            state: Arc::default(),
            gone: Arc::new(watch::Sender::new(false)),
            record: record.clone(),
        };
        let serving = server.clone();
        tokio::spawn(async move {
            let mut gone = serving.gone.subscribe();
            loop {
                let stream = tokio::select! {
                    Ok((stream, _)) = listener.accept() => stream,
                    _ = gone.wait_for(|gone| *gone) => return
                };
                let (server, mut gone) = (serving.clone(), serving.gone.subscribe());
                tokio::spawn(async move {
                    tokio::select! {
                        () = server.connection(Wire::new(stream)) => {}
                        _ = gone.wait_for(|gone| *gone) => {}
                    }
                });
            }
        });
        server
    }

    /// The server's entry in the store.
    pub fn entry(&self, service: &str) -> Value {
        let state = self.state.lock().expect("no panic");
        json!({"service": service, "address": self.addr.to_string(), "zone": self.zone, "version": self.version,
            "slots": 64, "state": if state.leaving { "draining" } else { "ready" }, "coldRemainingMs": 0,
            "sequence": 1, "born": self.born, "stage": "both", "models": self.held(),
            "available": {"inMemory": self.models, "onDisk": self.models}})
    }

    fn held(&self) -> Value {
        self.models.iter().map(|name| json!({"name": name, "version": 1, "adapters": []})).collect()
    }

    /// Says from now on in all answers that it leaves.
    pub fn leave(&self) {
        self.state.lock().expect("no panic").leaving = true;
    }

    pub fn running(&self) -> u32 {
        self.state.lock().expect("no panic").running
    }

    /// Ends the server with all its connections.
    pub fn end(&self) {
        self.gone.send_replace(true);
    }

    fn hints(&self) -> &'static str {
        if self.state.lock().expect("no panic").leaving { "Server-Leaving: 1\r\n" } else { "" }
    }

    async fn connection(self, mut wire: Wire) {
        while let Ok(request) = wire.message().await {
            let head = format!("Instance-Id: {}\r\n{}", self.id, self.hints());
            let answered = match request.path() {
                "/-/report" => {
                    let body = self.report().to_string();
                    let head = format!("Content-Type: application/json\r\n{head}");
                    wire.respond("200 OK", &head, body.as_bytes()).await
                }
                "/health" => wire.respond("200 OK", &head, b"").await,
                "/-/order" => {
                    let status = self.order(&request);
                    wire.respond(status, &head, b"").await
                }
                _ => self.run(&mut wire, &request).await,
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> Value {
        let state = self.state.lock().expect("no panic");
        json!({"born": self.born, "stage": "both", "models": self.held(), "busy": false, "sequence": state.sequence,
            "queuedRequests": 0, "runningRequests": state.running, "kvCacheUsed": 0, "kvCacheTotal": 157_353,
            "handles": 0, "incoming": [], "state": if state.leaving { "draining" } else { "ready" },
            "available": {"inMemory": self.models, "onDisk": self.models}})
    }

    /// The models that it holds are all that there are, so an order to load one holds already.
    fn order(&self, request: &Message) -> &'static str {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return "421 Misdirected Request";
        }
        let (Some(token), Some(_)) = (order["fencingToken"].as_u64(), order["holder"].as_str()) else {
            return "400 Bad Request";
        };
        let mut state = self.state.lock().expect("no panic");
        if token < state.fence {
            return "412 Precondition Failed";
        }
        state.fence = token;
        if order["expected"].as_u64().is_some_and(|expected| expected != state.sequence) {
            return "409 Conflict";
        }
        if order["operation"] == "loading" { "200 OK" } else { "400 Bad Request" }
    }

    async fn run(&self, wire: &mut Wire, request: &Message) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let other = request.header("expect-instance").is_some_and(|expected| expected != self.id);
        let held = request.header("model").is_none_or(|model| self.models.iter().any(|m| m == model));
        if other || !held {
            let head = format!("Request-Id: {id}\r\nInstance-Id: {}\r\nNot-Executed: 1\r\n", self.id);
            return wire.respond("421 Misdirected Request", &head, b"").await;
        }
        let after: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.record.line(&format!("run     {id} at {} ({}) after event {after}", self.id, self.version));
        self.state.lock().expect("no panic").running += 1;
        let streamed = self.stream(wire, &id, after).await;
        self.state.lock().expect("no panic").running -= 1;
        streamed
    }

    async fn stream(&self, wire: &mut Wire, id: &str, after: u64) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{}.{id}\r\nWeight-Versions: 1\r\n{}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.hints()
        );
        // The prompt is read.
        tokio::time::sleep(Duration::from_millis(30)).await;
        wire.stream.write_all(head.as_bytes()).await?;
        for number in after + 1..=self.events {
            let text = format!("id: {number}\ndata: piece {number} of {}\n\n", self.version);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            wire.stream.write_all(chunk.as_bytes()).await?;
            let mut byte = [0];
            tokio::select! {
                () = tokio::time::sleep(self.gap) => {}
                // The caller has closed the connection.
                _ = wire.stream.read(&mut byte) => return Err(std::io::ErrorKind::UnexpectedEof.into())
            }
        }
        wire.stream.write_all(b"0\r\n\r\n").await
    }
}
