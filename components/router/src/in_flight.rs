//! A request that is being served: to which endpoint it is sent, and whether it may be retried.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use catalog::{Catalog, Route};
use events::{Event, Refusal, Step, emit};
use http::{StatusCode, Version};
use origin::{StreamKey, StreamOrigin};
use platform::{ForwardOptions, RequestHeaders, ResponseKind};
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, Rate, ServiceName};
use web::Framing;

use crate::access::{self, Identity};
use crate::caller::CallerConnection;
use crate::charge::Charge;
use crate::choose::{self, RequestNeeds, ReserveError};
use crate::crash_check;
use crate::crash_records;
use crate::exchange::{self, EndpointResponse, OutgoingRequest, ResponseDeadlines, SendOutcome};
use crate::grants;
use crate::guard::{Attempt, Completion, Rejection, SendPermit};
use crate::incarnations::IncarnationCheck;
use crate::pool::ConnectionPool;
use crate::queued::Waiter;
use crate::reservation::Reservation;
use crate::resumption::AnsweringIncarnation;
use crate::retry::RetrySlot;
use crate::send_log::SendLog;
use crate::shared::Shared;
use crate::stream_version::StreamVersion;

/// How often a request that has not run is sent at most, after refusals by full endpoints and
/// closed connections.
const MAX_SENDS: u32 = 5;
/// Pause before a refused request is sent again: by then the state of the endpoints has probably
/// changed.
const RESEND_DELAY: Duration = Duration::from_millis(20);
/// `Retry-After` of a request that timed out while waiting, or was waiting when the router stopped:
/// by then the model load that it waited for has probably finished.
pub(crate) const WAIT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of a request that may crash endpoints: by then other routers have probably told whether it also runs well.
const UNSETTLED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A request that may run twice considers another endpoint when no response has arrived within
/// this many times its target time.
const RECONSIDER_TARGET_MULTIPLE: u32 = 3;

/// Why the router answers a request itself, without a response of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) cause: Refusal,
    pub(crate) after: Option<Duration>,
}

/// A request that is being served.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) shared: Arc<Shared>,
    pub(crate) caller: CallerConnection,
    /// The version of HTTP that the caller speaks.
    pub(crate) version: Version,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) call: RequestHeaders,
    pub(crate) request_id: String,
    pub(crate) class: String,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) deadline: Instant,
    /// Latest time at which the request may be sent: the caller of a stream leaves before
    /// `deadline` if no event arrives.
    pub(crate) send_by: Instant,
    pub(crate) excluded: Vec<EndpointId>,
    /// Identifies the stream that the request begins or goes on with.
    pub(crate) stream_key: StreamKey,
    /// Identifies the stream that the caller takes up, if it names one.
    pub(crate) resumed_key: Option<StreamKey>,
    /// Where the stream began, once an event has reached the caller.
    pub(crate) origin: Option<StreamOrigin>,
    /// Whether the incarnation in `origin` is the one that began the stream.
    pub(crate) origin_check: Option<IncarnationCheck>,
    /// The software version to which the request is held, if it is for a stream.
    pub(crate) stream_version: StreamVersion,
    /// The incarnation of the endpoint that the request was last sent to.
    pub(crate) incarnation: Option<EndpointIncarnation>,
    /// The retry that is reserved for the request, if any.
    pub(crate) retry: RetrySlot,
    /// How often the request was sent.
    pub(crate) sends: u32,
    /// How often the request may have run.
    pub(crate) runs: u32,
    /// The connections to the incarnation that the request was last sent to.
    pub(crate) pool: Option<Arc<ConnectionPool>>,
    /// The workspace that the caller's key belongs to, if any.
    pub(crate) identity: Identity,
    /// The tokens that the request takes from the quota of its workspace.
    pub(crate) charge: Option<Charge>,
    /// The permit of the crash guard to send the request.
    pub(crate) permit: Option<SendPermit>,
    /// Whether the request is at an endpoint or may have run, for whoever ends its handling.
    pub(crate) may_have_run: Arc<AtomicBool>,
}

