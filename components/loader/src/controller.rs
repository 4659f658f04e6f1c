//! The task that owns the loader's view of the endpoint, and gives the endpoint one order at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use control::{EndpointState, EnsureOutcome};
use events::{Dependency, Event, emit, millis};
use fleet::Tier;
use platform::{Operation, RateLimitHint, fetch_report};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, Rate, Revision, StorePosition};
use web::Client;

use crate::incarnations::Incarnations;
use crate::permit::{PermitHandle, PermitRequest};
use crate::plan::{self, Action};
use crate::router_api::Command;
use crate::view::{EndpointView, Eviction, LastPoll, RequestedModel};

mod orders;
mod permits;
mod publish;
mod rooms;

/// The interval between reports while nothing is in progress. A report older than this is renewed if models are
/// requested. It is also the retry delay for models whose order the endpoint refused, and the assumed time of a load
/// from the weight store for a model that the configuration doesn't describe.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval between reports while an order for a model is carried out; a load from host memory takes a few hundred
/// milliseconds. Also the assumed duration of an unload, and of a load whose model the configuration doesn't describe.
const ORDER_INTERVAL: Duration = Duration::from_millis(40);
/// The interval between reports while an adapter is being loaded, which takes a few milliseconds, or a model is
/// evicted.
const ADAPTER_INTERVAL: Duration = Duration::from_millis(8);
/// The timeout of orders and reports; the endpoint runs on the same instance.
const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(500);
/// A report up to this old suffices to answer that a model is loaded. Routers ask for models that they found missing,
/// and a wrong answer costs each of them a retry.
const MAX_READY_REPORT_AGE: Duration = Duration::from_millis(100);
/// The delay after an order that was not accepted or got no answer, before the next one; until then a report shows what
/// became of the order. Also the interval between reports while models are requested.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An order that is being carried out.
#[derive(Debug, Clone)]
struct PendingOrder {
    operation: Operation,
    target: ModelId,
    tier: Tier,
    since: Instant,
    expected: Duration,
}

/// Where the loader's fencing token comes from.
#[derive(Debug)]
pub(crate) struct TokenSource {
    /// The position of the loader's start record, once it is appended.
    pub(crate) start: watch::Receiver<Option<StorePosition>>,
    /// Notified when the endpoint has refused an order since it has seen a higher token.
    pub(crate) refused: Arc<Notify>,
}

/// Owns the loader's view of the endpoint, and gives the orders.
#[derive(Debug)]
pub(crate) struct Controller {
    instance: String,
    addr: SocketAddr,
    client: Client,
    token: TokenSource,
    permit: PermitHandle,
    /// The permit request last sent to the permit task.
    permit_request: Option<PermitRequest>,
    commands: mpsc::Receiver<Command>,
    state: watch::Sender<EndpointState>,
    /// When the state was last published.
    published: Option<Instant>,
    endpoint: Option<EndpointId>,
    /// The incarnation of the endpoint in the last report.
    incarnation: Option<EndpointIncarnation>,
    /// Whether the endpoint has said in this incarnation that it is draining. No later report takes that back, since it
    /// may be older than the time it is read.
    draining: bool,
    /// The rate limit in the endpoint's last report.
    rate_limit: Option<Rate>,
    /// The id in the last order that the endpoint refused because it has restarted with another id.
    rejected_id: Option<EndpointId>,
    engine_version: Revision,
    view: EndpointView,
    pending: Option<PendingOrder>,
    /// Until when no order is given.
    paused_until: Option<Instant>,
    last_report: Option<Instant>,
    unreachable: bool,
    /// The incarnations in which the endpoint was seen.
    incarnations: Incarnations,
}

impl Controller {
    /// Creates a controller of the endpoint at `addr`.
    pub(crate) fn new(
        instance: String,
        addr: SocketAddr,
        token: TokenSource,
        permit: PermitHandle,
        commands: mpsc::Receiver<Command>,
        state: watch::Sender<EndpointState>,
        incarnations: Incarnations,
    ) -> Self {
        Self {
            instance,
            addr,
            client: Client::default(),
            token,
            permit,
            permit_request: None,
            commands,
            state,
            published: None,
            endpoint: None,
            incarnation: None,
            draining: false,
            rate_limit: None,
            rejected_id: None,
            engine_version: Revision(0),
            view: EndpointView::default(),
            pending: None,
            paused_until: None,
            last_report: None,
            unreachable: false,
            incarnations,
        }
    }

