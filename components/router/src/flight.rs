//! One request on its way: where it is sent, and whether it may be sent again.

use std::sync::Arc;
use std::time::Duration;

use catalog::{Catalog, Route};
use events::{Event, Refusal, Step, emit, millis};
use http::StatusCode;
use platform::{ForwardOptions, RequestHeaders, ResponseKind};
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, ServiceName};

use crate::access::{self, Identity};
use crate::caller::Caller;
use crate::charge::Charge;
use crate::choose::{self, NoPlace, Wanted};
use crate::crash_check;
use crate::crash_records;
use crate::exchange::{self, Answer, Outgoing, Patience, Sent};
use crate::guard::{Rejection, SendPermit};
use crate::place::Place;
use crate::pool::ConnectionPool;
use crate::shared::Shared;

/// Sends of one request that did not run, at most: refusals of full endpoints and closed connections.
const SENDS: u32 = 5;
/// After an endpoint has refused, its state is likely to have changed a little later.
const BREATH: Duration = Duration::from_millis(20);
/// When a caller may come back whose request waited in vain: the load that it waited for is likely to be done.
const SOON: Duration = Duration::from_millis(500);
/// A request that may run twice looks for a better endpoint when no answer came for this many times its target.
const PATIENCE: u32 = 3;

/// Why a request gets no answer from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) cause: Refusal,
    pub(crate) after: Option<Duration>,
}

/// A request on its way.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) shared: Arc<Shared>,
    pub(crate) caller: Caller,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) call: RequestHeaders,
    pub(crate) name: String,
    pub(crate) class: String,
    pub(crate) outgoing: Outgoing,
    pub(crate) due: Instant,
    /// Until when it may wait for a place: the caller of a stream leaves before `due` if nothing arrives.
    pub(crate) start: Instant,
    pub(crate) tried: Vec<EndpointId>,
    /// The life of the endpoint that it was last sent to.
    pub(crate) life: Option<EndpointIncarnation>,
    /// How often it was sent.
    pub(crate) sends: u32,
    /// How often it may have run.
    pub(crate) runs: u32,
    /// The life of the endpoint that it was last sent to, as this router reaches it.
    pub(crate) pool: Option<Arc<ConnectionPool>>,
    /// Whose it is.
    pub(crate) identity: Identity,
    /// What it takes from the limit of its workspace.
    pub(crate) charge: Option<Charge>,
    /// Leave to send it.
    pub(crate) pass: Option<SendPermit>,
}

impl Flight {
    /// Sends the request until an endpoint answers it for good.
    pub(crate) async fn answer(&mut self, last_event: Option<u64>) -> Result<Answer, Failure> {
        loop {
            let asked = Instant::now();
            self.enter().await?;
            let place = self.place().await?;
            let waited = asked.elapsed();
            // After the machine stood still, requests and the closing of their connections arrive together: let
            // the closing be seen before anything is sent.
            self.shared.pulse.settle().await;
            tokio::task::yield_now().await;
            if !place.open() || !self.allowed() {
                // What arrived with it says that the endpoint leaves, or that the request ends endpoints.
                continue;
            }
            if !self.proved() {
                // Its key may have been taken away while it waited.
                return Err(access::unproved(&self.shared));
            }
            let id = place.id.clone();
            self.life = place.life;
            self.pool = Some(place.pool.clone());
            self.log_sent(&place, waited);
            self.sends += 1;
            self.spend(true);
            let now = Instant::now();
            let sending = ForwardOptions {
                endpoint: &id,
                time_left: self.due.saturating_duration_since(now),
                priority: self.priority(),
                last_event,
                workspace: self.identity.workspace().map(|workspace| &workspace.name),
            };
            let patience = Patience { due: self.due, ask: self.ask(now) };
            let leave = || self.may_leave(&id, self.route.target);
            match exchange::send(place, &self.caller, &self.outgoing, &sending, patience, leave)
                .await
            {
                Sent::Answer(answer) => match self.judge(*answer, &id).await {
                    Judged::Final(answer) => return Ok(*answer),
                    Judged::Again => {}
                    Judged::Failed(failure) => return Err(failure),
                },
                Sent::Left => {
                    self.spend(false);
                    return Err(self.failed(Refusal::Left, None));
                }
                Sent::Moved => {
                    self.spend(false);
                    self.step(Step::NotRun, &id, "the endpoint takes nothing new");
                    self.sends -= 1;
                }
                Sent::Unsent(cause) => {
                    self.spend(false);
                    self.step(Step::Broken, &id, &cause);
                    self.shared.known.record_failure(&id, self.life, &cause);
                    if self.sends >= SENDS {
                        return Err(self.failed(Refusal::NoEndpoint, None));
                    }
                }
                Sent::Broken(cause) => self.broken(&id, &cause)?,
                Sent::Elsewhere => {
                    self.runs += 1;
                    self.leave(&id, "no answer so far");
                }
                Sent::Late => {
                    self.runs += 1;
                    return Err(self.failed(Refusal::TimedOut, None));
                }
            }
        }
    }

