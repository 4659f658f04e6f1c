//! The log service: an in-memory log with faults, served over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use edge::{
    AppendBody, Entry, FirstBody, LogError, LogService, Page, PageBody, RecordBody, Stream,
};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use units::{Offset, Span};
use web::{BindError, Body};

use crate::clock::wall_ms;
use crate::gate::Silence;
use crate::server::{self, Answer, Cut, Running, Wanted, done, query, refuse};

/// The settings of a log service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The most appends a second, over all streams; more are refused with 429.
    pub rate: u32,
    /// How many records each stream keeps; without it, all.
    pub retention: Option<usize>,
    /// How long each stream keeps a record; without it, for good.
    pub age: Option<Span>,
    /// How long each call takes.
    pub delay: Span,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { rate: 300, retention: None, age: None, delay: Span::default() }
    }
}

/// A fault of a log service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum LogFault {
    /// No faults from now on; retention and rate are as the settings say.
    None,
    /// Connections are cut without an answer, and appends have no effect.
    Outage,
    /// Appends are refused with 429; reads work.
    Refuse,
    /// Each call takes this long.
    Slow {
        /// How long.
        delay: Span,
    },
    /// The next appends take effect, but their connections are cut without an answer.
    Lose {
        /// How many.
        count: u32,
    },
    /// Connections of appends are cut without an answer, and the records appear later.
    Late {
        /// How much later.
        span: Span,
    },
    /// All records of a stream before an offset expire.
    Expire {
        /// `control` or `keys`.
        stream: String,
        /// The oldest offset that stays.
        before: Offset,
    },
    /// Connections that exist deliver nothing any more; new ones work.
    Silence,
}

/// What really happened at a log service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogTruth {
    /// Appends that were asked for.
    pub appends: u64,
    /// Appends that were refused.
    pub refused: u64,
    /// Records that took effect.
    pub records: u64,
    /// Bytes of the records that took effect.
    pub bytes: u64,
    /// Reads that were asked for.
    pub reads: u64,
    /// Appends that were asked for, by second since 1970.
    pub seconds: BTreeMap<u64, u32>,
    /// The newest offset of each stream.
    pub last: BTreeMap<String, Offset>,
}

/// A stand-in for the log service.
#[derive(Debug, Clone)]
pub struct Log {
    core: fake::Log,
    seconds: Arc<Mutex<BTreeMap<u64, u32>>>,
    settings: LogSettings,
    silence: Silence,
}

impl Log {
    /// Starts it with no records.
    pub async fn start(addr: SocketAddr, settings: LogSettings) -> Result<Running, BindError> {
        Self::serve(addr, settings, fake::Log::default()).await
    }

    /// Serves a log that the caller keeps hold of.
    pub async fn serve(
        addr: SocketAddr,
        settings: LogSettings,
        core: fake::Log,
    ) -> Result<Running, BindError> {
        let silence = Silence::default();
        let log = Self { core, seconds: Arc::default(), settings, silence: silence.clone() };
        log.reset();
        server::start(addr, silence, move |request| log.clone().answer(request)).await
    }

    fn reset(&self) {
        let settings = self.settings.clone();
        self.core.set(|faults| {
            *faults = fake::Faults {
                rate: Some(settings.rate),
                retention: settings.retention,
                age: settings.age.map(|age| age.0),
                delay: settings.delay.0,
                ..fake::Faults::default()
            };
        });
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["v1", "streams", name, "append"]) => match stream(name) {
                Some(stream) => self.append(stream, request).await,
                None => Ok(no_stream()),
            },
            (&Method::GET, ["v1", "streams", name, "records"]) => match stream(name) {
                Some(stream) => self.read(stream, request).await,
                None => Ok(no_stream()),
            },
            (&Method::GET, ["truth"]) => Ok(web::json(StatusCode::OK, &self.truth())),
            (&Method::POST, ["faults"]) => Ok(self.fault(request).await),
            _ => {
                Ok(refuse(StatusCode::NOT_FOUND, "a log has /v1/streams/NAME/append and /records"))
            }
        }
    }

    async fn append(&self, stream: Stream, request: Request<Incoming>) -> Answer {
        let body: AppendBody = match server::body(request).await {
            Ok(body) => body,
            Err(bad) => return Ok(bad.answer()),
        };
        self.count();
        let records = body.records.into_iter().map(Into::into).collect();
        // An append that arrived takes its course, whether or not its writer waits.
        let core = self.core.clone();
        let appended = tokio::spawn(async move { core.append(stream, records).await }).await;
        match appended.map_err(|_| Cut)? {
            Ok(first) => Ok(web::json(StatusCode::OK, &FirstBody { first })),
            Err(LogError::Refused(text)) => Ok(refuse(StatusCode::TOO_MANY_REQUESTS, text)),
            Err(_) => Err(Cut),
        }
    }

    async fn read(&self, stream: Stream, request: Request<Incoming>) -> Answer {
        let from = Offset(query(&request, "from").unwrap_or(1));
        let wait = Duration::from_millis(query(&request, "wait_ms").unwrap_or(0));
        match self.core.read(stream, from, wait).await {
            Ok(page) => Ok(web::json(StatusCode::OK, &page_body(page))),
            Err(LogError::Expired { first }) => {
                Ok(web::json(StatusCode::GONE, &FirstBody { first }))
            }
            Err(_) => Err(Cut),
        }
    }

    fn count(&self) {
        let mut seconds = self.seconds.lock().unwrap_or_else(PoisonError::into_inner);
        *seconds.entry(wall_ms() / 1000).or_default() += 1;
    }

    fn truth(&self) -> LogTruth {
        let counters = self.core.counters();
        let streams = [Stream::Control, Stream::Keys];
        let last = |stream: Stream| (stream.as_str().to_owned(), self.core.records(stream).last);
        LogTruth {
            appends: counters.appends,
            refused: counters.refused,
            records: counters.records,
            bytes: counters.bytes,
            reads: counters.reads,
            seconds: self.seconds.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            last: streams.map(last).into(),
        }
    }

    async fn fault(&self, request: Request<Incoming>) -> Response<Body> {
        let Wanted { fault, age } = match server::wanted(request).await {
            Ok(wanted) => wanted,
            Err(bad) => return bad.answer(),
        };
        match fault {
            LogFault::None => self.reset(),
            LogFault::Outage => self.core.set(|faults| faults.outage = true),
            LogFault::Refuse => self.core.set(|faults| faults.refuse = true),
            LogFault::Slow { delay } => self.core.set(|faults| faults.delay = delay.0),
            LogFault::Lose { count } => self.core.set(|faults| faults.lost = count),
            LogFault::Late { span } => self.core.set(|faults| faults.late = Some(span.0)),
            LogFault::Expire { stream: name, before } => match stream(&name) {
                Some(stream) => self.core.expire(stream, before),
                None => return no_stream(),
            },
            LogFault::Silence => server::silence(&self.silence, age.as_ref()),
        }
        done()
    }
}

fn stream(name: &str) -> Option<Stream> {
    [Stream::Control, Stream::Keys].into_iter().find(|stream| stream.as_str() == name)
}

fn no_stream() -> Response<Body> {
    refuse(StatusCode::NOT_FOUND, "the streams are control and keys")
}

fn page_body(page: Page) -> PageBody {
    let record = |entry: Entry| RecordBody {
        offset: entry.offset,
        data: String::from_utf8_lossy(&entry.data).into_owned(),
    };
    let records = page.entries.into_iter().map(record).collect();
    PageBody { first: page.first, last: page.last, records }
}
