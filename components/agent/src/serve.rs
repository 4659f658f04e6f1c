//! One request from its place in the queue to its outcome.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::{PRIORITY_HEADER, PrefixHash};
use http::{Request, header};
use process::ShutdownPhase;
use serde_json::value::RawValue;
use timeline::Kind;
use tokio::time::Instant;
use tree::Class;
use units::{AdapterName, ModelName};
use web::Body;
use wire::{Dispatch, Refusal, UnknownCause};

use crate::agent::Agent;
use crate::queue::{AdapterNeed, Waiting};
use crate::slot::{Progress, Slot};
use crate::stream::{self, CopyEnd};
use crate::wake;

/// A call that may not be repeated runs on for this long after its deadline, before its outcome is given up.
const RUN_ON: Duration = Duration::from_secs(600);

/// How often a request that the endpoint certainly did not run is tried again.
const MOST_TRIES: u32 = 4;

/// The pause before it is tried again, longer each time.
const PAUSE: Duration = Duration::from_millis(100);

/// How long a cancellation at the endpoint may take.
const CANCEL_LIMIT: Duration = Duration::from_secs(2);

/// A request to be run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) slot: Arc<Slot>,
    pub(crate) head: Dispatch,
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterNeed>,
    pub(crate) body: Bytes,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// A running request's place in its replica's batch, given back when dropped.
struct Turn<'a> {
    agent: &'a Agent,
    artifact: &'a ModelName,
    adapter: Option<&'a AdapterName>,
    took: Option<Duration>,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.agent.desk().finish(self.artifact, self.adapter, self.took);
        self.agent.nudge.notify_one();
    }
}

/// What comes after a turn.
enum Next {
    /// The request is over.
    Over,
    /// The endpoint certainly did not run it.
    Again { cause: String },
}

/// Takes a new request to its outcome.
pub(crate) async fn run(agent: Arc<Agent>, job: Job) {
    let mut tries = 0;
    while let Some(artifact) = enqueue(&agent, &job) {
        if !wait(&agent, &job, &artifact).await {
            break;
        }
        let Next::Again { cause } = turn(&agent, &job, &artifact).await else { break };
        tries += 1;
        if tries > MOST_TRIES || !job.slot.requeue() {
            job.slot.disprove(Refusal::Endpoint { cause });
            break;
        }
        log::info!("agent: {} is tried again: {cause}", job.slot.id);
        agent.recheck.notify_one();
        tokio::time::sleep(PAUSE * tries).await;
    }
    if let Some(refusal) = job.slot.refusal() {
        agent.count_refusal(&refusal);
    }
    agent.record(Kind::Answered, |event| {
        event.request(&job.slot.id).model(&job.model).note(job.slot.summary())
    });
}

/// Gives a request a place in the queue of its model, or refuses it; the artifact that it waits for.
fn enqueue(agent: &Arc<Agent>, job: &Job) -> Option<ModelName> {
    let waiting = Waiting {
        slot: job.slot.clone(),
        adapter: job.adapter.clone(),
        class: job.head.class,
        group: job.head.group.clone(),
        since: Instant::now(),
        deadline: job.deadline,
    };
    let admission = agent.desk().admit(&job.model, waiting);
    agent.nudge.notify_one();
    if let Some(next) = admission.wake {
        wake::next(agent, &job.model, next);
    }
    match admission.outcome {
        Ok(artifact) => Some(artifact),
        Err(refusal) => {
            job.slot.refuse(refusal);
            None
        }
    }
}

/// Runs a request whose turn has come.
async fn turn(agent: &Agent, job: &Job, artifact: &ModelName) -> Next {
    let waited = job.arrived.elapsed();
    metrics::histogram!("hyssop_agent_wait_seconds").record(waited.as_secs_f64());
    let adapter = job.head.adapter.as_ref();
    let mut turn = Turn { agent, artifact, adapter, took: None };
    let began = Instant::now();
    let mut call = pin!(call(agent, job, artifact));
    let end = tokio::select! {
        biased;
        () = time(agent, job, artifact) => call.await,
        end = &mut call => end,
    };
    match end {
        CopyEnd::Whole => {
            turn.took = Some(began.elapsed());
            job.slot.end(None);
            Next::Over
        }
        CopyEnd::NotSent(refusal) => {
            job.slot.disprove(refusal);
            Next::Over
        }
        CopyEnd::Refused(cause) => Next::Again { cause },
        CopyEnd::Failed(cause) => {
            job.slot.end(Some(cause));
            Next::Over
        }
    }
}

