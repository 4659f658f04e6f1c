//! The task that owns what is known of the endpoint, and gives it orders one at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use control::{State, Verdict};
use events::{Dependency, Event, emit, millis};
use fleet::Tier;
use platform::{Work, read_report};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;
use units::{EndpointId, Life, Revision, StorePosition};
use web::Client;

use crate::permit::{Lane, Wish};
use crate::plan::{self, Next};
use crate::router_api::Command;
use crate::view::{Heard, Leaving, Ledger, Want};

mod orders;
mod permits;
mod publish;

/// Between reports while nothing is going on.
const CALM: Duration = Duration::from_millis(1_000);
/// Between reports while an order is carried out; a load from host memory takes a few hundred milliseconds.
const EAGER: Duration = Duration::from_millis(40);
/// Between reports while an adapter is on its way; one takes a few milliseconds.
const ADAPTER: Duration = Duration::from_millis(8);
/// What an order or a report may take on the endpoint's own machine.
const PATIENCE: Duration = Duration::from_millis(500);
/// A report this old is good enough to say that a model is there: routers ask for one that they found missing, and a
/// promise that does not hold costs each of them a repeat.
const FRESH: Duration = Duration::from_millis(100);
/// After an order without an answer, the endpoint is asked what became of it.
const RETRY: Duration = Duration::from_millis(100);

/// An order that is carried out.
#[derive(Debug, Clone)]
struct Pending {
    work: Work,
    target: ModelId,
    tier: Tier,
    since: Instant,
    expect: Duration,
}

/// Where the loader's fencing token comes from.
#[derive(Debug)]
pub(crate) struct Token {
    /// The position of the record of its start, once that is written.
    pub(crate) start: watch::Receiver<Option<StorePosition>>,
    /// Told when somebody has had a higher one.
    pub(crate) fenced: Arc<Notify>,
}

/// Owns the endpoint's state.
#[derive(Debug)]
pub(crate) struct Steward {
    instance: String,
    addr: SocketAddr,
    client: Client,
    token: Token,
    lane: Lane,
    /// What it last said to wait for a lane for.
    wished: Option<Wish>,
    commands: mpsc::Receiver<Command>,
    state: watch::Sender<State>,
    endpoint: Option<EndpointId>,
    /// The life of the endpoint that the last report was about.
    life: Option<Life>,
    /// Whether the endpoint has said in this life that it leaves; no later report takes that back, since one may be older than
    /// it is read.
    leaving: bool,
    /// The name under which the endpoint last refused an order: it has restarted since.
    denied: Option<EndpointId>,
    engine: Revision,
    ledger: Ledger,
    pending: Option<Pending>,
    pause: Option<Instant>,
    reached: Option<Instant>,
    lost: bool,
}

impl Steward {
    /// A steward of the endpoint at this address.
    pub(crate) fn new(
        instance: String,
        addr: SocketAddr,
        token: Token,
        lane: Lane,
        commands: mpsc::Receiver<Command>,
        state: watch::Sender<State>,
    ) -> Self {
        Self {
            instance,
            addr,
            client: Client::default(),
            token,
            lane,
            wished: None,
            commands,
            state,
            endpoint: None,
            life: None,
            leaving: false,
            denied: None,
            engine: Revision(0),
            ledger: Ledger::default(),
            pending: None,
            pause: None,
            reached: None,
            lost: false,
        }
    }