impl InFlightRequest {
    /// Sends the request until an endpoint gives the final response, or it may not be retried.
    pub(crate) async fn fetch_response(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<EndpointResponse, Failure> {
        let mut reserved = None;
        loop {
            let wait_start = Instant::now();
            self.acquire_permit().await?;
            let mut reservation = match reserved.take() {
                Some(reservation) => reservation,
                None => self.reserve().await?,
            };
            if reservation.rate_limit.is_some() {
                // Other endpoints may serve the next request while this one waits for its grant.
                reservation.release_place();
            }
            if let Some(limit) = reservation.rate_limit
                && !self.acquire_grant(&reservation, limit).await
            {
                continue;
            }
            let waited = wait_start.elapsed();
            // After this instance was paused, requests and closed connections arrive together: let
            // the runtime process the closed connections before anything is sent.
            self.shared.stall_detector.wait_after_stall().await;
            tokio::task::yield_now().await;
            if !reservation.is_open() || !self.is_permitted() {
                // The endpoint has started to drain, or the request has become a crash suspect.
                continue;
            }
            if !self.key_is_fresh() {
                // The key may have been revoked while the request waited.
                return Err(access::stale_keys_failure(&self.shared));
            }
            if self.runs == 0 && self.shared.ends_before(self.deadline) {
                return Err(self.failure(Refusal::Stopping, Some(Duration::ZERO)));
            }
            reservation.release_place();
            let id = reservation.id.clone();
            self.incarnation = reservation.incarnation;
            self.pool = Some(reservation.pool.clone());
            reservation.checks_incarnation = self.depends_on_version();
            let send_log = SendLog::start(self, &reservation, waited);
            self.sends += 1;
            self.set_spent(true);
            let now = Instant::now();
            let sending = ForwardOptions {
                endpoint: &id,
                time_left: self.deadline.saturating_duration_since(now),
                priority: self.priority(),
                last_event,
                workspace: self.identity.workspace().map(|workspace| &workspace.name),
            };
            let deadlines = ResponseDeadlines {
                deadline: self.deadline,
                reconsider_at: self.reconsider_at(now),
            };
            let outcome = exchange::send(
                reservation,
                &self.caller,
                &self.outgoing,
                &sending,
                &self.retry,
                deadlines,
                self.reserve_elsewhere(&id),
            )
            .await;
            send_log.finish();
            match outcome {
                SendOutcome::Response(response) => match self.classify(*response, &id).await {
                    Verdict::Done(response) => {
                        match self.answering_incarnation(&response.reservation).await {
                            // Only the list shows a restart of an endpoint that can't be asked.
                            AnsweringIncarnation::Same | AnsweringIncarnation::Unasked => {
                                return Ok(*response);
                            }
                            AnsweringIncarnation::Other => {
                                self.leave_run(
                                    &id,
                                    "the endpoint has restarted, perhaps with other software",
                                )?;
                            }
                            AnsweringIncarnation::Unknown => {
                                self.leave_run(
                                    &id,
                                    "the endpoint did not say whether it has restarted",
                                )?;
                            }
                        }
                    }
                    Verdict::Retry => {}
                    Verdict::Failed(failure) => return Err(failure),
                },
                SendOutcome::CallerLeft => {
                    self.set_spent(false);
                    return Err(self.failure(Refusal::Left, None));
                }
                SendOutcome::Draining => {
                    self.set_spent(false);
                    self.log_step(Step::NotRun, &id, "the endpoint accepts no new requests");
                    self.sends -= 1;
                }
                SendOutcome::NotSent(cause) => {
                    self.set_spent(false);
                    self.log_step(Step::Broken, &id, &cause);
                    self.shared.endpoints.record_failure(&id, self.incarnation, &cause);
                    if self.sends >= MAX_SENDS {
                        return Err(self.failure(Refusal::NoEndpoint, None));
                    }
                }
                SendOutcome::Interrupted(cause) => self.interrupted(&id, &cause)?,
                SendOutcome::Abandoned(other) => {
                    self.runs += 1;
                    self.leave(&id, "no response yet");
                    reserved = Some(*other);
                }
                SendOutcome::TimedOut => {
                    self.runs += 1;
                    return Err(self.failure(Refusal::TimedOut, None));
                }
            }
        }
    }

    /// Waits until the rate limit of an endpoint allows the request; false if that takes too long.
    async fn acquire_grant(&self, reservation: &Reservation, limit: Rate) -> bool {
        let mut excluded = self.excluded.clone();
        excluded.push(reservation.id.clone());
        let elsewhere =
            choose::has_alternative(&self.shared, &self.needs(&excluded), self.route.target);
        let max_wait = if elsewhere { Duration::ZERO } else { self.route.target };
        let time_left = self.send_by.saturating_duration_since(Instant::now());
        grants::acquire(&self.shared, reservation, limit, max_wait.min(time_left)).await
    }

    /// Waits for the permit of the crash guard, which holds back requests that were at crashed
    /// endpoints.
    async fn acquire_permit(&mut self) -> Result<(), Failure> {
        let fingerprint = &self.outgoing.fingerprint;
        let held = self.permit.take();
        let attempt = if self.runs > 0 { Attempt::Repeated } else { Attempt::First };
        let acquired = self.shared.guard.acquire(fingerprint, attempt, held, self.send_by).await;
        let rejection = match acquired {
            Ok(permit) => {
                self.permit = Some(permit);
                return Ok(());
            }
            Err(rejection) => rejection,
        };
        let (suspect, trial, cause, after) = match rejection {
            Rejection::Busy => {
                return Err(self.failure(Refusal::TimedOut, Some(WAIT_RETRY_AFTER)));
            }
            Rejection::Doubtful => {
                if let Some(id) = self.excluded.last() {
                    self.log_step(Step::GivenUp, id, "a part of its prompt may crash endpoints");
                }
                return Err(self.failure(Refusal::Unknown, None));
            }
            Rejection::Suspect(suspect) => (suspect, None, Refusal::Crashes, None),
            Rejection::TrialDue(suspect, number) => {
                let trial = crash_records::claim_trial(&self.shared, &suspect, number).await;
                (suspect, trial, Refusal::Crashes, None)
            }
            Rejection::Unsettled(suspect, time) => {
                let after = time.min(UNSETTLED_RETRY_AFTER);
                (suspect, None, Refusal::MayCrash, Some(after))
            }
        };
        emit(&Event::SuspectRequest {
            request: &self.request_id,
            digest: &suspect.to_string(),
            parts: &self.shared.guard.suspected_parts(&suspect, fingerprint),
            tried: trial.is_some(),
            ends: &self.shared.guard.evidence_text(&suspect),
        });
        self.permit = trial;
        match self.permit {
            Some(_) => Ok(()),
            None => Err(self.failure(cause, after)),
        }
    }

    /// Records whether the request is, or may be, at an endpoint. Tokens of a request that may
    /// have run are never refunded.
    fn set_spent(&mut self, sent: bool) {
        let spent = sent || self.runs > 0;
        self.may_have_run.store(spent, Ordering::Relaxed);
        if let Some(charge) = &mut self.charge {
            charge.spent = spent;
        }
    }

    /// Whether the key of the request may still be served, if it has one.
    fn key_is_fresh(&self) -> bool {
        let bound = self.shared.settings.borrow().bounds.revoke;
        self.runs > 0 || self.identity.workspace().is_none() || self.shared.access.is_fresh(bound)
    }

    fn is_permitted(&self) -> bool {
        let permit = self.permit.as_ref();
        permit.is_some_and(|permit| self.shared.guard.allows(&self.outgoing.fingerprint, permit))
    }

    /// Records that a response has been read to its end, and clears the request of suspicion if its
    /// endpoint survived it.
    pub(crate) fn complete(&self, mut response: EndpointResponse) {
        let (guard, fingerprint) = (&self.shared.guard, &self.outgoing.fingerprint);
        let digest = &fingerprint.request;
        if response.framing() != Framing::Close {
            let succeeds = response.head.status.is_success();
            let completion = if succeeds { Completion::Certain } else { Completion::Presumed };
            guard.record_completion(digest, completion);
            return response.release_connection();
        }
        // The connections of an endpoint that crashes end as well.
        if !response.reservation.end_with_connection() {
            guard.record_completion(digest, Completion::Presumed);
        } else if guard.is_watched(fingerprint) {
            let Reservation { id, incarnation, pool, .. } = &response.reservation;
            crash_check::start(&self.shared, id, *incarnation, pool);
        }
    }

    fn needs<'a>(&'a self, excluded: &'a [EndpointId]) -> RequestNeeds<'a> {
        let engine = self.catalog.service(&self.service).and_then(|s| s.engine.as_ref());
        RequestNeeds {
            service: &self.service,
            model: self.call.model.as_ref().filter(|_| engine.is_some()),
            engine,
            prompt_tokens: self.call.tokens.map_or(0, |(prompt, _)| prompt),
            first_event_target: self.route.target,
            max_pause: self.route.max_pause,
            deadline: self.send_by,
            search_start: Instant::now(),
            excluded,
            software: self.stream_version.wanted(),
            isolated: self.permit.as_ref().is_some_and(|permit| permit.isolated),
            waiter: self.waiter(),
        }
    }

    /// What decides on the place of the request in the queue for its model, if queues are on.
    fn waiter(&self) -> Option<Waiter<'_>> {
        let (prompt_tokens, output_tokens) = self.call.tokens.unwrap_or_default();
        self.shared.settings.borrow().queues().then(|| Waiter {
            request_id: &self.request_id,
            class: &self.class,
            workspace: self.identity.workspace().map(|workspace| &workspace.name),
            priority: self.priority(),
            tokens: u64::from(prompt_tokens) + u64::from(output_tokens),
            digest: self.outgoing.fingerprint.request,
        })
    }

