//! An agent in a small world: an in-memory log, list and engine, and the test as planner and entry.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use edge::{Endpoint, LogError, LogService, Page, Stream};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use peer::{PeerError, Transport};
use policy::Calendar;
use process::{Identity, Shutdown, ShutdownPhase};
use record::{Attach, Body, Decision, GrantId, Record};
pub(crate) use sample::{add, id, set};
use serde_json::json;
use state::{State, Verdict};
use timeline::{Recorder, Tick};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tree::{Change, Class, Edit, NodeKind};
use units::{Epoch, Incarnation, Offset, Revision, Size, Span};
use wire::{Control, Dispatch, Refusal, Reply, Report, ResponseEnd, Resume, UnknownCause};

use crate::agent::Agent;
use crate::desk::Closed;
use crate::run::{Edges, build, lead};
use crate::{EndpointKind, Settings, dispatch};
use fake::engine::Engine;

/// When the tests start.
const TODAY: &str = "2026-12-31T07:00:00Z";

/// The endpoint of all tests.
pub(crate) const ENDPOINT: &str = "likhari-1";

/// A log with settings and a planner, and the edges of an endpoint.
#[derive(Clone)]
pub(crate) struct World {
    pub(crate) log: fake::Log,
    pub(crate) list: fake::List,
    pub(crate) engine: Engine,
    edges: Edges,
    network: Network,
    numbers: Arc<AtomicU64>,
}

/// What was asked of peers.
type Asked = Arc<Mutex<Vec<(SocketAddr, Control)>>>;

/// A network on which all peers only listen.
#[derive(Debug, Clone, Default)]
struct Network {
    asked: Asked,
}

#[async_trait]
impl Transport for Network {
    async fn request(
        &self,
        addr: SocketAddr,
        message: Bytes,
        _limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let control = serde_json::from_slice(&message).expect("a message");
        if matches!(control, Control::Wake { .. }) {
            self.asked.lock().expect("a lock").push((addr, control));
        }
        let reply = Reply::Position { applied: Offset(0), tick: Tick(0), from: None };
        Ok(serde_json::to_vec(&reply).expect("a reply").into())
    }
}

/// One agent's way to the log, which can be cut.
#[derive(Debug, Clone)]
pub(crate) struct Wire {
    log: fake::Log,
    down: Arc<AtomicBool>,
}

impl Wire {
    pub(crate) fn cut(&self) {
        self.down.store(true, Ordering::Relaxed);
    }

