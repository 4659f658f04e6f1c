//! A client of streams, which takes a stream up with a new request on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::http::Wire;
use crate::record::Record;

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The answer is complete.
    Complete,
    /// Another status than 200, with the seconds of `Retry-After` if there are any.
    Refused(u16, Option<f64>),
    /// No connection, or none within a second.
    NoConnection,
    /// The connection ended before the answer did.
    Broken,
    /// Nothing arrived for longer than the client waits.
    Gap,
    /// The client's deadline has passed.
    Deadline,
}

pub struct StreamClient {
    pub name: String,
    pub path: String,
    pub model: String,
    pub deadline: Instant,
    /// The longest gap that the client bears.
    pub gap: Duration,
    /// The request that brought the first event.
    pub first: Option<String>,
    /// The events so far: id and version.
    pub events: Vec<(u64, String)>,
    pub attempts: u32,
    pub record: Record,
}

impl StreamClient {
    pub fn last_event(&self) -> u64 {
        self.events.last().map_or(0, |(id, _)| *id)
    }

    /// The versions that wrote the events.
    pub fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<&str> = self.events.iter().map(|(_, version)| version.as_str()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Whether the events from the first one on arrived once each and in order.
    pub fn in_order(&self) -> bool {
        self.events.iter().map(|(id, _)| *id).eq(1..=self.events.len() as u64)
    }

    pub async fn attempt(&mut self, router: SocketAddr) -> End {
        self.attempts += 1;
        let id = format!("{}-{}", self.name, self.attempts);
        let before = self.last_event();
        let end = match timeout_at(self.deadline, self.try_once(router, &id)).await {
            Ok(end) => end,
            Err(_) => End::Deadline,
        };
        let (first, last) = (before + 1, self.last_event());
        let events = if last >= first { format!("events {first} to {last}") } else { "no event".to_owned() };
        let versions = self.versions().join("+");
        self.record.line(&format!("answer  {id} from {router}: {events}, {end:?}; the stream has {versions}"));
        end
    }

    async fn try_once(&mut self, router: SocketAddr, id: &str) -> End {
        let left = self.deadline.saturating_duration_since(Instant::now()).as_millis();
        let mut resumed = String::new();
        if let Some(first) = &self.first {
            resumed = format!("Resumes: {first}\r\nLast-Event-Id: {}\r\n", self.last_event());
        }
        let said = resumed.trim_end().replace("\r\n", ", ");
        self.record.line(&format!("request {id} to {router} {said}"));
        let Ok(Ok(stream)) = timeout(Duration::from_secs(1), TcpStream::connect(router)).await else {
            return End::NoConnection;
        };
        let mut wire = Wire::new(stream);
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: {}\r\nToken-Count: 826,300\r\n\
             Prompt-Prefix: 5c1e07a2:198,{id}:628\r\nDeadline-Ms: {left}\r\n{resumed}Content-Length: 6\r\n\r\nprompt",
            self.path, self.model
        );
        if wire.stream.write_all(text.as_bytes()).await.is_err() {
            return End::Broken;
        }
        let head = match timeout(self.gap, wire.head()).await {
            Ok(Ok(head)) => head,
            Ok(Err(_)) => return End::Broken,
            Err(_) => return End::Gap,
        };
        if head.status() != 200 {
            let after = head.header("retry-after").and_then(|text| text.parse().ok());
            return End::Refused(head.status(), after);
        }
        loop {
            let chunk = match timeout(self.gap, wire.chunk()).await {
                Ok(Ok(chunk)) => chunk,
                Ok(Err(_)) => return End::Broken,
                Err(_) => return End::Gap,
            };
            if chunk.is_empty() {
                return End::Complete;
            }
            // The servers send each event in one write, and routers pass whole events on.
            let text = String::from_utf8_lossy(&chunk).into_owned();
            for event in text.split("\n\n").filter(|event| !event.is_empty()) {
                let mut lines = event.lines();
                let number = lines.find_map(|line| line.strip_prefix("id: "));
                let data = lines.find_map(|line| line.strip_prefix("data: "));
                let (Some(number), Some(data)) = (number, data) else { continue };
                let version = data.split_once(" of ").map_or("?", |(_, version)| version);
                self.first.get_or_insert_with(|| id.to_owned());
                self.events.push((number.parse().unwrap_or(0), version.to_owned()));
            }
        }
    }
}