    async fn reserve(&self) -> Result<Reservation, Failure> {
        let needs = self.needs(&self.excluded);
        let mut closing = self.shared.closing.subscribe();
        let reserved = tokio::select! {
            // An endpoint that is free now is used also while the router stops.
            biased;
            reserved = tokio::time::timeout_at(self.send_by, choose::reserve(&self.shared, needs)) => reserved,
            // A request that is still waiting could not be finished before the process ends.
            _ = closing.wait_for(|closing| *closing) => {
                return Err(self.failure(Refusal::Stopping, Some(WAIT_RETRY_AFTER)));
            }
        };
        match reserved {
            Ok(Ok(reservation)) => Ok(reservation),
            Ok(Err(ReserveError::NoEndpoint(after))) => {
                let after = self.shared.store_retry_after().unwrap_or(after);
                Err(self.failure(Refusal::NoEndpoint, Some(after)))
            }
            Ok(Err(ReserveError::NoVersion)) => Err(self.failure(Refusal::NoVersion, None)),
            Ok(Err(ReserveError::LoadTooSlow(after))) => {
                Err(self.failure(Refusal::ColdTooLong, Some(after)))
            }
            Ok(Err(ReserveError::QueueTooLong(after))) => {
                Err(self.failure(Refusal::QueueTooLong, Some(after)))
            }
            Ok(Err(ReserveError::HandedBack)) => {
                Err(self.failure(Refusal::HandedBack, Some(Duration::ZERO)))
            }
            Err(_) => Err(self.failure(Refusal::TimedOut, Some(WAIT_RETRY_AFTER))),
        }
    }

