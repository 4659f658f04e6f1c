//! A plain server of an application. A request whose body begins with `crash` ends it as soon as it begins to run; it is back after a
//! while, under a new id at the same address.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::http::{Message, Wire};
use crate::record::Record;
use crate::store::Store;

/// How long the platform keeps the entry of a server that sends nothing: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3_600);

/// A request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub body: String,
    pub at: Instant,
}

/// What all servers of the service saw.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    runs: Arc<Mutex<Vec<Run>>>,
    crashes: Arc<Mutex<Vec<Run>>>,
}

impl Seen {
    pub fn runs(&self, body: &str) -> Vec<Instant> {
        times(&self.runs, body)
    }

    pub fn crashes(&self, body: &str) -> Vec<Instant> {
        times(&self.crashes, body)
    }
}

fn times(all: &Mutex<Vec<Run>>, body: &str) -> Vec<Instant> {
    let all = all.lock().expect("no panic");
    all.iter().filter(|run| run.body == body).map(|run| run.at).collect()
}

#[derive(Clone)]
pub struct Plain {
    name: String,
    addr: SocketAddr,
    zone: String,
    work: Duration,
    downtime: Duration,
    lives: Arc<AtomicU32>,
    store: Store,
    seen: Seen,
    record: Record,
}

pub struct Setup<'a> {
    pub name: &'a str,
    pub ip: IpAddr,
    pub zone: &'a str,
    pub work: Duration,
    pub downtime: Duration,
}

impl Plain {
    pub async fn start(setup: Setup<'_>, store: &Store, seen: &Seen, record: &Record) {
        let listener = TcpListener::bind((setup.ip, 8_145)).await.expect("a server's address");
        let server = Self {
            name: setup.name.to_owned(),
            addr: listener.local_addr().expect("an address"),
            zone: setup.zone.to_owned(),
            work: setup.work,
            downtime: setup.downtime,
            lives: Arc::default(),
            store: store.clone(),
            seen: seen.clone(),
            record: record.clone(),
        };
        tokio::spawn(server.live(listener));
    }

    fn id(&self) -> String {
        format!("{}-{}", self.name, self.lives.load(Ordering::Relaxed))
    }

    fn entry(&self) -> Value {
        json!({"service": "darwaza", "address": self.addr.to_string(), "zone": self.zone, "version": "2.0.0", "slots": 6,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1})
    }

    async fn live(self, mut listener: TcpListener) {
        loop {
            let id = self.id();
            self.store.put("keyed.servers", &id, &self.entry());
            self.record.line(&format!("server  {id} is there"));
            let crash = Arc::new(watch::Sender::new(false));
            let mut crashed = crash.subscribe();
            loop {
                let stream = tokio::select! {
                    Ok((stream, _)) = listener.accept() => stream,
                    _ = crashed.wait_for(|crashed| *crashed) => break
                };
                let (server, crash) = (self.clone(), crash.clone());
                tokio::spawn(async move {
                    let mut crashed = crash.subscribe();
                    tokio::select! {
                        () = server.connection(Wire::new(stream), &crash) => {}
                        _ = crashed.wait_for(|crashed| *crashed) => {}
                    }
                });
            }
            drop(listener);
            self.record.line(&format!("server  {id} has crashed"));
            let (store, record) = (self.store.clone(), self.record.clone());
            tokio::spawn(async move {
                sleep(LAPSE).await;
                store.put("keyed.servers", &id, &Value::Null);
                record.line(&format!("server  the entry of {id} has lapsed"));
            });
            sleep(self.downtime).await;
            listener = TcpListener::bind(self.addr).await.expect("the same address");
            self.lives.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn connection(&self, mut wire: Wire, crash: &watch::Sender<bool>) {
        while let Ok(request) = wire.message().await {
            let answered = if request.path() == "/health" {
                wire.respond("200 OK", &format!("Instance-Id: {}\r\n", self.id()), b"").await
            } else {
                self.run(&mut wire, &request, crash).await
            };
            if answered.is_err() {
                return;
            }
        }
    }

    async fn run(&self, wire: &mut Wire, request: &Message, crash: &watch::Sender<bool>) -> std::io::Result<()> {
        let (id, own) = (request.header("request-id").unwrap_or(""), self.id());
        if request.header("expect-instance").is_some_and(|expected| expected != own) {
            let head = format!("Request-Id: {id}\r\nInstance-Id: {own}\r\nNot-Executed: 1\r\n");
            return wire.respond("421 Misdirected Request", &head, b"").await;
        }
        // The part of the prompt that crashes servers names the request; else its body does.
        let parts = request.header("prompt-prefix").unwrap_or("").split(',').map(|part| part.split(':').next().unwrap_or(""));
        let bad = parts.filter(|part| part.starts_with("bad")).map(|part| format!("crash {part}")).next();
        let body = bad.unwrap_or_else(|| String::from_utf8_lossy(&request.body).into_owned());
        let run = Run { body: body.clone(), at: Instant::now() };
        self.seen.runs.lock().expect("no panic").push(run.clone());
        self.record.line(&format!("run     {id} ({body}) at {own}"));
        if body.starts_with("crash") {
            sleep(Duration::from_millis(10)).await;
            self.seen.crashes.lock().expect("no panic").push(run);
            crash.send_replace(true);
        }
        sleep(self.work).await;
        let head = format!("Request-Id: {id}\r\nResponse-Signature: s.{own}.{id}\r\nKeep-Alive: timeout=5\r\n");
        wire.respond("200 OK", &head, format!("done {body}").as_bytes()).await
    }
}
