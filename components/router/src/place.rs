//! What a request holds while it is at an endpoint or waits for one; it is given back when it ends, however that is.

use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use http::{HeaderMap, StatusCode};
use quarantine::Digest;
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, ModelName};

use crate::endpoint::TrackedEndpoint;
use crate::pool::ConnectionPool;
use crate::registry::EndpointTable;
use crate::sent_requests::SentRequestId;
use crate::shared::Shared;

/// Where a request goes; its place is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    shared: Arc<Shared>,
    pub(crate) id: EndpointId,
    /// The life of the endpoint that it is in.
    pub(crate) life: Option<EndpointIncarnation>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) running: u32,
    pub(crate) age: Duration,
    model: Option<ModelId>,
    /// Reading that it still asks of the endpoint.
    work: Duration,
    /// When it was sent, and when its first event was expected then.
    sent: Instant,
    expect: Duration,
    /// Whether the request waited for a model to be loaded.
    pub(crate) cold: bool,
    /// Whether an answer has begun.
    answered: bool,
    /// What stands for the request at the endpoint, once it has been sent.
    ticket: Option<SentRequestId>,
    /// Whether it is to be kept from others that were at ends of endpoints.
    apart: bool,
}

impl Place {
    /// Takes a place at an endpoint that is known, for a request that asks for `work` and is expected to begin after
    /// `expect`.
    pub(crate) fn take(
        shared: &Arc<Shared>,
        peers: &mut EndpointTable,
        id: EndpointId,
        model: Option<&ModelId>,
        (work, expect): (Duration, Duration),
        apart: bool,
        now: Instant,
    ) -> Option<Self> {
        let peer = peers.map.get_mut(&id)?;
        peer.pool.sent_requests().isolated += u32::from(apart);
        peer.pool.liveness().request_sent(now);
        peer.running += 1;
        if let Some(model) = model {
            peer.backlog.add(work, now);
            let usage = peer.uses.entry(model.model.clone()).or_default();
            usage.begun += 1;
            usage.running += 1;
        }
        let heard = peer.state.as_ref().map_or(peer.listed_at, |(_, heard)| *heard);
        Some(Self {
            shared: shared.clone(),
            id,
            life: peer.endpoint.incarnation,
            pool: peer.pool.clone(),
            running: peer.running,
            age: now - heard,
            model: model.cloned(),
            work,
            sent: now,
            expect,
            cold: false,
            answered: false,
            ticket: None,
            apart,
        })
    }

    /// Whether the endpoint still takes new work in the life in which the place was taken.
    pub(crate) fn open(&self) -> bool {
        let peers = self.shared.known.lock();
        let peer = peers.map.get(&self.id).filter(|peer| Arc::ptr_eq(&peer.pool, &self.pool));
        peer.is_some_and(|peer| peer.accepts_work() && peer.backoff_left(Instant::now()).is_none())
    }

    /// Notes that the request is sent now.
    pub(crate) fn sent(&mut self, digest: &Digest) {
        self.ticket.get_or_insert_with(|| self.pool.sent_requests().begin(*digest));
    }

    /// Notes that the endpoint has outlived the request, or never had it.
    pub(crate) fn outlived(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.pool.sent_requests().end(ticket, true, Instant::now());
        }
    }

    /// Takes what an answer from there says of the endpoint, unless another one has answered.
    pub(crate) fn heard(&self, status: StatusCode, headers: &HeaderMap) {
        if platform::instance_of(headers).is_some_and(|other| other != self.id) {
            return;
        }
        let same = |peer: &TrackedEndpoint| Arc::ptr_eq(&peer.pool, &self.pool);
        let notice = platform::read_endpoint_hints(status, headers);
        self.shared.known.apply_hints(&self.id, self.life, notice, same);
    }

    /// Notes that the endpoint has begun to run the request.
    pub(crate) fn begun(&mut self) {
        let now = Instant::now();
        self.pool.liveness().answer_received(now);
        self.answered = true;
        if let Some(ticket) = self.ticket {
            self.pool.sent_requests().answer_began(ticket, now);
        }
        let shared = self.shared.clone();
        let mut peers = shared.known.lock();
        self.give_back(&mut peers, now);
        if let Some(model) = &self.model {
            peers.demand(&model.model).learn(self.expect, now - self.sent);
        }
        drop(peers);
        // Those that are held back for it may go.
        shared.known.changed.notify_waiters();
    }

    /// Takes its prompt off what the endpoint has still to read.
    fn give_back(&mut self, peers: &mut EndpointTable, now: Instant) {
        let work = std::mem::take(&mut self.work);
        if !work.is_zero()
            && let Some(peer) = self.peer(peers)
        {
            peer.backlog.remove(work, now);
        }
    }

    /// The endpoint, if it is still in the life that the request was sent to.
    fn peer<'a>(&self, peers: &'a mut EndpointTable) -> Option<&'a mut TrackedEndpoint> {
        peers.map.get_mut(&self.id).filter(|peer| Arc::ptr_eq(&peer.pool, &self.pool))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut runs = self.pool.sent_requests();
        runs.isolated = runs.isolated.saturating_sub(u32::from(self.apart));
        if let Some(ticket) = self.ticket {
            runs.end(ticket, false, now);
        }
        drop(runs);
        let shared = self.shared.clone();
        let mut peers = shared.known.lock();
        self.give_back(&mut peers, now);
        let Some(peer) = self.peer(&mut peers) else { return };
        peer.running = peer.running.saturating_sub(1);
        if peer.running == 0 && self.answered {
            self.pool.liveness().requests_finished(now);
        }
        if let Some(model) = &self.model
            && let Some(usage) = peer.uses.get_mut(&model.model)
        {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

/// Counts a request that waits for a model, until it is dropped.
#[derive(Debug)]
pub(crate) struct Waiting {
    shared: Arc<Shared>,
    model: ModelName,
}

impl Waiting {
    pub(crate) fn new(shared: &Arc<Shared>, target: &ModelId) -> Self {
        *shared.known.lock().waiting.entry(target.model.clone()).or_default() += 1;
        Self { shared: shared.clone(), model: target.model.clone() }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut peers = self.shared.known.lock();
        if let Some(count) = peers.waiting.get_mut(&self.model) {
            *count -= 1;
            if *count == 0 {
                peers.waiting.remove(&self.model);
            }
        }
    }
}
