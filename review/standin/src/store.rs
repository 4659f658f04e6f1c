//! The platform's store: a log with topics of one partition, as the pages describe it. It has no faults.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http::{Message, Wire};

type Record = (String, Vec<u8>);

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    topics: Arc<Mutex<HashMap<String, Vec<Record>>>>,
    changed: Arc<Notify>,
}

impl Store {
    pub async fn start(addr: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).await.expect("the store's address");
        let addr = listener.local_addr().expect("an address");
        let store = Self { addr, topics: Arc::default(), changed: Arc::default() };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().connection(Wire::new(stream)));
            }
        });
        store
    }

    /// Writes a record as the operator or a server does; null removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let bytes = if value.is_null() { Vec::new() } else { value.to_string().into_bytes() };
        let mut topics = self.topics.lock().expect("no panic");
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), bytes));
        drop(topics);
        self.changed.notify_waiters();
    }

    async fn connection(self, mut wire: Wire) {
        while let Ok(request) = wire.message().await {
            let (status, kind, body) = self.answer(&request).await;
            // An answer takes a few milliseconds.
            tokio::time::sleep(Duration::from_millis(4)).await;
            let head = format!("Content-Type: {kind}\r\nStore-Era: 0\r\n");
            if wire.respond(status, &head, &body).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Message) -> (&'static str, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        let topic = request.query("topic").unwrap_or("").to_owned();
        match (request.method(), request.path()) {
            ("POST", "/-/log-append") => {
                let at: Option<usize> = request.query("at").and_then(|at| at.parse().ok());
                let mut topics = self.topics.lock().expect("no panic");
                let records = topics.entry(topic.clone()).or_default();
                let offset = records.len();
                if at.is_some_and(|at| at != offset) {
                    let body = json!({"endOffset": offset}).to_string();
                    return ("412 Precondition Failed", JSON, body.into_bytes());
                }
                let mut rest = request.body.as_slice();
                while rest.len() >= 4 {
                    let (length, after) = rest.split_at(4);
                    let length = u32::from_be_bytes(length.try_into().expect("four")) as usize;
                    let (record, after) = after.split_at(length.min(after.len()));
                    rest = after;
                    records.push(split(&topic, record));
                }
                let end = records.len();
                drop(topics);
                self.changed.notify_waiters();
                let body = json!({"offset": offset, "endOffset": end}).to_string();
                ("200 OK", JSON, body.into_bytes())
            }
            ("GET", "/-/log-read") => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let from = number("fromRevision").unwrap_or(0);
                let wait = number("waitMs").unwrap_or(0).min(30_000);
                self.read(&topic, from, Duration::from_millis(wait as u64)).await
            }
            ("GET", "/-/log-newest") => {
                let topics = self.topics.lock().expect("no panic");
                let records = topics.get(&topic).cloned().unwrap_or_default();
                let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                newest.retain(|_, (_, value)| !value.is_empty());
                let items: Vec<Value> = newest
                    .into_iter()
                    .map(|(key, (offset, value))| {
                        json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
                    })
                    .collect();
                let body = json!({"items": items, "hasMore": false, "endOffset": records.len()});
                ("200 OK", JSON, body.to_string().into_bytes())
            }
            _ => ("404 Not Found", "text/plain", Vec::new()),
        }
    }

    async fn read(
        &self,
        topic: &str,
        from: usize,
        wait: Duration,
    ) -> (&'static str, &'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let topics = self.topics.lock().expect("no panic");
                let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
                if from > records.len() {
                    let body = json!({"firstOffset": 0}).to_string().into_bytes();
                    return ("410 Gone", "application/json", body);
                }
                if from < records.len() || Instant::now() >= until {
                    let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                    bytes.extend(0_u64.to_be_bytes());
                    for record in &records[from..] {
                        let raw = join(topic, record);
                        bytes.extend((raw.len() as u32).to_be_bytes());
                        bytes.extend(raw);
                    }
                    return ("200 OK", "application/octet-stream", bytes);
                }
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}

fn split(topic: &str, record: &[u8]) -> Record {
    if !topic.starts_with("keyed.") || record.is_empty() {
        return (String::new(), record.to_vec());
    }
    let length = usize::from(record[0]).min(record.len() - 1);
    let (key, value) = record[1..].split_at(length);
    (String::from_utf8_lossy(key).into_owned(), value.to_vec())
}

fn join(topic: &str, (key, value): &Record) -> Vec<u8> {
    if !topic.starts_with("keyed.") {
        return value.clone();
    }
    let mut raw = vec![key.len() as u8];
    raw.extend(key.as_bytes());
    raw.extend(value);
    raw
}
