//! Relays a stream of events to the caller. A stream that may be resumed continues at another endpoint if its endpoint
//! stalls or breaks off.

use std::time::Duration;

use bytes::Bytes;
use events::{Refusal, ResumptionOutcome, Step};
use http::{Response, Version, header};
use tokio::time::Instant;
use units::EndpointId;
use web::{Body, BodyWriter, ByteBudget, Framing};

use crate::crash_check;
use crate::exchange::EndpointResponse;
use crate::held_events::HeldEvents;
use crate::in_flight::InFlightRequest;
use crate::relay::{RequestLog, ResponseEnd, ResponseTiming, STOP_CAUSE};

/// A stream that can be resumed at another endpoint has stalled when nothing came for the event
/// timeout of its route divided by this.
const STALL_DIVISOR: u32 = 5;

/// Starts to relay a stream.
pub(crate) fn relay_stream(
    request: InFlightRequest,
    response: EndpointResponse,
    request_log: RequestLog,
) -> Response<Body> {
    let (writer, body) = web::channel_within(&request.shared.passed_responses);
    let mut headers = platform::passed_headers(&response.head.headers);
    if request.route.kind.repeatable() {
        // A response joined from several runs may be longer than the first run states.
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut relayed = Response::new(body);
    *relayed.status_mut() = response.head.status;
    *relayed.headers_mut() = headers;
    tokio::spawn(forward_stream(request, response, writer, request_log));
    relayed
}

/// What the next read of a stream gave.
enum StreamRead {
    Data(Bytes),
    /// The stream is complete.
    End,
    Interrupted(String),
    /// Nothing arrived within the time limit.
    Stalled,
    /// The caller has disconnected.
    CallerLeft,
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// A stream as one endpoint sends it.
struct StreamSource {
    response: EndpointResponse,
    framing: Framing,
    /// Whether the response is a stream of events; any other is relayed as it is.
    has_events: bool,
    events: HeldEvents,
    /// Whether data of the stream has been passed on.
    admitted: bool,
}

impl StreamSource {
    /// A stream that begins after the event with this id, or at its first event.
    fn new(mut response: EndpointResponse, last_event: Option<u64>, budget: &ByteBudget) -> Self {
        let content_type = response.head.headers.get(header::CONTENT_TYPE);
        let has_events = content_type.is_none_or(sse::is_event_stream);
        if has_events {
            response.expect_events();
        }
        Self {
            framing: response.framing(),
            has_events,
            events: HeldEvents::new(last_event, budget),
            admitted: false,
            response,
        }
    }

    fn endpoint(&self) -> &EndpointId {
        &self.response.reservation.id
    }

    /// Whether another endpoint may continue the stream for the caller.
    fn can_resume(&self) -> bool {
        self.has_events && self.events.splitter.can_resume()
    }

    /// Whether what was read may reach the caller, who may have events of an earlier endpoint; else the reason why not.
    async fn admit(&mut self, request: &mut InFlightRequest) -> Result<(), &'static str> {
        if !self.has_events || self.admitted {
            return Ok(());
        }
        if !request.admit_events(&self.response.reservation) {
            return Err("the endpoint runs another software version");
        }
        if !request.wait_until_told().await {
            return Err("neither a loader nor the store could be told where the stream began");
        }
        self.admitted = true;
        Ok(())
    }

    /// Reads the next part, until `deadline` and for `time_limit` at most if there is one.
    async fn read(
        &mut self,
        writer: &BodyWriter,
        time_limit: Option<Duration>,
        deadline: Instant,
    ) -> StreamRead {
        let stalled = tokio::time::sleep(time_limit.unwrap_or(Duration::MAX));
        tokio::select! {
            part = self.response.next_part() => match part {
                Some(Ok(data)) => StreamRead::Data(data),
                Some(Err(cause)) => StreamRead::Interrupted(cause),
                None => self.end_of_body()
            },
            () = writer.closed() => StreamRead::CallerLeft,
            () = tokio::time::sleep_until(deadline) => StreamRead::DeadlinePassed,
            () = stalled, if time_limit.is_some() => StreamRead::Stalled
        }
    }

    /// Whether the end of the body is the end of the stream. An endpoint that fails may close its
    /// connection like one that is done, so the end of a connection alone does not show it.
    fn end_of_body(&self) -> StreamRead {
        if !self.has_events {
            return StreamRead::End;
        }
        if self.events.splitter.inside_event() {
            return StreamRead::Interrupted("the stream ended inside an event".to_owned());
        }
        if self.framing == Framing::Close && !self.events.splitter.has_event() {
            return StreamRead::Interrupted("the connection ended before any event".to_owned());
        }
        StreamRead::End
    }

    /// Adds data that was read, and returns what may go to the caller now: whole events if the
    /// stream may have to be resumed.
    fn push(&mut self, data: Bytes, resumable: bool) -> Bytes {
        let now = Instant::now();
        self.response.reservation.record_data(now);
        let ready = if resumable && self.has_events {
            self.events.push(data)
        } else {
            self.events.splitter.pass(data)
        };
        if !ready.is_empty() {
            self.response.reservation.record_events(&ready, now);
        }
        ready
    }

    fn response_end(&self, whole: bool) -> ResponseEnd {
        ResponseEnd { framing: self.framing, tail_bytes: self.events.splitter.tail_bytes(), whole }
    }
}

async fn forward_stream(
    mut request: InFlightRequest,
    response: EndpointResponse,
    writer: BodyWriter,
    request_log: RequestLog,
) {
    let status = response.head.status.as_u16();
    let shared = request.shared.clone();
    let at_stop = ResponseEnd { framing: response.framing(), tail_bytes: 0, whole: false };
    let mut timing = ResponseTiming::default();
    let ended = tokio::select! {
        biased;
        ended = forward_events(&mut request, response, &writer, &mut timing) => ended,
        () = shared.answers_due() => StreamEnd::BrokenOff(STOP_CAUSE.to_owned(), at_stop)
    };
    let (cause, end) = match ended {
        StreamEnd::CallerLeft => return request_log.log_caller_left(),
        StreamEnd::Complete(source) => {
            let _ = writer.finish().await;
            request.finish_stream();
            request_log.log_response(status, &timing, source.response_end(true));
            let paused = timing.longest_gap > request.route.max_pause;
            shared.endpoints.record_stream(paused);
            return request.complete(source.response);
        }
        StreamEnd::BrokenOff(cause, end) => (cause, end),
    };
    request_log.log_response(status, &timing, end);
    if request.version < Version::HTTP_11 {
        // Without chunks, only a reset tells the caller that the response is cut.
        request.caller.reset_on_close();
    }
    writer.abort(std::io::Error::other(cause)).await;
}

/// How a stream ended.
enum StreamEnd {
    /// All that its last response has was passed on.
    Complete(Box<StreamSource>),
    CallerLeft,
    /// It was broken off for this cause; its last response ended like this.
    BrokenOff(String, ResponseEnd),
}

/// Passes events on until the stream ends.
async fn forward_events(
    request: &mut InFlightRequest,
    response: EndpointResponse,
    writer: &BodyWriter,
    timing: &mut ResponseTiming,
) -> StreamEnd {
    let resumable = request.route.kind.repeatable();
    let mut source =
        StreamSource::new(response, request.call.last_event, &request.shared.held_responses);
    loop {
        let can_resume = source.can_resume() && request.version_is_known();
        let elsewhere = resumable && can_resume && request.runs < request.route.attempts;
        let time_limit = elsewhere.then(|| request.route.event_timeout / STALL_DIVISOR);
        let mut read = source.read(writer, time_limit, request.deadline).await;
        // A long prompt of another request stalls the stream as well. The search is only worth a
        // retry if another endpoint can resume the stream before the caller leaves.
        if matches!(read, StreamRead::Stalled)
            && !request.doubts_origin().await
            && request.may_move(source.endpoint(), request.route.event_timeout / 2)
        {
            match search_elsewhere(request, &mut source, writer).await {
                Search::Resumed(next) => {
                    source = *next;
                    continue;
                }
                Search::Continued(next) => read = next,
            }
        }
        let cause = match read {
            StreamRead::CallerLeft => return StreamEnd::CallerLeft,
            StreamRead::DeadlinePassed => {
                let cause = "the deadline of the request has passed".to_owned();
                return StreamEnd::BrokenOff(cause, source.response_end(false));
            }
            StreamRead::Data(data) => {
                let ready = source.push(data, resumable);
                if ready.is_empty() {
                    continue;
                }
                if let Err(cause) = source.admit(request).await {
                    return StreamEnd::BrokenOff(cause.to_owned(), source.response_end(false));
                }
                timing.record_chunk();
                if writer.send(ready).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
                continue;
            }
            StreamRead::End => {
                // Blank lines after the last event are part of the response too.
                let rest = source.events.take_rest();
                if !rest.is_empty() {
                    let _ = writer.send(rest).await;
                }
                return StreamEnd::Complete(Box::new(source));
            }
            StreamRead::Stalled => continue,
            StreamRead::Interrupted(cause) => cause,
        };
        let end = source.response_end(false);
        let id = source.endpoint().clone();
        let can_resume = source.can_resume() && request.version_is_known();
        let last_event = source.events.splitter.last_id();
        drop(source);
        let resumed = tokio::select! {
            resumed = resume_interrupted(request, &id, &cause, can_resume, last_event) => resumed,
            () = writer.closed() => return StreamEnd::CallerLeft
        };
        match resumed {
            Some(next) => source = next,
            None => return StreamEnd::BrokenOff(cause, end),
        }
    }
}

/// Result of the search for another endpoint while a stream stalls.
enum Search {
    /// Another endpoint has begun to continue the stream.
    Resumed(Box<StreamSource>),
    /// The stream stays at its endpoint; this is what was read from it meanwhile.
    Continued(StreamRead),
}

/// Looks for an endpoint that resumes a stalled stream. The stalled endpoint may still be working
/// on the stream, so it is only left once another one has answered, and whichever sends the next
/// event first keeps the stream.
async fn search_elsewhere(
    request: &mut InFlightRequest,
    source: &mut StreamSource,
    writer: &BodyWriter,
) -> Search {
    let (id, last_event) = (source.endpoint().clone(), source.events.splitter.last_id());
    let reservation = &source.response.reservation;
    let (incarnation, pool) = (reservation.incarnation, reservation.pool.clone());
    let shared = request.shared.clone();
    let (runs, sends, deadline) = (request.runs, request.sends, request.deadline);
    request.exclude(&id);
    let mut lost = None;
    let raced = {
        let mut resumed = std::pin::pin!(resume(request, last_event));
        loop {
            tokio::select! {
                biased;
                read = source.read(writer, None, deadline), if lost.is_none() => match read {
                    StreamRead::Interrupted(cause) => {
                        // The other endpoint may be about to answer.
                        shared.endpoints.record_failure(&id, incarnation, &cause);
                        crash_check::start(&shared, &id, incarnation, &pool);
                        lost = Some(cause);
                    }
                    read => break Err(read)
                },
                () = writer.closed(), if lost.is_some() => break Err(StreamRead::CallerLeft),
                next = &mut resumed => break Ok(next)
            }
        }
    };
    if let Ok(Some(next)) = raced {
        request.log_step(Step::Broken, &id, lost.as_deref().unwrap_or("the stream stalled"));
        return Search::Resumed(Box::new(next));
    }
    if raced.is_err() && request.sends > sends {
        // The request that is cancelled may have begun to run.
        request.runs = request.runs.max(runs + 1);
    }
    (request.incarnation, request.pool) = (incarnation, Some(pool));
    Search::Continued(match (raced, lost) {
        (Err(read), _) => read,
        (Ok(_), Some(cause)) => StreamRead::Interrupted(cause),
        (Ok(_), None) => StreamRead::Stalled,
    })
}

/// Resumes an interrupted stream at another endpoint, if that is allowed.
async fn resume_interrupted(
    request: &mut InFlightRequest,
    id: &EndpointId,
    cause: &str,
    can_resume: bool,
    last_event: Option<u64>,
) -> Option<StreamSource> {
    // This run was already counted when its response began.
    request.runs = request.runs.saturating_sub(1);
    request.interrupted(id, cause).ok()?;
    if !can_resume || request.doubts_origin().await {
        return None;
    }
    resume(request, last_event).await
}

/// Sends the request to another endpoint, to continue its stream after an event.
async fn resume(request: &mut InFlightRequest, last_event: Option<u64>) -> Option<StreamSource> {
    let started = Instant::now();
    request.send_by = request.deadline.min(started + request.route.event_timeout / 2);
    let next = match request.fetch_response(last_event).await {
        Ok(next) => next,
        Err(failure) => {
            if failure.cause == Refusal::NoVersion {
                request.log_resumption(ResumptionOutcome::NoVersion, started);
            }
            return None;
        }
    };
    request.log_resumption(ResumptionOutcome::SameVersion, started);
    request.log_resumed(&next.reservation);
    let has_succeeded = next.head.status.is_success();
    let source = StreamSource::new(next, last_event, &request.shared.held_responses);
    (has_succeeded && source.has_events).then_some(source)
}
