//! What the tasks of an entry share, and the way of a request through it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use journal::{Journal, Keys};
use process::{Shutdown, ShutdownPhase};
use serde::Serialize;
use timeline::{Kind, Recorder};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tree::NodeKind;
use units::{Domain, InstanceId, RequestId, Size, Span};
use web::{Body, BodyError, ByteBudget};
use wire::{Outcome, Refusal};

use crate::answer;
use crate::breaker::Breakers;
use crate::budget::RetryBudget;
use crate::call::{Call, Head, Route};
use crate::flight::Flight;
use crate::invalid::Invalid;
use crate::limits::{Limits, Permit};
use crate::link::{Dial, Links};
use crate::load::Loads;
use crate::prefix::Prefixes;
use crate::relay::class_label;
use crate::tally::Tally;

/// The longest that a body may take to arrive where the caller named no deadline.
const BODY_LIMIT: Duration = Duration::from_secs(30);
/// How many parts of an answer wait for a slow caller before the endpoint has to wait.
const ANSWER_PARTS: usize = 8;
/// How much of the instance's name stands in request ids.
const ID_INSTANCE: usize = 40;

/// What an entry is made of.
pub struct Parts {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: Domain,
    /// The folded state.
    pub journal: Journal,
    /// The claimed idempotency keys.
    pub keys: Keys,
    /// Its events.
    pub recorder: Recorder,
    /// Its shutdown.
    pub shutdown: Shutdown,
    /// How it reaches agents.
    pub dial: Arc<dyn Dial>,
    /// The largest body of a request.
    pub body_limit: Size,
    /// The memory for the bodies of all requests.
    pub body_memory: Size,
    /// The most requests in flight.
    pub in_flight: u32,
    /// Whether replicas that have a prompt's prefix in their cache are preferred.
    pub affinity: bool,
}

/// An entry without its servers.
pub struct Core {
    pub(crate) instance: InstanceId,
    pub(crate) domain: Domain,
    pub(crate) journal: Journal,
    pub(crate) keys: Keys,
    pub(crate) recorder: Recorder,
    pub(crate) shutdown: Shutdown,
    pub(crate) links: Links,
    pub(crate) loads: Loads,
    pub(crate) breakers: Breakers,
    pub(crate) budget: RetryBudget,
    pub(crate) limits: Limits,
    pub(crate) prefixes: Prefixes,
    pub(crate) affinity: bool,
    pub(crate) tally: Tally,
    body_limit: usize,
    body_memory: ByteBudget,
    id_start: String,
    count: AtomicU64,
}

#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: String,
}

impl Core {
    /// An entry that is ready to answer.
    pub fn new(parts: Parts) -> Arc<Self> {
        let instance: String = parts.instance.as_str().chars().take(ID_INSTANCE).collect();
        let boot: u64 = rand::random();
        Arc::new(Self {
            instance: parts.instance,
            domain: parts.domain,
            journal: parts.journal,
            keys: parts.keys,
            recorder: parts.recorder,
            shutdown: parts.shutdown,
            links: Links::new(parts.dial),
            loads: Loads::default(),
            breakers: Breakers::default(),
            budget: RetryBudget::default(),
            limits: Limits::new(parts.in_flight),
            prefixes: Prefixes::default(),
            affinity: parts.affinity,
            tally: Tally::default(),
            body_limit: usize::try_from(parts.body_limit.0).unwrap_or(usize::MAX),
            body_memory: ByteBudget::new(
                usize::try_from(parts.body_memory.0).unwrap_or(usize::MAX),
            ),
            id_start: format!("{instance}-{boot:016x}"),
            count: AtomicU64::new(0),
        })
    }

