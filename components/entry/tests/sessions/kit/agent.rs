//! A scripted agent that speaks the protocol between entry and agent.

use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use super::transcript::{Transcript, rounded};
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::sync::Notify;
use units::{Incarnation, RequestId, Span};
use web::Body;
use wire::{Dispatch, Refusal, Report, ResponseEnd, Resume, UnknownCause, end_trailers};

/// What the agent does with the next dispatch.
#[derive(Debug, Clone)]
pub(crate) enum Act {
    /// Runs it and answers with these bytes.
    Answer { content: &'static str, body: &'static str },
    /// Runs it, and answers with this status.
    Status { status: u16, content: &'static str, body: &'static str },
    /// Runs it once it is released.
    Hold(&'static str),
    /// Runs it after a time.
    After(Duration, &'static str),
    /// Runs it, and cuts the stream after so many bytes; a resume gets the rest.
    CutAt { content: &'static str, body: &'static str, at: usize },
    /// Runs it; every stream of its answer is cut after so many bytes.
    CutAlways { body: &'static str, at: usize },
    /// Runs it, and streams so many kibibytes of plain text.
    Long { kib: usize },
    /// Runs it, and the endpoint fails after so many bytes.
    FailAt { content: &'static str, body: &'static str, at: usize },
    /// Refuses it.
    Refuse(Refusal),
    /// Says that the outcome is unknown.
    Unknown(UnknownCause),
    /// Runs it and never answers.
    Never,
    /// Keeps it queued and never runs it.
    Queue,
    /// Forgets it, as if it had not arrived, and drops the stream.
    Lose,
    /// Runs it and dies: no connection works any more.
    Die,
    /// Runs it; the answer is lost with the connection, and every later connection of the agent.
    LoseAnswer(&'static str),
}

/// What the agent knows of a request.
#[derive(Debug, Clone)]
enum Row {
    Queued,
    Running,
    Answered { status: u16, content: &'static str, body: &'static str },
    Flaky { body: &'static str, at: usize },
    Failed,
    Tombstone,
}

#[derive(Debug, Default)]
struct Inner {
    acts: VecDeque<Act>,
    rows: HashMap<RequestId, Row>,
    dispatches: Vec<Dispatch>,
    bodies: Vec<Bytes>,
    runs: Vec<RequestId>,
    resumes: Vec<Resume>,
    report: Report,
    dead: bool,
    dying: bool,
}

/// A scripted agent; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Agent {
    name: String,
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: Incarnation,
    inner: Arc<Mutex<Inner>>,
    cut: Arc<Notify>,
    release: Arc<Notify>,
    transcript: Transcript,
}

/// A report of load.
pub(crate) fn report(waiting: u32, running: u32, awake: u32) -> Report {
    Report { waiting, running, awake, warm: true, ..Report::default() }
}

const SSE: &str = "text/event-stream";

impl Agent {
    pub(crate) fn new(
        name: &str,
        addr: SocketAddr,
        incarnation: Incarnation,
        transcript: Transcript,
    ) -> Self {
        let inner = Inner { report: report(0, 0, 1), ..Inner::default() };
        Self {
            name: name.to_owned(),
            addr,
            incarnation,
            inner: Arc::new(Mutex::new(inner)),
            cut: Arc::default(),
            release: Arc::default(),
            transcript,
        }
    }

    /// Lets a request that is held run.
    pub(crate) fn release(&self) {
        self.release.notify_one();
    }

    /// Sets what the next dispatches meet; later ones are answered with `ok`.
    pub(crate) fn script(&self, acts: impl IntoIterator<Item = Act>) {
        self.lock().acts.extend(acts);
    }

    /// Sets the report on every answer.
    pub(crate) fn set_report(&self, report: Report) {
        self.lock().report = report;
    }

    /// The requests that ran, in order.
    pub(crate) fn runs(&self) -> Vec<RequestId> {
        self.lock().runs.clone()
    }

    /// The dispatches that arrived.
    pub(crate) fn dispatches(&self) -> Vec<Dispatch> {
        self.lock().dispatches.clone()
    }

    /// The bodies of the dispatches.
    pub(crate) fn bodies(&self) -> Vec<Bytes> {
        self.lock().bodies.clone()
    }

    /// The resumes that arrived.
    pub(crate) fn resumes(&self) -> Vec<Resume> {
        self.lock().resumes.clone()
    }

    /// Whether new connections can't be opened.
    pub(crate) fn is_dead(&self) -> bool {
        self.lock().dead
    }

    /// Kills the agent, or brings it back.
    pub(crate) fn set_dead(&self, dead: bool) {
        self.lock().dead = dead;
        self.cut_all();
    }

    /// Kills the agent right after the next dispatch; what it has sent by then still arrives.
    pub(crate) fn set_dead_after_dispatch(&self) {
        self.lock().dying = true;
    }

    /// The same agent under a new incarnation, which knows nothing of earlier requests.
    pub(crate) fn reborn(&self, incarnation: Incarnation) -> Self {
        Self::new(&self.name, self.addr, incarnation, self.transcript.clone())
    }

    /// Cuts all open connections.
    pub(crate) fn cut_all(&self) {
        self.cut.notify_waiters();
    }

    /// Serves one connection until it is cut.
    pub(crate) async fn serve<S>(self, socket: S)
    where
        S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Send + Unpin + 'static,
    {
        let cut = self.cut.clone();
        let mut cut = std::pin::pin!(cut.notified());
        cut.as_mut().enable();
        let service = service_fn(move |request| {
            let agent = self.clone();
            async move { Ok::<_, Infallible>(agent.handle(request).await) }
        });
        let connection = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .max_concurrent_streams(10_000)
            .serve_connection(TokioIo::new(socket), service);
        tokio::select! {
            _ = connection => {}
            () = cut => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no test panics while it holds the lock")
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        match parts.uri.path() {
            wire::DISPATCH_PATH => {
                let dispatch = Dispatch::read(&parts.headers).expect("a dispatch has a head");
                self.say(&describe(&dispatch));
                let body = body.collect().await.map(http_body_util::Collected::to_bytes);
                self.dispatch(dispatch, body.unwrap_or_default()).await
            }
            wire::RESUME_PATH => {
                let resume = Resume::read(&parts.headers).expect("a resume has a head");
                let verb = if resume.cancel { "cancel" } else { "resume" };
                self.say(&format!("gets {verb} {} from byte {}", resume.request, resume.from));
                self.resume(resume).await
            }
            other => panic!("no path {other}"),
        }
    }

    async fn dispatch(&self, dispatch: Dispatch, body: Bytes) -> Response<Body> {
        let id = dispatch.request.clone();
        let known = self.lock().rows.contains_key(&id);
        let Some(act) = self.arrive(&dispatch, body) else { return self.vanish().await };
        if dispatch.incarnation != self.incarnation {
            return self.refuse(&Refusal::Incarnation { current: self.incarnation });
        }
        if known {
            // A second dispatch is answered like a resume from the start.
            let Dispatch { request, incarnation, tick, .. } = dispatch;
            return self
                .resume(Resume { request, incarnation, from: 0, cancel: false, tick })
                .await;
        }
        self.act(&id, act).await
    }

    /// What to do with a dispatch; nothing if it shall be as if it had not arrived.
    fn arrive(&self, dispatch: &Dispatch, body: Bytes) -> Option<Act> {
        let mut inner = self.lock();
        let act = inner.acts.pop_front();
        if matches!(act, Some(Act::Lose)) {
            return None;
        }
        inner.dispatches.push(dispatch.clone());
        inner.bodies.push(body);
        inner.dead = inner.dead || inner.dying;
        let ok = Act::Answer { content: "application/json", body: r#"{"ok":true}"# };
        Some(act.unwrap_or(ok))
    }

    async fn act(&self, id: &RequestId, act: Act) -> Response<Body> {
        match act {
            Act::Answer { content, body } => self.run(id, 200, content, body),
            Act::Status { status, content, body } => self.run(id, status, content, body),
            Act::Hold(body) => {
                self.release.notified().await;
                self.run(id, 200, "application/json", body)
            }
            Act::After(pause, body) => {
                self.lock().rows.insert(id.clone(), Row::Queued);
                let (agent, id) = (self.clone(), id.clone());
                let run = tokio::spawn(async move {
                    tokio::time::sleep(pause).await;
                    if agent.is_barred(&id) {
                        return agent.refuse(&Refusal::Cancelled);
                    }
                    agent.run(&id, 200, "application/json", body)
                });
                run.await.expect("a run does not panic")
            }
            Act::CutAt { content, body, at } => {
                self.run(id, 200, content, body);
                self.stream(200, content, &body.as_bytes()[..at], Last::Cut)
            }
            Act::CutAlways { body, at } => {
                self.start(id, Row::Flaky { body, at });
                self.stream(200, SSE, &body.as_bytes()[..at], Last::Cut)
            }
            Act::Long { kib } => {
                self.start(id, Row::Failed);
                let bytes = vec![b'x'; kib << 10];
                let end = ResponseEnd::Whole { length: bytes.len() as u64 };
                self.stream(200, "text/plain", &bytes, Last::End(end))
            }
            Act::FailAt { content, body, at } => {
                self.start(id, Row::Failed);
                let cause = UnknownCause::Endpoint { cause: "the engine died".to_owned() };
                self.stream(
                    200,
                    content,
                    &body.as_bytes()[..at],
                    Last::End(ResponseEnd::Failed(cause)),
                )
            }
            Act::Refuse(refusal) => self.refuse(&refusal),
            Act::Unknown(cause) => {
                self.start(id, Row::Failed);
                self.unknown(&cause)
            }
            Act::Never => {
                self.start(id, Row::Running);
                std::future::pending().await
            }
            Act::Queue => {
                self.lock().rows.insert(id.clone(), Row::Queued);
                std::future::pending().await
            }
            Act::Lose => self.vanish().await,
            Act::Die => {
                self.start(id, Row::Running);
                self.set_dead(true);
                std::future::pending().await
            }
            Act::LoseAnswer(body) => {
                self.run(id, 200, SSE, body);
                self.vanish().await
            }
        }
    }

    fn is_barred(&self, id: &RequestId) -> bool {
        matches!(self.lock().rows.get(id), Some(Row::Tombstone))
    }

    async fn vanish(&self) -> Response<Body> {
        self.cut_all();
        std::future::pending().await
    }

    async fn resume(&self, resume: Resume) -> Response<Body> {
        let row = {
            let mut inner = self.lock();
            if inner.resumes.last() != Some(&resume) {
                inner.resumes.push(resume.clone());
            }
            let row = inner.rows.get(&resume.request).cloned();
            if matches!(row, None | Some(Row::Queued)) && (resume.cancel || row.is_none()) {
                inner.rows.insert(resume.request.clone(), Row::Tombstone);
            }
            row
        };
        if resume.incarnation != self.incarnation {
            return self.unknown(&UnknownCause::AgentGone);
        }
        match row {
            None | Some(Row::Tombstone) => self.refuse(&Refusal::Cancelled),
            Some(Row::Queued) if resume.cancel => self.refuse(&Refusal::Cancelled),
            Some(Row::Running) if resume.cancel => self.unknown(&UnknownCause::Deadline),
            Some(Row::Queued | Row::Running) => {
                tokio::time::sleep(Duration::from_millis(10)).await;
                Box::pin(self.resume(resume)).await
            }
            Some(Row::Flaky { body, at }) => {
                let from = usize::try_from(resume.from).unwrap_or(usize::MAX).min(at);
                self.stream(200, SSE, &body.as_bytes()[from..at], Last::Cut)
            }
            Some(Row::Failed) => self.unknown(&UnknownCause::AnswerDropped),
            Some(Row::Answered { status, content, body }) => {
                let from = usize::try_from(resume.from).unwrap_or(usize::MAX);
                let rest = body.as_bytes().get(from..).unwrap_or_default();
                self.stream(status, content, rest, whole(body))
            }
        }
    }

    fn say(&self, what: &str) {
        self.transcript.add(&self.name, what);
    }

    fn start(&self, id: &RequestId, row: Row) {
        self.say(&format!("runs {id}"));
        let mut inner = self.lock();
        inner.runs.push(id.clone());
        inner.rows.insert(id.clone(), row);
    }

    fn run(
        &self,
        id: &RequestId,
        status: u16,
        content: &'static str,
        body: &'static str,
    ) -> Response<Body> {
        self.start(id, Row::Answered { status, content, body });
        self.stream(status, content, body.as_bytes(), whole(body))
    }

    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        self.say(&format!("refuses: {refusal}"));
        let (response, bytes) = wire::refusal_response(refusal);
        let mut response = response.map(|()| web::full(bytes));
        self.lock().report.write(response.headers_mut());
        response
    }

    fn unknown(&self, cause: &UnknownCause) -> Response<Body> {
        self.say(&format!("can't tell: {cause}"));
        let mut response = web::json(StatusCode::GONE, cause);
        self.lock().report.write(response.headers_mut());
        response
    }

    fn stream(&self, status: u16, content: &str, bytes: &[u8], last: Last) -> Response<Body> {
        let frames: Vec<std::io::Result<Frame<Bytes>>> = bytes
            .chunks(if bytes.len() < 1000 { 7 } else { 8 << 10 })
            .map(|chunk| Ok(Frame::data(Bytes::copy_from_slice(chunk))))
            .collect();
        let last = async move {
            match last {
                Last::End(end) => Ok(Frame::trailers(end_trailers(&end))),
                Last::Cut => {
                    // A reset overtakes bytes on their way.
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    Err(std::io::Error::other("cut"))
                }
            }
        };
        let frames = stream::iter(frames).chain(stream::once(last));
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.status_mut() = StatusCode::from_u16(status).expect("a test's status is valid");
        let content = content.parse().expect("a test's content type is valid");
        response.headers_mut().insert("content-type", content);
        self.lock().report.write(response.headers_mut());
        response
    }
}

fn describe(dispatch: &Dispatch) -> String {
    let Dispatch { request, method, path, model, budget, repeatable, .. } = dispatch;
    let model = model.as_ref().map(|model| format!(" for {model}")).unwrap_or_default();
    let once = if *repeatable { "" } else { ", once" };
    let budget = Span(rounded(budget.0));
    format!("gets {request}: {method} {path}{model} within {budget}{once}")
}

enum Last {
    End(ResponseEnd),
    Cut,
}

fn whole(body: &str) -> Last {
    Last::End(ResponseEnd::Whole { length: body.len() as u64 })
}