    /// Reserves another endpoint for a request that has no response yet, if one is expected to
    /// respond in time.
    async fn reserve_elsewhere(&self, id: &EndpointId) -> Option<Reservation> {
        if !self.may_move(id, self.route.target) {
            return None;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(id.clone());
        let needs = self.needs(&excluded);
        let reserved = choose::reserve(&self.shared, needs);
        tokio::time::timeout_at(self.send_by, reserved).await.ok()?.ok()
    }

    /// When a request that may run twice reconsiders its endpoint.
    fn reconsider_at(&self, now: Instant) -> Option<Instant> {
        let elsewhere = self.route.kind.repeatable() && self.runs + 1 < self.route.attempts;
        elsewhere.then(|| self.deadline.min(now + self.route.target * RECONSIDER_TARGET_MULTIPLE))
    }

    /// Whether a request without any response leaves its endpoint. It loses its turn there, so
    /// another endpoint must be expected to send the first event within `within`, and a retry is
    /// reserved in the budget. Without these conditions, 38 callers got 502 within four seconds of
    /// a loss of power.
    pub(crate) fn may_move(&self, id: &EndpointId, within: Duration) -> bool {
        let mut excluded = self.excluded.clone();
        excluded.push(id.clone());
        choose::has_alternative(&self.shared, &self.needs(&excluded), within)
            && self.retry.try_reserve(&self.request_id)
    }

    /// Records that the request leaves its endpoint, which has sent nothing so far, for another
    /// one.
    fn leave(&mut self, id: &EndpointId, cause: &str) {
        self.log_step(Step::Broken, id, cause);
        if self.call.model.is_none() {
            self.shared.endpoints.record_failure(id, self.incarnation, cause);
        }
        self.exclude(id);
    }

    /// Leaves an endpoint that has begun to run the request; an error if the request may not run again.
    fn leave_run(&mut self, id: &EndpointId, cause: &str) -> Result<(), Failure> {
        self.log_step(Step::Broken, id, cause);
        self.exclude(id);
        if self.may_run_again() { Ok(()) } else { Err(self.failure(Refusal::Unknown, None)) }
    }

    /// Whether the request may run once more. Reserves a retry in the budget of its service.
    fn may_run_again(&self) -> bool {
        self.route.kind.repeatable()
            && self.runs < self.route.attempts
            && self.deadline > Instant::now()
            && self.retry.try_reserve(&self.request_id)
    }

    /// The request does not go back to this endpoint.
    pub(crate) fn exclude(&mut self, id: &EndpointId) {
        if !self.excluded.contains(id) {
            self.excluded.push(id.clone());
        }
    }

    /// Priority of the request at the endpoint: the workspace's own if it has one, else that of
    /// the route. Endpoints serve more urgent requests first; 0 is the most urgent, 9 the least.
    fn priority(&self) -> u8 {
        let own = self.identity.workspace().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority).min(9)
    }