    /// Runs until all senders of commands are gone.
    pub(crate) async fn run(mut self) {
        let mut report_at = Instant::now();
        loop {
            if Instant::now() >= report_at {
                self.update_report().await;
                report_at = Instant::now() + self.report_interval();
            }
            if self.act().await {
                // The next report shows the effect of an order.
                report_at = Instant::now() + self.report_interval();
                self.publish();
                continue;
            }
            self.publish();
            let next = report_at.min(self.first_deadline());
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return
                },
                () = tokio::time::sleep_until(next) => {}
                Ok(()) = self.permit.granted.changed() => {}
            }
            while let Ok(command) = self.commands.try_recv() {
                self.handle_command(command);
            }
            if self.view.report.is_none() || self.needs_report() {
                report_at = report_at.min(Instant::now());
            }
        }
    }

    /// Whether the report is too old to act on: orders may have been carried out since.
    fn needs_report(&self) -> bool {
        let stale = self.last_report.is_none_or(|at| at.elapsed() > IDLE_INTERVAL);
        !self.view.requested.is_empty() && stale
    }

    fn report_interval(&self) -> Duration {
        let loading_adapter =
            self.view.report.as_ref().is_some_and(|r| !r.loading_adapters.is_empty());
        if loading_adapter || self.pending.as_ref().is_some_and(|p| p.target.adapter.is_some()) {
            ADAPTER_INTERVAL
        } else if self.pending.is_some() {
            ORDER_INTERVAL
        } else if self.view.eviction.is_some() {
            ADAPTER_INTERVAL
        } else if self.view.requested.is_empty() {
            IDLE_INTERVAL
        } else {
            RETRY_DELAY
        }
    }

    fn first_deadline(&self) -> Instant {
        let now = Instant::now();
        self.view
            .requested
            .values()
            .map(|requested| requested.deadline)
            .min()
            .unwrap_or(now + IDLE_INTERVAL)
    }

    fn handle_command(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Poll(poll) => {
                self.adopt_id(&poll.endpoint);
                let last_poll = LastPoll { at: now, wait: poll.wait };
                self.view.routers.insert(poll.router.clone(), last_poll);
                if poll.rates {
                    self.view.rates_wanted = Some(last_poll);
                }
                if EndpointIncarnation::differ(self.incarnation, poll.incarnation) {
                    // The poll reports requests that ended with another incarnation of the endpoint.
                    return;
                }
                for reported in &poll.steps {
                    self.view.steps.add(&reported.model, reported.step(), now);
                }
                for usage in self.view.usage.values_mut() {
                    usage.running.remove(&poll.router);
                }
                for model_use in poll.uses {
                    self.record_use(&poll.router, &model_use);
                    let usage = self.view.usage.entry(model_use.model).or_default();
                    usage.record_requests(model_use.begun, now);
                    if model_use.running > 0 {
                        usage.last_used = Some(now);
                        usage.running.insert(poll.router.clone(), (model_use.running, last_poll));
                    }
                }
            }
            Command::Ensure(mut ensure, reply) => {
                self.adopt_id(&ensure.endpoint);
                self.record_queue(&mut ensure, now);
                if ensure.target.adapter.is_some() {
                    self.view.adapters_asked.insert(ensure.target.clone(), now);
                }
                if ensure.waiting > 0 {
                    self.view.mark_used(&ensure.target.model, now);
                }
                let recent = self.last_report.is_some_and(|at| at.elapsed() < MAX_READY_REPORT_AGE);
                if self.view.holds(&ensure.target) {
                    if recent {
                        let _ = reply.send(EnsureOutcome::Ready);
                        return;
                    }
                    // The router may have found the model missing, so a new report is read before it is confirmed.
                    self.view.report = None;
                }
                let deadline = now + ensure.within;
                let requested =
                    self.view.requested.entry(ensure.target).or_insert_with(|| RequestedModel {
                        waiting: BTreeMap::new(),
                        request_rates: BTreeMap::new(),
                        software: None,
                        deadline,
                        since: now,
                        replies: Vec::new(),
                    });
                requested.waiting.insert(ensure.router.clone(), ensure.waiting);
                requested.request_rates.insert(ensure.router, ensure.rate);
                requested.software = ensure.software.or(requested.software.take());
                requested.deadline = requested.deadline.max(deadline);
                requested.replies.push(reply);
            }
            Command::Engine(update) => {
                if update.version > self.engine_version {
                    self.engine_version = update.version;
                    self.view.engine = Some(update.engine);
                }
            }
        }
    }

    /// Adopts the id of the endpoint that a router uses, if none is known and the endpoint hasn't rejected this one.
    fn adopt_id(&mut self, endpoint: &EndpointId) {
        if self.endpoint.is_none() && self.rejected_id.as_ref() != Some(endpoint) {
            self.endpoint = Some(endpoint.clone());
        }
    }

    /// Reads a report of the endpoint.
    async fn update_report(&mut self) {
        let asked = Instant::now();
        match fetch_report(&self.client, self.addr, ENDPOINT_TIMEOUT).await {
            Ok(mut report) => {
                self.incarnations.record(report.incarnation, asked);
                if self.unreachable {
                    let after = self.last_report.map_or(Duration::ZERO, |at| at.elapsed());
                    emit(&Event::DependencyRegained {
                        dependency: Dependency::Endpoint,
                        name: &self.addr.to_string(),
                        after_ms: millis(after),
                    });
                }
                self.unreachable = false;
                self.last_report = Some(Instant::now());
                if EndpointIncarnation::differ(self.incarnation, report.incarnation) {
                    self.handle_restart();
                }
                self.incarnation = report.incarnation.or(self.incarnation);
                self.draining |= report.draining;
                match report.hints.rate_limit {
                    RateLimitHint::Unlimited => self.rate_limit = None,
                    RateLimitHint::Limited(rate) => self.rate_limit = Some(rate),
                    RateLimitHint::Invalid => {}
                }
                report.draining = self.draining;
                let ended = self.pending.take_if(|_| !report.busy);
                self.view.report = Some(report);
                self.update_residences();
                if let Some(ended) = ended {
                    self.finish_order(&ended);
                }
                self.answer_requests();
            }
            Err(error) => {
                if !self.unreachable {
                    emit(&Event::DependencyLost {
                        dependency: Dependency::Endpoint,
                        name: &self.addr.to_string(),
                        cause: &error.to_string(),
                    });
                }
                self.unreachable = true;
                self.view.report = None;
                self.pending = None;
            }
        }
    }

    /// Handles a restart of the endpoint under the same id: what it ran, held, loaded or was about to evict is gone.
    /// Models that routers wait for remain requested.
    fn handle_restart(&mut self) {
        emit(&Event::EndpointChanged {
            endpoint: self.endpoint.as_ref().map_or("", |id| id.as_str()),
            addr: self.addr.to_string(),
            stage: "restarted",
            software: "",
            cause: "",
        });
        self.pending = None;
        self.paused_until = None;
        self.draining = false;
        self.rate_limit = None;
        self.view.reset_endpoint();
    }

    /// Answers requests for models that are loaded, and drops requests whose deadline has passed.
    fn answer_requests(&mut self) {
        let now = Instant::now();
        let view = &self.view;
        let ready: Vec<ModelId> =
            view.requested.keys().filter(|id| view.holds(id)).cloned().collect();
        for id in ready {
            self.view.mark_used(&id.model, now);
            self.answer(&id, EnsureOutcome::Ready);
        }
        self.view.requested.retain(|_, requested| requested.deadline > now);
        self.view.rooms.expire(now);
    }

    fn answer(&mut self, id: &ModelId, outcome: EnsureOutcome) {
        let Some(requested) = self.view.requested.remove(id) else { return };
        for reply in requested.replies {
            let _ = reply.send(outcome);
        }
    }

    /// Takes the next action; returns false if there is none.
    async fn act(&mut self) -> bool {
        self.answer_requests();
        let now = Instant::now();
        if self.pending.is_some() || self.paused_until.is_some_and(|until| until > now) {
            return false;
        }
        self.update_permit();
        match plan::next_action(&self.view, now) {
            Action::Wait => false,
            Action::CancelEviction => {
                self.view.eviction = None;
                true
            }
            Action::Evict(model) => {
                self.view.eviction = Some(Eviction { model, since: now });
                true
            }
            Action::Refuse(id, after) => {
                self.record_refusal(&id, after, now);
                self.answer(&id, EnsureOutcome::Refused(after));
                true
            }
            Action::Order(operation, target) => {
                let start = *self.token.start.borrow();
                let Some((start, endpoint)) = start.zip(self.endpoint.clone()) else {
                    return false;
                };
                self.order(operation, target, start.into(), endpoint).await;
                true
            }
        }
    }
}