    pub(crate) fn mend(&self) {
        self.down.store(false, Ordering::Relaxed);
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl LogService for Wire {
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, LogError> {
        if self.is_down() {
            return Err(LogError::Unknown("cut".to_owned()));
        }
        self.log.append(stream, records).await
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, LogError> {
        let read = self.log.read(stream, from, wait).await;
        if self.is_down() { Err(LogError::Unreadable("cut".to_owned())) } else { read }
    }
}

/// An agent that runs in the world.
pub(crate) struct Running {
    pub(crate) agent: Arc<Agent>,
    pub(crate) phase: watch::Sender<ShutdownPhase>,
    pub(crate) task: JoinHandle<()>,
    pub(crate) cut: Wire,
}

/// How an exchange with the agent ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Answer {
    Served { text: String, end: Option<ResponseEnd>, report: Report },
    NotRun { refusal: Refusal, report: Option<Report> },
    Unknown(UnknownCause),
    Other(StatusCode),
}

impl Answer {
    /// The whole text, if it came whole.
    pub(crate) fn whole(&self) -> Option<&str> {
        match self {
            Self::Served { text, end: Some(ResponseEnd::Whole { length }), .. }
                if *length == text.len() as u64 =>
            {
                Some(text)
            }
            _ => None,
        }
    }

    pub(crate) fn refusal(&self) -> Option<&Refusal> {
        match self {
            Self::NotRun { refusal, .. } => Some(refusal),
            _ => None,
        }
    }
}

pub(crate) fn settings(kind: EndpointKind) -> Settings {
    let addr = "127.0.0.1:0".parse().expect("an address");
    Settings {
        identity: Identity {
            instance: id("instance-1"),
            domain: id("saddar"),
            admin: addr,
            log: serde_json::from_value(json!("info")).expect("a level"),
        },
        endpoint: id(ENDPOINT),
        kind,
        service: id("likhari"),
        address: addr,
        fenced: true,
        memory: Size::gib(24),
        dispatch: addr,
        control: addr,
        seeds: Vec::new(),
        log: addr,
        list: addr,
        table: 64,
        table_bytes: Size::mib(1),
        grace: Span::secs(5),
        order_limit: Span::secs(4),
    }
}

impl World {
    /// A world with an agent that holds a grant of the first version of each model.
    pub(crate) async fn serving(models: &[&str]) -> (Self, Running) {
        let world = Self::new();
        let running = world.start().await;
        for model in models {
            world.grant(model, "v1");
        }
        (world, running)
    }

    /// A world with the models `page-text` and `read-aloud` of 10 GiB each in 24 GiB, and a planner.
    pub(crate) fn new() -> Self {
        let engine = Engine::new(Size::gib(24));
        let log = fake::Log::default();
        let list = fake::List::default();
        let edges = Edges {
            log: Arc::new(log.clone()),
            list: Arc::new(list.clone()),
            endpoint: Arc::new(engine.clone()),
            network: Arc::new(Network::default()),
            calendar: Calendar::starting(TODAY.parse().expect("a time")),
        };
        let network = Network::default();
        let world = Self { log, list, engine, edges, network, numbers: Arc::default() };
        let mut changes = Vec::new();
        for name in ["page-text", "read-aloud", "glossary"] {
            changes.extend(model(name));
        }
        changes.push(add("/page-text/urdu", NodeKind::Adapter));
        changes.push(set("/page-text/urdu", "adapter-weights", json!("3GiB")));
        changes.push(add("/page-text/sindhi", NodeKind::Adapter));
        changes.push(set("/page-text/sindhi", "adapter-weights", json!("3GiB")));
        world.edit(changes);
        world.put(Body::Claim { previous: Epoch(0) });
        world
    }

    /// Appends a record of the test, which must take effect, and gives its offset.
    pub(crate) fn put(&self, body: Body) -> Offset {
        let mut state = self.state();
        let (offset, record) = self.append(body);
        let applied = state.apply(offset, &record);
        assert_eq!(applied.verdicts, [Verdict::Done], "{record:?}");
        offset
    }

    fn append(&self, body: Body) -> (Offset, Record) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let seen = self.log.records(Stream::Control).last;
        let record = Record::new(format!("test-{number}"), id("entry-1"), 0, seen, body);
        let text = serde_json::to_vec(&record).expect("a record");
        (self.log.put(Stream::Control, text), record)
    }

    pub(crate) fn edit(&self, changes: Vec<Change>) -> Offset {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let base = Revision(self.log.records(Stream::Control).last.0);
        let edit =
            Edit { id: id(&format!("edit-{number}")), author: "amna".to_owned(), base, changes };
        self.put(Body::Edit(edit))
    }

    /// The folded state of all records.
    pub(crate) fn state(&self) -> State {
        let mut state = State::default();
        for entry in self.log.records(Stream::Control).entries {
            let record: Record = serde_json::from_slice(&entry.data).expect("a record");
            state.apply(entry.offset, &record);
        }
        state
    }

    fn decide(&self, decision: Decision) -> Offset {
        let epoch = self.state().lease().epoch;
        self.put(Body::Decide { epoch, decisions: vec![decision] })
    }

    /// Grants a replica of a model's version at the endpoint.
    pub(crate) fn grant(&self, model: &str, version: &str) -> GrantId {
        let artifact = format!("{model}@{version}");
        let offset = self.decide(sample::grant(model, 0, &artifact, ENDPOINT));
        GrantId { offset, part: 0 }
    }

    pub(crate) fn revoke(&self, grant: GrantId) {
        self.decide(Decision::Revoke { grant, reason: "test".to_owned() });
    }

    /// Chooses a model's version.
    pub(crate) fn version(&self, model: &str, version: &str) {
        self.edit(vec![set(&format!("/{model}"), "version", json!(version))]);
    }

    /// Grants the second replica of a model to another endpoint; gives its control address and what it is asked.
    pub(crate) async fn second_holder(&self, model: &str, version: &str) -> (SocketAddr, Asked) {
        let (attach, _) = self.member().expect("a member");
        let control = "127.0.0.2:7100".parse().expect("an address");
        self.put(Body::Attach(Attach {
            endpoint: id("likhari-2"),
            instance: id("instance-2"),
            control,
            previous: Incarnation(0),
            ..attach
        }));
        self.decide(sample::grant(model, 1, &format!("{model}@{version}"), "likhari-2"));
        (control, self.network.asked.clone())
    }

    /// Starts an agent and waits until it has attached.
    pub(crate) async fn start(&self) -> Running {
        self.start_with(settings(EndpointKind::Engine)).await
    }

    pub(crate) async fn start_with(&self, settings: Settings) -> Running {
        self.start_at(settings, self.edges.endpoint.clone()).await
    }

    /// The edges of an agent of the engine.
    pub(crate) fn edges(&self) -> Edges {
        Edges { network: Arc::new(self.network.clone()), ..self.edges.clone() }
    }

    /// Starts an agent of another endpoint than the engine.
    pub(crate) async fn start_at(
        &self,
        settings: Settings,
        endpoint: Arc<dyn Endpoint>,
    ) -> Running {
        let before = self.member().map(|member| member.1);
        let (phase, shutdown) = Shutdown::manual();
        let recorder = Recorder::new(settings.identity.instance.clone());
        let cut = Wire { log: self.log.clone(), down: Arc::default() };
        let edges = Edges { log: Arc::new(cut.clone()), endpoint, ..self.edges() };
        let agent = build(settings, &edges, recorder, shutdown);
        let (leading, list) = (agent.clone(), self.edges.list.clone());
        let task = tokio::spawn(async move {
            lead(leading, list.as_ref()).await.expect("an agent that can attach");
        });
        let running = Running { agent, phase, task, cut };
        until(|| running.agent.incarnation() != Incarnation(0)).await;
        assert_ne!(before, self.member().map(|member| member.1));
        running
    }

    /// The attach of the endpoint's member and its incarnation.
    pub(crate) fn member(&self) -> Option<(Attach, Incarnation)> {
        let state = self.state();
        let member = state.member(&id(ENDPOINT))?;
        Some((member.attach.clone(), member.incarnation))
    }

    /// Puts an attach of another agent of the endpoint into the log.
    pub(crate) fn attach_other(&self) -> Offset {
        let (attach, incarnation) = self.member().expect("a member");
        self.put(Body::Attach(Attach { previous: incarnation, ..attach }))
    }
}

impl Running {
    /// The head of a dispatch for `page-text`, with a budget of 30 seconds.
    pub(crate) fn head(&self, request: &str) -> Dispatch {
        Dispatch {
            request: id(request),
            entry: id("entry-1"),
            incarnation: self.agent.incarnation(),
            model: Some(id("page-text")),
            adapter: None,
            class: Class::Interactive,
            group: id("default"),
            budget: Span::secs(30),
            repeatable: true,
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            content: "application/json".to_owned(),
            tick: Tick(1),
        }
    }

