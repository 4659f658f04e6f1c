//! The log service over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use units::Offset;
use web::{CallError, Client};

use crate::link::{Answer, CALL_LIMIT, Link, POLL_LIMIT};
use crate::{Entry, LogError, LogService, Page, Stream};

/// The largest page, in bytes: 1,000 records, most of which may be parts of a snapshot of the state with 32 KB of text each, and twice as
/// much where their text is escaped.
const MAX_PAGE_BYTES: usize = 64 << 20;

/// The body of an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendBody {
    /// The records' text.
    pub records: Vec<String>,
}

/// The answer to an append, and the body of a 410 to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct FirstBody {
    /// The offset of the first record, appended or still kept.
    pub first: Offset,
}

/// The answer to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct PageBody {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// The newest offset.
    pub last: Offset,
    /// The records.
    pub records: Vec<RecordBody>,
}

/// A record within the answer to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordBody {
    /// Its place.
    pub offset: Offset,
    /// Its text.
    pub data: String,
}

/// A client of the log service over HTTP.
#[derive(Debug)]
pub struct HttpLog {
    link: Link,
    limit: Duration,
}

impl HttpLog {
    /// A client of the log service at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self { link: Link::with_client(addr, page_client), limit: CALL_LIMIT }
    }

    /// Sets how long a call may take besides the wait of a read.
    #[must_use]
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }
}

#[async_trait]
impl LogService for HttpLog {
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, LogError> {
        let records = records
            .into_iter()
            .map(|record| String::from_utf8(record.into()))
            .collect::<Result<_, _>>()
            .map_err(|error| LogError::Refused(error.to_string()))?;
        let path = format!("/v1/streams/{}/append", stream.as_str());
        match self.link.post(&path, &AppendBody { records }, self.limit).await {
            Ok(answer) => appended(&answer),
            Err(error @ CallError::Connect { .. }) => Err(LogError::Refused(error.to_string())),
            Err(error) => Err(LogError::Unknown(error.to_string())),
        }
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, LogError> {
        let wait = wait.min(POLL_LIMIT);
        let name = stream.as_str();
        let path = format!("/v1/streams/{name}/records?from={from}&wait_ms={}", wait.as_millis());
        match self.link.get(&path, self.limit + wait).await {
            Ok(answer) => page(&answer),
            Err(error) => Err(LogError::Unreadable(error.to_string())),
        }
    }
}

fn page_client() -> Client {
    Client::default().with_max_response(MAX_PAGE_BYTES).with_own_budget(MAX_PAGE_BYTES)
}

/// Only a refusal that the service gave itself proves that the append had no effect.
fn appended(answer: &Answer) -> Result<Offset, LogError> {
    let status = answer.status;
    if status.is_success() {
        let body = answer.json::<FirstBody>();
        return body.map(|body| body.first).map_err(LogError::Unknown);
    }
    let refused = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    let text = format!("{status}: {}", answer.text());
    Err(if refused { LogError::Refused(text) } else { LogError::Unknown(text) })
}

fn page(answer: &Answer) -> Result<Page, LogError> {
    if answer.status == StatusCode::GONE {
        let body = answer.json::<FirstBody>().map_err(LogError::Unreadable)?;
        return Err(LogError::Expired { first: body.first });
    }
    if !answer.status.is_success() {
        return Err(LogError::Unreadable(format!("{}: {}", answer.status, answer.text())));
    }
    let body = answer.json::<PageBody>().map_err(LogError::Unreadable)?;
    let entry = |record: RecordBody| Entry { offset: record.offset, data: record.data.into() };
    let entries = body.records.into_iter().map(entry).collect();
    Ok(Page { first: body.first, last: body.last, entries })
}