    async fn classify(&mut self, mut response: EndpointResponse, id: &EndpointId) -> Verdict {
        let status = response.head.status;
        match platform::classify_response(&self.call.id, status, &response.head.headers) {
            ResponseKind::Executed => {
                self.shared.endpoints.record_success(id, self.incarnation);
                self.runs += 1;
                let fails = self.route.kind == catalog::CallKind::Safe && status.is_server_error();
                // Callers would take the status for a statement that the endpoint has not made.
                let withheld = platform::indicates_not_executed(status);
                if !(fails || withheld) || !self.may_run_again() {
                    return Verdict::Done(Box::new(response));
                }
                self.log_step(Step::Broken, id, status.as_str());
                self.excluded.push(id.clone());
                Verdict::Retry
            }
            ResponseKind::NotExecuted => {
                self.log_step(Step::NotRun, id, status.as_str());
                response.reservation.clear_suspicion();
                drop(response);
                self.not_executed(id).await
            }
            ResponseKind::Misdirected => {
                self.log_step(Step::NotRun, id, status.as_str());
                let other = platform::instance_of(&response.head.headers).is_some_and(|o| o != *id);
                response.reservation.clear_suspicion();
                drop(response);
                match &self.call.model {
                    Some(model) if !other => {
                        self.shared.endpoints.record_missing_model(id, self.incarnation, model)
                    }
                    _ => self.shared.endpoints.record_failure(
                        id,
                        self.incarnation,
                        "another endpoint has its address",
                    ),
                }
                self.not_executed(id).await
            }
            ResponseKind::Untrusted => {
                drop(response);
                match self.interrupted(id, "the response does not answer the request") {
                    Ok(()) => Verdict::Retry,
                    Err(failure) => Verdict::Failed(failure),
                }
            }
        }
    }