    /// Runs until nobody can send commands any more.
    pub(crate) async fn run(mut self) {
        let mut report_at = Instant::now();
        loop {
            if Instant::now() >= report_at {
                self.report().await;
                report_at = Instant::now() + self.pace();
            }
            if self.act().await {
                // What an order did shows in the next report.
                report_at = Instant::now() + self.pace();
                self.publish();
                continue;
            }
            self.publish();
            let next = report_at.min(self.first_due());
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                () = tokio::time::sleep_until(next) => {}
                Ok(()) = self.lane.granted.changed() => {}
            }
            while let Ok(command) = self.commands.try_recv() {
                self.take(command);
            }
            if self.ledger.report.is_none() || self.needs_report() {
                report_at = report_at.min(Instant::now());
            }
        }
    }

    /// Whether the report is too old to act on: orders may have been given since.
    fn needs_report(&self) -> bool {
        let stale = self.reached.is_none_or(|reached| reached.elapsed() > CALM);
        !self.ledger.wants.is_empty() && stale
    }

    fn pace(&self) -> Duration {
        let incoming = self.ledger.report.as_ref().is_some_and(|r| !r.incoming.is_empty());
        if incoming || self.pending.as_ref().is_some_and(|p| p.target.adapter.is_some()) {
            ADAPTER
        } else if self.pending.is_some() {
            EAGER
        } else if self.ledger.leaving.is_some() {
            ADAPTER
        } else if self.ledger.wants.is_empty() {
            CALM
        } else {
            RETRY
        }
    }

    fn first_due(&self) -> Instant {
        let now = Instant::now();
        self.ledger.wants.values().map(|want| want.due).min().unwrap_or(now + CALM)
    }

    fn take(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Uses(poll) => {
                self.adopt(&poll.endpoint);
                let heard = Heard { at: now, wait: poll.wait };
                self.ledger.routers.insert(poll.router.clone(), heard);
                if Life::differ(self.life, poll.life) {
                    // What it says is about requests that ended with the endpoint's life.
                    return;
                }
                for usage in self.ledger.usage.values_mut() {
                    usage.running.remove(&poll.router);
                }
                for one in poll.uses {
                    let usage = self.ledger.usage.entry(one.model).or_default();
                    usage.begin(one.begun, now);
                    if one.running > 0 {
                        usage.last = Some(now);
                        usage.running.insert(poll.router.clone(), (one.running, heard));
                    }
                }
            }
            Command::Ensure(ensure, reply) => {
                self.adopt(&ensure.endpoint);
                if ensure.target.adapter.is_some() {
                    self.ledger.adapters.insert(ensure.target.clone(), now);
                }
                if ensure.waiting > 0 {
                    self.ledger.touch(&ensure.target.model, now);
                }
                let fresh = self.reached.is_some_and(|reached| reached.elapsed() < FRESH);
                if self.ledger.holds(&ensure.target) {
                    if fresh {
                        let _ = reply.send(Verdict::Ready);
                        return;
                    }
                    // The router may have found it missing: the endpoint is asked before it is promised.
                    self.ledger.report = None;
                }
                let due = now + ensure.within;
                let want = self.ledger.wants.entry(ensure.target).or_insert_with(|| Want {
                    waiters: BTreeMap::new(),
                    rates: BTreeMap::new(),
                    due,
                    since: now,
                    replies: Vec::new(),
                });
                want.waiters.insert(ensure.router.clone(), ensure.waiting);
                want.rates.insert(ensure.router, ensure.rate);
                want.due = want.due.max(due);
                want.replies.push(reply);
            }
            Command::Engine(news) => {
                if news.version > self.engine {
                    self.engine = news.version;
                    self.ledger.engine = Some(news.engine);
                }
            }
        }
    }

    /// Takes the name of the endpoint from a router, unless the endpoint has denied it.
    fn adopt(&mut self, endpoint: &EndpointId) {
        if self.endpoint.is_none() && self.denied.as_ref() != Some(endpoint) {
            self.endpoint = Some(endpoint.clone());
        }
    }

    /// Asks the endpoint what it holds.
    async fn report(&mut self) {
        match read_report(&self.client, self.addr, PATIENCE).await {
            Ok(mut report) => {
                if self.lost {
                    let after = self.reached.map_or(Duration::ZERO, |reached| reached.elapsed());
                    emit(&Event::Regained {
                        dependency: Dependency::Endpoint,
                        name: &self.addr.to_string(),
                        after_ms: millis(after),
                    });
                }
                self.lost = false;
                self.reached = Some(Instant::now());
                if Life::differ(self.life, report.life) {
                    self.restarted();
                }
                self.life = report.life.or(self.life);
                self.leaving |= report.draining;
                report.draining = self.leaving;
                let over = self.pending.take_if(|_| !report.busy);
                self.ledger.report = Some(report);
                if let Some(over) = over {
                    self.loaded(&over);
                }
                self.settle();
            }
            Err(error) => {
                if !self.lost {
                    emit(&Event::Lost {
                        dependency: Dependency::Endpoint,
                        name: &self.addr.to_string(),
                        cause: &error.to_string(),
                    });
                }
                self.lost = true;
                self.ledger.report = None;
                self.pending = None;
            }
        }
    }

    /// The endpoint has started again under its id: what it ran, held, loaded or was about to drop is gone. What routers
    /// wait for stays wanted.
    fn restarted(&mut self) {
        emit(&Event::Member {
            endpoint: self.endpoint.as_ref().map_or("", |id| id.as_str()),
            addr: self.addr.to_string(),
            stage: "restarted",
            cause: "",
        });
        self.pending = None;
        self.pause = None;
        self.leaving = false;
        self.ledger.restarted();
    }

    /// Answers those whose model is there, and those whose time is over.
    fn settle(&mut self) {
        let now = Instant::now();
        let ledger = &self.ledger;
        let ready: Vec<ModelId> =
            ledger.wants.keys().filter(|id| ledger.holds(id)).cloned().collect();
        for id in ready {
            self.ledger.touch(&id.model, now);
            self.answer(&id, Verdict::Ready);
        }
        self.ledger.wants.retain(|_, want| want.due > now);
    }

    fn answer(&mut self, id: &ModelId, verdict: Verdict) {
        let Some(want) = self.ledger.wants.remove(id) else { return };
        for reply in want.replies {
            let _ = reply.send(verdict);
        }
    }

    /// Does the next thing; false if there is nothing to do.
    async fn act(&mut self) -> bool {
        self.settle();
        let now = Instant::now();
        if self.pending.is_some() || self.pause.is_some_and(|until| until > now) {
            return false;
        }
        self.ask_lane();
        match plan::next(&self.ledger, now) {
            Next::Rest => false,
            Next::Spare => {
                self.ledger.leaving = None;
                true
            }
            Next::Drain(model) => {
                self.ledger.leaving = Some(Leaving { model, since: now });
                true
            }
            Next::Refuse(id, after) => {
                self.answer(&id, Verdict::Refused(after));
                true
            }
            Next::Order(work, target) => {
                let start = *self.token.start.borrow();
                let Some((start, endpoint)) = start.zip(self.endpoint.clone()) else {
                    return false;
                };
                self.order(work, target, start.into(), endpoint).await;
                true
            }
        }
    }
}
