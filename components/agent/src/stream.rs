//! Copying the endpoint's answer into the request's slot, over several connections if need be.

use std::time::Duration;

use bytes::Bytes;
use edge::EndpointError;
use http::{Request, Response, header};
use http_body_util::BodyExt;
use sse::EventScanner;
use timeline::Kind;
use web::Body;
use wire::{Refusal, UnknownCause};

use crate::EndpointKind;
use crate::agent::Agent;
use crate::kept::AnswerHead;
use crate::serve;
use crate::slot::Slot;

/// A connection to an engine that gives no byte for this long is taken for lost.
pub(crate) const SILENCE: Duration = Duration::from_secs(5);

/// The pause before an engine is asked again.
const PAUSE: Duration = Duration::from_millis(200);

/// How often in a row an engine is asked for the rest without getting a byte more.
const MOST_RESUMES: u32 = 3;

/// How copying ended.
#[derive(Debug)]
pub(crate) enum CopyEnd {
    /// The whole answer is here.
    Whole,
    /// It was not handed to the endpoint.
    NotSent(Refusal),
    /// The endpoint certainly did not run the request.
    Refused(String),
    /// It may have run.
    Failed(UnknownCause),
}

/// What has been copied, over all connections.
#[derive(Debug, Default)]
struct Copied {
    is_event_stream: bool,
    events: EventScanner,
}

/// Why a connection gave no more.
#[derive(Debug)]
struct Lost(String);

/// Sends the call once and copies the answer; an engine whose connection is lost is asked for the rest on
/// new ones, and never sent the call again.
pub(crate) async fn copy(agent: &Agent, slot: &Slot, request: Request<Body>) -> CopyEnd {
    let mut copied = Copied::default();
    let first = match call(agent, slot, request).await {
        Ok(response) => read(agent, slot, response, &mut copied).await,
        Err(EndpointError::Unknown(cause)) => Err(Lost(cause)),
        Err(error) => return CopyEnd::Refused(error.to_string()),
    };
    match (first, agent.settings.kind) {
        (Ok(()), _) => CopyEnd::Whole,
        (Err(Lost(cause)), EndpointKind::Engine) => resume(agent, slot, cause, &mut copied).await,
        (Err(Lost(cause)), EndpointKind::Service) => failed(cause),
    }
}

fn failed(cause: String) -> CopyEnd {
    CopyEnd::Failed(UnknownCause::Endpoint { cause })
}

async fn call(
    agent: &Agent,
    slot: &Slot,
    request: Request<Body>,
) -> Result<Response<Body>, EndpointError> {
    let call = agent.endpoint.call(&slot.id, request);
    within(agent, call).await.unwrap_or_else(|silent| Err(EndpointError::Unknown(silent.0)))
}

/// Waits for something that an engine should do within the limit; a plain service may be silent for long.
async fn within<T>(agent: &Agent, work: impl Future<Output = T>) -> Result<T, Lost> {
    match agent.settings.kind {
        EndpointKind::Engine => match tokio::time::timeout(SILENCE, work).await {
            Ok(done) => Ok(done),
            Err(_) => Err(Lost(format!("silent for {SILENCE:?}"))),
        },
        EndpointKind::Service => Ok(work.await),
    }
}

/// Copies a response to its end. A stream of events that ends inside one is not complete: its sender may
/// have failed and closed the connection.
async fn read(
    agent: &Agent,
    slot: &Slot,
    response: Response<Body>,
    copied: &mut Copied,
) -> Result<(), Lost> {
    let (parts, mut body) = response.into_parts();
    if slot.length().is_none() {
        let content = parts.headers.get(header::CONTENT_TYPE).cloned();
        copied.is_event_stream = content.as_ref().is_some_and(sse::is_event_stream);
        slot.head(AnswerHead { status: parts.status, content });
    }
    while let Some(frame) = within(agent, body.frame()).await? {
        let frame = frame.map_err(|error| Lost(error.to_string()))?;
        if let Ok(bytes) = frame.into_data() {
            copied.events.scan(&bytes);
            slot.push(compact(bytes));
            slot.room().await;
        }
    }
    if copied.is_event_stream && copied.events.inside_event() {
        return Err(Lost("the stream ended inside an event".to_owned()));
    }
    Ok(())
}

/// Copies small pieces out of the read buffer that they would keep alive.
fn compact(bytes: Bytes) -> Bytes {
    Bytes::copy_from_slice(&bytes)
}

/// Asks an engine for the rest of the answer, on new connections.
async fn resume(agent: &Agent, slot: &Slot, mut cause: String, copied: &mut Copied) -> CopyEnd {
    agent.recheck.notify_one();
    let mut idle = 0;
    while idle < MOST_RESUMES {
        let from = slot.length().unwrap_or(0);
        log::info!("stream: {} is resumed at byte {from}: {cause}", slot.id);
        agent.record(Kind::Resumed, |event| event.request(&slot.id).note(cause.clone()));
        metrics::counter!("hyssop_agent_stream_resumes_total").increment(1);
        match again(agent, slot, from, copied).await {
            Ok(()) => return CopyEnd::Whole,
            Err(lost) => cause = lost.0,
        }
        let gained = slot.length().unwrap_or(0) > from;
        idle = if gained { 0 } else { idle + 1 };
        tokio::time::sleep(PAUSE).await;
    }
    serve::cancel(agent, slot).await;
    failed(cause)
}

async fn again(agent: &Agent, slot: &Slot, from: u64, copied: &mut Copied) -> Result<(), Lost> {
    let resumed = within(agent, agent.endpoint.resume(&slot.id, from)).await?;
    let response = resumed.map_err(|error| Lost(error.to_string()))?;
    read(agent, slot, response, copied).await
}