    async fn not_executed(&mut self, id: &EndpointId) -> Verdict {
        self.set_spent(false);
        if self.sends >= MAX_SENDS || !self.retry.try_reserve(&self.request_id) {
            let after = choose::retry_after(&self.shared, &self.needs(&self.excluded))
                .unwrap_or(RESEND_DELAY);
            return Verdict::Failed(self.failure(Refusal::NoEndpoint, Some(after)));
        }
        if self.call.model.is_none() || self.sends > 1 {
            self.excluded.push(id.clone());
        }
        tokio::time::sleep(RESEND_DELAY).await;
        Verdict::Retry
    }

    /// Records that an endpoint has broken off its response.
    pub(crate) fn record_interruption(&self, id: &EndpointId, cause: &str) {
        self.log_step(Step::Broken, id, cause);
        self.shared.endpoints.record_failure(id, self.incarnation, cause);
        if let Some(pool) = &self.pool {
            crash_check::start(&self.shared, id, self.incarnation, pool);
        }
    }

    /// Records that the request may have run without a response; an error if it may not be
    /// retried.
    pub(crate) fn interrupted(&mut self, id: &EndpointId, cause: &str) -> Result<(), Failure> {
        self.runs += 1;
        self.record_interruption(id, cause);
        self.exclude(id);
        if self.may_run_again() { Ok(()) } else { Err(self.failure(Refusal::Unknown, None)) }
    }

    /// Builds the failure for a cause. The status 503 and `Retry-After` promise that the request
    /// has not run, so they are only sent if that is certain.
    pub(crate) fn failure(&self, cause: Refusal, after: Option<Duration>) -> Failure {
        let status = match (self.runs, cause) {
            // Callers do not retry a 400: the request would be refused again.
            (0, Refusal::Crashes) => StatusCode::BAD_REQUEST,
            (0, _) => StatusCode::SERVICE_UNAVAILABLE,
            (_, Refusal::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Failure { status, cause, after: after.filter(|_| self.runs == 0) }
    }

    pub(crate) fn log_step(&self, step: Step, id: &EndpointId, cause: &str) {
        self.log_step_at(step, id, "", cause);
    }

    /// Logs that the stream continues at another endpoint.
    pub(crate) fn log_resumed(&self, reservation: &Reservation) {
        self.log_step_at(Step::Resumed, &reservation.id, reservation.software_text(), "");
    }

    fn log_step_at(&self, step: Step, id: &EndpointId, software: &str, cause: &str) {
        emit(&Event::Step {
            request: &self.request_id,
            step,
            endpoint: id.as_str(),
            sends: self.sends,
            inflight: 0,
            age_ms: 0,
            quiet_ms: 0,
            waited_ms: 0,
            cold: false,
            digest: "",
            software,
            class: &self.class,
            cause,
        });
    }
}

/// What to do after a response of an endpoint.
enum Verdict {
    /// Relay the response to the caller.
    Done(Box<EndpointResponse>),
    /// Send the request again.
    Retry,
    Failed(Failure),
}