    /// Waits until it may be sent, as far as it is known what it did to endpoints before.
    async fn enter(&mut self) -> Result<(), Failure> {
        let digest = self.outgoing.digest;
        let held = self.pass.take();
        let barred = match self.shared.guard.acquire(&digest, held, self.start).await {
            Ok(pass) => {
                self.pass = Some(pass);
                return Ok(());
            }
            Err(barred) => barred,
        };
        let mut tried = None;
        if let Rejection::TrialDue(number) = barred {
            tried = crash_records::claim_trial(&self.shared, &digest, number).await;
        }
        if barred != Rejection::Busy {
            emit(&Event::Barred {
                request: &self.name,
                digest: &digest.to_string(),
                tried: tried.is_some(),
                ends: &self.shared.guard.evidence_text(&digest),
            });
        }
        self.pass = tried;
        match (&self.pass, barred) {
            (Some(_), _) => Ok(()),
            (None, Rejection::Busy) => Err(self.failed(Refusal::TimedOut, Some(SOON))),
            (None, Rejection::Suspect | Rejection::TrialDue(_)) => {
                Err(self.failed(Refusal::Crashes, None))
            }
        }
    }

    /// Notes whether it is, or may be, at an endpoint: what has run once is never given back.
    fn spend(&mut self, sent: bool) {
        let spent = sent || self.runs > 0;
        if let Some(charge) = &mut self.charge {
            charge.spent = spent;
        }
    }

    /// Whether its key may still be served, if it has one.
    fn proved(&self) -> bool {
        let bound = self.shared.settings.borrow().bounds.revoke;
        self.runs > 0 || self.identity.workspace().is_none() || self.shared.access.holds(bound)
    }

    fn allowed(&self) -> bool {
        let pass = self.pass.as_ref();
        pass.is_some_and(|pass| self.shared.guard.allows(&self.outgoing.digest, pass))
    }

    /// Notes that its endpoint has outlived it.
    pub(crate) fn outlived(&self) {
        self.shared.guard.record_completion(&self.outgoing.digest);
    }

    fn wanted<'a>(&'a self, tried: &'a [EndpointId]) -> Wanted<'a> {
        let engine = self.catalog.service(&self.service).and_then(|s| s.engine.as_ref());
        Wanted {
            service: &self.service,
            model: self.call.model.as_ref().filter(|_| engine.is_some()),
            engine,
            prompt: self.call.tokens.map_or(0, |(prompt, _)| prompt),
            target: self.route.target,
            due: self.start,
            since: Instant::now(),
            tried,
            apart: self.pass.as_ref().is_some_and(|pass| pass.isolated),
        }
    }

    async fn place(&self) -> Result<Place, Failure> {
        let wanted = self.wanted(&self.tried);
        let mut closing = self.shared.closing.subscribe();
        let placed = tokio::select! {
            placed = tokio::time::timeout_at(self.start, choose::place(&self.shared, wanted)) => placed,
            // What waits on could not be finished before the process ends.
            _ = closing.wait_for(|closing| *closing) => {
                return Err(self.failed(Refusal::Stopping, Some(SOON)));
            }
        };
        match placed {
            Ok(Ok(place)) => Ok(place),
            Ok(Err(NoPlace::NoEndpoint(after))) => {
                let after = self.shared.store_back().unwrap_or(after);
                Err(self.failed(Refusal::NoEndpoint, Some(after)))
            }
            Ok(Err(NoPlace::Cold(after))) => Err(self.failed(Refusal::ColdTooLong, Some(after))),
            Err(_) => Err(self.failed(Refusal::TimedOut, Some(SOON))),
        }
    }

    /// When a request that may go on elsewhere looks whether it should.
    fn ask(&self, now: Instant) -> Option<Instant> {
        let elsewhere = self.route.kind.repeatable() && self.runs + 1 < self.route.attempts;
        elsewhere.then(|| self.due.min(now + self.route.target * PATIENCE))
    }

    /// Whether a request that gets nothing leaves its endpoint: only for one that is expected to begin it within this time,
    /// and with a repeat from the budget, since it loses its turn. When it left without either, 38 callers of one day got
    /// 502 within four seconds of a loss of power.
    pub(crate) fn may_leave(&self, id: &EndpointId, within: Duration) -> bool {
        let mut tried = self.tried.clone();
        tried.push(id.clone());
        choose::elsewhere(&self.shared, &self.wanted(&tried), within)
            && self.shared.may_repeat(&self.service, &self.name)
    }