    /// Answers a caller's request.
    pub async fn answer<B>(self: Arc<Self>, request: Request<B>) -> Response<Body>
    where
        B: hyper::body::Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let id = self.next_id();
        let mut response = match self.accept(&id, request).await {
            Ok(Accepted::Call(call)) => self.clone().carry(*call).await,
            Ok(Accepted::Models) => self.models(&id),
            Err(invalid) => {
                metrics::counter!("entry_invalid", "kind" => invalid.kind()).increment(1);
                answer::invalid(&id, &invalid)
            }
        };
        if self.shutdown.phase() >= ShutdownPhase::Drain {
            answer::close(&mut response);
        }
        response
    }

    async fn accept<B>(&self, id: &RequestId, request: Request<B>) -> Result<Accepted, Invalid>
    where
        B: hyper::body::Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let head = Head::read(&parts)?;
        if head.route == Route::Models {
            return Ok(Accepted::Models);
        }
        let limit = head.deadline().unwrap_or(BODY_LIMIT);
        let past = || Invalid::Past { deadline: Span(limit) };
        if limit.is_zero() {
            return Err(past());
        }
        let read = web::read_within(body, self.body_limit, &self.body_memory);
        let read = tokio::time::timeout(limit, read).await.map_err(|_| past())?;
        let body = read.map_err(|error| match error {
            BodyError::TooLarge { limit } => Invalid::Large { limit },
            BodyError::Truncated(cause) => Invalid::Cut(cause),
            BodyError::NoMemory => Invalid::NoMemory,
        })?;
        let call =
            self.journal.read(|state| head.resolve(id.clone(), arrived, body, state.tree()))?;
        if call.deadline <= Instant::now() {
            return Err(Invalid::Past { deadline: Span(call.allowed()) });
        }
        Ok(Accepted::Call(Box::new(call)))
    }

    /// Carries a call in a task of its own, so that it is settled even if the caller hangs up.
    async fn carry(self: Arc<Self>, call: Call) -> Response<Body> {
        let id = call.request.clone();
        let event = self.recorder.event(Kind::Accepted).request(&id).model(&call.leaf.model);
        self.recorder.record(event);
        self.tally.arrived(&call.leaf.model);
        let permit = match self.limits.enter(call.class, &call.group, &call.leaf.settings) {
            Ok(permit) => permit,
            Err(refusal) => return self.shed(&call, &refusal),
        };
        let (sender, messages) = mpsc::channel(ANSWER_PARTS);
        tokio::spawn(fly(Flight::new(self, call, sender), permit));
        answer::respond(&id, messages).await
    }

    /// Forgets what is known of endpoints that are gone or have not been used lately.
    pub(crate) fn prune(&self) {
        self.loads.prune();
        self.breakers
            .retain(|endpoint| self.journal.read(|state| state.member(endpoint).is_some()));
    }

    /// Notes how a call ended, for people, metrics and the planner.
    pub(crate) fn note_end(&self, call: &Call, outcome: &Outcome<()>) {
        let (label, note) = match outcome {
            Outcome::Served(()) => ("served", String::new()),
            Outcome::NotRun(refusal) => ("not-run", refusal.to_string()),
            Outcome::Unknown(cause) => ("unknown", cause.to_string()),
        };
        let event = self.recorder.event(Kind::Answered).request(&call.request);
        let event = event.model(&call.leaf.model).note(format!("{label} {note}").trim_end());
        self.recorder.record(event);
        let class = class_label(call.class);
        metrics::counter!("entry_requests", "outcome" => label, "class" => class).increment(1);
        if lacks_capacity(outcome) {
            self.tally.refused(&call.leaf.model);
        }
    }

    fn shed(&self, call: &Call, refusal: &Refusal) -> Response<Body> {
        self.note_end(call, &Outcome::NotRun(refusal.clone()));
        answer::refused(&call.request, refusal)
    }

    fn models(&self, id: &RequestId) -> Response<Body> {
        let leaves = self.journal.read(|state| state.tree().leaves().to_vec());
        let models = leaves.iter().filter(|leaf| leaf.kind != NodeKind::Service);
        let entries = models.map(|leaf| ModelEntry {
            id: leaf.name(),
            object: "model",
            owned_by: leaf.path.to_string(),
        });
        let list = ModelList { object: "list", data: entries.collect() };
        let mut response = web::json(StatusCode::OK, &list);
        answer::mark(&mut response, id, "served");
        response
    }

    /// An id that no other request has: the instance, a number of this start, a count.
    fn next_id(&self) -> RequestId {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{count}", self.id_start);
        text.parse().expect("the start of an instance id with numbers is a request id")
    }
}

/// Whether more replicas would have helped.
fn lacks_capacity(outcome: &Outcome<()>) -> bool {
    let Outcome::NotRun(refusal) = outcome else { return false };
    matches!(
        refusal,
        Refusal::Full { .. }
            | Refusal::Hopeless { .. }
            | Refusal::Late
            | Refusal::NoEndpoint { .. }
    )
}

/// A request that was read.
enum Accepted {
    /// It goes to an endpoint.
    Call(Box<Call>),
    /// It asks for the list of models.
    Models,
}

async fn fly(flight: Flight, permit: Permit) {
    flight.run().await;
    drop(permit);
}