    /// Dispatches and reads the answer to its end.
    pub(crate) fn dispatch(&self, head: &Dispatch) -> JoinHandle<Answer> {
        let body = Bytes::from_static(br#"{"model":"page-text","prompt":"a kite","seed":1.50}"#);
        let mut request =
            Request::post(wire::DISPATCH_PATH).body(web::full(body)).expect("a request");
        head.write(request.headers_mut());
        self.exchange(request)
    }

    pub(crate) fn resume(&self, request: &str, from: u64, cancel: bool) -> JoinHandle<Answer> {
        let head = Resume {
            request: id(request),
            incarnation: self.agent.incarnation(),
            from,
            cancel,
            tick: Tick(1),
        };
        self.resume_with(&head)
    }

    pub(crate) fn resume_with(&self, head: &Resume) -> JoinHandle<Answer> {
        let mut request = Request::post(wire::RESUME_PATH).body(web::empty()).expect("a request");
        head.write(request.headers_mut());
        self.exchange(request)
    }

    fn exchange(&self, request: Request<web::Body>) -> JoinHandle<Answer> {
        let agent = self.agent.clone();
        tokio::spawn(async move {
            let peer = "127.0.0.1:1".parse().expect("an address");
            read(dispatch::handle(agent, request, peer).await).await
        })
    }

    /// Ends the agent at once, as if its process were killed.
    pub(crate) async fn die(&self) {
        self.task.abort();
        self.agent.desk().close(Closed::Leaving);
        self.phase.send_replace(ShutdownPhase::Force);
        until(|| self.running() == 0).await;
    }

    /// The phase of an artifact, as the status shows it.
    pub(crate) fn phase_of(&self, artifact: &str) -> Option<crate::replica::Phase> {
        self.agent.desk().replicas.get(artifact).map(|replica| replica.phase)
    }

    pub(crate) fn running(&self) -> usize {
        self.agent.desk().running()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.agent.desk().waiting()
    }
}

/// Reads an answer of the agent to its end.
pub(crate) async fn read<B>(response: http::Response<B>) -> Answer
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Debug,
{
    let report = Report::read(response.headers()).ok();
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut end = None;
    while let Some(Ok(frame)) = body.frame().await {
        match frame.into_data() {
            Ok(data) => bytes.extend(data),
            Err(frame) => {
                let trailers = frame.into_trailers().expect("data or trailers");
                end = wire::parse_end_trailers(&trailers).ok();
            }
        }
    }
    match parts.status {
        StatusCode::CONFLICT => {
            let refusal = serde_json::from_slice(&bytes).expect("a refusal");
            Answer::NotRun { refusal, report }
        }
        StatusCode::GONE => Answer::Unknown(serde_json::from_slice(&bytes).expect("a cause")),
        StatusCode::OK => {
            let text = String::from_utf8(bytes).expect("text");
            Answer::Served { text, end, report: report.expect("a report") }
        }
        status => Answer::Other(status),
    }
}

/// Waits until something holds, for a minute of the test's clock.
pub(crate) async fn until(holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), waiting).await.expect("it holds within a minute");
}

pub(crate) async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

fn model(name: &str) -> Vec<Change> {
    let path = format!("/{name}");
    vec![
        add(&path, NodeKind::Model),
        add(&format!("{path}/v1"), NodeKind::Version),
        add(&format!("{path}/v2"), NodeKind::Version),
        set(&path, "service", json!("likhari")),
        set(&path, "version", json!("v1")),
        set(&path, "weights", json!("8GiB")),
        set(&path, "kv-room", json!("2GiB")),
        set(&path, "keep-warm", json!("20s")),
        set(&path, "batch", json!(2)),
        set(&path, "queue", json!(8)),
        set(&path, "group-share", json!(1.0)),
    ]
}