    /// Notes that a request leaves its endpoint, which gave nothing so far, for another one.
    pub(crate) fn leave(&mut self, id: &EndpointId, cause: &str) {
        self.step(Step::Broken, id, cause);
        if self.call.model.is_none() {
            self.shared.known.record_failure(id, self.life, cause);
        }
        self.tried.push(id.clone());
    }

    /// More urgent requests go first at the endpoints; the middle of the scale is left to others.
    fn priority(&self) -> u8 {
        let own = self.identity.workspace().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority).min(9)
    }

    async fn judge(&mut self, mut answer: Answer, id: &EndpointId) -> Judged {
        let status = answer.head.status;
        match platform::classify_response(&self.call.id, status, &answer.head.headers) {
            ResponseKind::Executed => {
                self.shared.known.record_success(id, self.life);
                self.runs += 1;
                let again = self.route.kind == catalog::CallKind::Safe
                    && status.is_server_error()
                    && self.runs < self.route.attempts
                    && self.shared.may_repeat(&self.service, &self.name);
                if !again {
                    return Judged::Final(Box::new(answer));
                }
                self.step(Step::Broken, id, status.as_str());
                self.tried.push(id.clone());
                Judged::Again
            }
            ResponseKind::NotExecuted => {
                self.step(Step::NotRun, id, status.as_str());
                answer.place.outlived();
                drop(answer);
                self.not_run(id).await
            }
            ResponseKind::Misdirected => {
                self.step(Step::NotRun, id, status.as_str());
                let other = platform::instance_of(&answer.head.headers).is_some_and(|o| o != *id);
                answer.place.outlived();
                drop(answer);
                match &self.call.model {
                    Some(model) if !other => {
                        self.shared.known.record_missing_model(id, self.life, model)
                    }
                    _ => self.shared.known.record_failure(
                        id,
                        self.life,
                        "another endpoint has its address",
                    ),
                }
                self.not_run(id).await
            }
            ResponseKind::Untrusted => {
                drop(answer);
                match self.broken(id, "the answer belongs to another request") {
                    Ok(()) => Judged::Again,
                    Err(failure) => Judged::Failed(failure),
                }
            }
        }
    }

    async fn not_run(&mut self, id: &EndpointId) -> Judged {
        self.spend(false);
        if self.sends >= SENDS || !self.shared.may_repeat(&self.service, &self.name) {
            let after = choose::back(&self.shared, &self.wanted(&self.tried)).unwrap_or(BREATH);
            return Judged::Failed(self.failed(Refusal::NoEndpoint, Some(after)));
        }
        if self.call.model.is_none() || self.sends > 1 {
            self.tried.push(id.clone());
        }
        tokio::time::sleep(BREATH).await;
        Judged::Again
    }

    /// Notes that a request may have run without an answer; an error if it can't be sent again.
    pub(crate) fn broken(&mut self, id: &EndpointId, cause: &str) -> Result<(), Failure> {
        self.runs += 1;
        self.step(Step::Broken, id, cause);
        self.shared.known.record_failure(id, self.life, cause);
        if let Some(pool) = &self.pool {
            crash_check::start(&self.shared, id, self.life, pool);
        }
        self.tried.push(id.clone());
        let again = self.route.kind.repeatable()
            && self.runs < self.route.attempts
            && self.due > Instant::now()
            && self.shared.may_repeat(&self.service, &self.name);
        if again { Ok(()) } else { Err(self.failed(Refusal::Unknown, None)) }
    }

    /// The failure for a cause: a promise that the request has not run only if that is certain.
    pub(crate) fn failed(&self, cause: Refusal, after: Option<Duration>) -> Failure {
        let status = match (self.runs, cause) {
            // Callers don't come back with what is refused as it is.
            (0, Refusal::Crashes) => StatusCode::BAD_REQUEST,
            (0, _) => StatusCode::SERVICE_UNAVAILABLE,
            (_, Refusal::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Failure { status, cause, after: after.filter(|_| self.runs == 0) }
    }

    fn log_sent(&self, place: &Place, waited: Duration) {
        emit(&Event::Step {
            request: &self.name,
            step: Step::Sent,
            endpoint: place.id.as_str(),
            sends: self.sends,
            inflight: place.running,
            age_ms: millis(place.age),
            waited_ms: millis(waited),
            cold: place.cold,
            digest: &self.outgoing.digest.to_string(),
            class: &self.class,
            cause: "",
        });
    }

    pub(crate) fn step(&self, step: Step, id: &EndpointId, cause: &str) {
        emit(&Event::Step {
            request: &self.name,
            step,
            endpoint: id.as_str(),
            sends: self.sends,
            inflight: 0,
            age_ms: 0,
            waited_ms: 0,
            cold: false,
            digest: "",
            class: &self.class,
            cause,
        });
    }
}

enum Judged {
    Final(Box<Answer>),
    Again,
    Failed(Failure),
}