/// Waits for the request's turn until its deadline; true if it shall run.
async fn wait(agent: &Agent, job: &Job, artifact: &ModelName) -> bool {
    let slot = &job.slot;
    let turn = tokio::select! {
        biased;
        turn = slot.turn() => turn,
        () = tokio::time::sleep_until(job.deadline) => {
            slot.refuse(Refusal::Late);
            slot.turn().await
        }
    };
    if !turn {
        agent.desk().forget(artifact, slot);
        agent.nudge.notify_one();
    }
    turn
}

/// Hands the request to the endpoint, and copies the answer.
async fn call(agent: &Agent, job: &Job, artifact: &ModelName) -> CopyEnd {
    let slot = &job.slot;
    if let Err(barred) = agent.authority.current() {
        return CopyEnd::NotSent(barred.refusal());
    }
    if Instant::now() >= job.deadline {
        return CopyEnd::NotSent(Refusal::Late);
    }
    let request = match request(job, artifact) {
        Ok(request) => request,
        Err(cause) => return CopyEnd::NotSent(Refusal::Endpoint { cause }),
    };
    agent.record_request(Kind::Running, &slot.id, artifact);
    tokio::select! {
        end = stream::copy(agent, slot, request) => end,
        cause = stop(agent, job) => {
            if job.head.repeatable {
                cancel(agent, slot).await;
            }
            CopyEnd::Failed(cause)
        }
    }
}

/// Learns how long the first part of a streamed answer takes with and without a cached prefix.
async fn time(agent: &Agent, job: &Job, artifact: &ModelName) {
    let prefix = job.head.model.as_ref().and_then(|_| PrefixHash::of_body(&job.body));
    let Some(prefix) = prefix else { return };
    let hit = agent.caches().has(artifact, prefix);
    let began = Instant::now();
    if let Progress::Bytes(head, _) = job.slot.next(0).await
        && head.is_stream()
    {
        agent.caches().note_first(artifact, hit, began.elapsed());
    }
}

/// Waits until a running request must be given up.
async fn stop(agent: &Agent, job: &Job) -> UnknownCause {
    let last = if job.head.repeatable { job.deadline } else { job.deadline + RUN_ON };
    tokio::select! {
        () = tokio::time::sleep_until(last) => UnknownCause::Deadline,
        () = job.slot.stopped() => UnknownCause::Deadline,
        () = agent.shutdown.reached(ShutdownPhase::Force) => UnknownCause::AgentGone,
    }
}

/// Cancels a request at the endpoint, as well as can be done.
pub(crate) async fn cancel(agent: &Agent, slot: &Slot) {
    agent.record(Kind::Cancelled, |event| event.request(&slot.id));
    let cancelled = tokio::time::timeout(CANCEL_LIMIT, agent.endpoint.cancel(&slot.id)).await;
    if !matches!(cancelled, Ok(Ok(()))) {
        log::debug!("agent: {} could not be cancelled at the endpoint", slot.id);
    }
}

/// The call as the endpoint gets it.
fn request(job: &Job, artifact: &ModelName) -> Result<Request<Body>, String> {
    let head = &job.head;
    let body = match head.model {
        Some(_) => rename(&job.body, artifact, head.adapter.as_ref())?,
        None => job.body.clone(),
    };
    Request::builder()
        .method(head.method.as_str())
        .uri(head.path.as_str())
        .header(header::CONTENT_TYPE, head.content.as_str())
        .header(PRIORITY_HEADER, priority(head.class))
        .body(web::full(body))
        .map_err(|error| error.to_string())
}

fn priority(class: Class) -> &'static str {
    match class {
        Class::Urgent => "0",
        Class::Interactive => "1",
        Class::Series => "2",
    }
}

/// Puts the artifact into the call in place of the model; the rest of it stays as it is.
fn rename(
    body: &Bytes,
    artifact: &ModelName,
    adapter: Option<&AdapterName>,
) -> Result<Bytes, String> {
    let read = serde_json::from_slice::<BTreeMap<String, Box<RawValue>>>(body);
    let mut call = read.map_err(|error| error.to_string())?;
    let name = match adapter {
        None => artifact.to_string(),
        Some(adapter) => format!("{artifact}:{adapter}"),
    };
    let name = serde_json::value::to_raw_value(&name).map_err(|error| error.to_string())?;
    call.insert("model".to_owned(), name);
    serde_json::to_vec(&call).map(Bytes::from).map_err(|error| error.to_string())
}
