//! What a request holds while it waits for a model or is at an endpoint. It is released on drop,
//! however the request ends.

use std::sync::Arc;
use std::time::Duration;

use catalog::ModelId;
use http::{HeaderMap, StatusCode};
use quarantine::Fingerprint;
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, Rate, SoftwareVersion};

use crate::choose::RequestNeeds;
use crate::endpoint::TrackedEndpoint;
use crate::hints;
use crate::incarnations::IncarnationCheck;
use crate::pool::ConnectionPool;
use crate::registry::EndpointTable;
use crate::sent_requests::{RunEnd, SentRequestId};
use crate::shared::Shared;
use crate::software::WaitingFor;
use crate::speeds::{self, StreamMeter};
use crate::wait_queue::QueuePlace;

/// A request at an endpoint: counts against the endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    shared: Arc<Shared>,
    pub(crate) id: EndpointId,
    /// The incarnation of the endpoint in which the reservation was made.
    pub(crate) incarnation: Option<EndpointIncarnation>,
    /// The version of the software that the list named when the reservation was made.
    listed_software: Option<SoftwareVersion>,
    /// The version that it must run, if the request continues a stream.
    required: Option<SoftwareVersion>,
    pub(crate) pool: Arc<ConnectionPool>,
    /// Requests of this router at the endpoint, this one included.
    pub(crate) running: u32,
    /// Age of the last news of the endpoint.
    pub(crate) age: Duration,
    model: Option<ModelId>,
    /// Prompt processing time that the endpoint still owes to the request.
    prefill_time: Duration,
    /// When the reservation was made, and how long after that the first event was expected.
    reserved_at: Instant,
    expected: Duration,
    /// Whether the request waited for a model to be loaded.
    pub(crate) waited_for_load: bool,
    /// The rate limit of the endpoint, which the request must keep to before it is sent.
    pub(crate) rate_limit: Option<Rate>,
    /// Whether a response has begun.
    response_begun: bool,
    /// Whether data of the response has arrived.
    data_begun: bool,
    /// Id of the request among the sent requests of the endpoint, once it has been sent.
    sent_id: Option<SentRequestId>,
    /// Whether the request may not share the endpoint with other requests that were at crashed
    /// endpoints.
    isolated: bool,
    /// Whether it is asked in which incarnation the endpoint has the request.
    pub(crate) checks_incarnation: bool,
    /// That question, once the request is at the endpoint.
    pub(crate) incarnation_check: Option<IncarnationCheck>,
    /// Measures the time between events of the response, if it is a stream.
    meter: StreamMeter,
    /// The place of the request in the queue for its model, until the request is sent.
    pub(crate) place: Option<QueuePlace>,
}

impl Reservation {
    /// Reserves a known endpoint for a request whose prompt takes `prefill_time` to process and
    /// whose first event is expected after `expected`.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        table: &mut EndpointTable,
        id: EndpointId,
        needs: &RequestNeeds<'_>,
        (prefill_time, expected): (Duration, Duration),
        now: Instant,
    ) -> Option<Self> {
        let RequestNeeds { model, isolated, software: required, .. } = *needs;
        let tracked = table.map.get_mut(&id)?;
        tracked.pool.sent_requests().isolated += u32::from(isolated);
        let rate_limit = tracked.rate_limit(now);
        if rate_limit.is_none() {
            tracked.pool.liveness().request_sent(now);
        }
        tracked.running += 1;
        if let Some(model) = model {
            tracked.backlog.add(prefill_time, now);
            let usage = tracked.uses.entry(model.model.clone()).or_default();
            usage.begun += 1;
            usage.running += 1;
        }
        let heard = tracked.state.as_ref().map_or(tracked.listed_at, |(_, heard)| *heard);
        Some(Self {
            shared: shared.clone(),
            id,
            incarnation: tracked.endpoint.incarnation,
            listed_software: tracked.endpoint.software.clone(),
            required: required.cloned(),
            pool: tracked.pool.clone(),
            running: tracked.running,
            age: now - heard,
            model: model.cloned(),
            prefill_time,
            reserved_at: now,
            expected,
            waited_for_load: false,
            rate_limit,
            response_begun: false,
            data_begun: false,
            sent_id: None,
            isolated,
            checks_incarnation: false,
            incarnation_check: None,
            meter: StreamMeter::default(),
            place: None,
        })
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// The version of the endpoint's software, as it is logged; empty if it is not known.
    pub(crate) fn software_text(&self) -> &str {
        self.listed_software.as_ref().map_or("", |software| software.as_str())
    }

    /// The version of the software with which the endpoint answers, if it is known by now. The endpoint may have restarted since
    /// the reservation was made.
    pub(crate) fn software(&self) -> Option<SoftwareVersion> {
        let table = self.shared.endpoints.lock();
        match table.map.get(&self.id) {
            Some(tracked) if Arc::ptr_eq(&tracked.pool, &self.pool) => {
                tracked.endpoint.software.clone()
            }
            // The endpoint has restarted since. The request was sent to the incarnation that the list named then.
            Some(_) => self.listed_software.clone().filter(|_| self.incarnation.is_some()),
            // An endpoint that has left the list finishes its streams.
            None => self.listed_software.clone(),
        }
    }

    /// Whether the endpoint still accepts the request, in the incarnation in which the reservation
    /// was made.
    pub(crate) fn is_open(&self) -> bool {
        let table = self.shared.endpoints.lock();
        let tracked =
            table.map.get(&self.id).filter(|tracked| Arc::ptr_eq(&tracked.pool, &self.pool));
        tracked.is_some_and(|tracked| tracked.is_open_for(self.required.as_ref(), Instant::now()))
    }

    /// Lets the next request in the queue search, if the request waited in one.
    pub(crate) fn release_place(&mut self) {
        if let Some(place) = self.place.take() {
            place.release_served();
        }
    }

    /// Records that the request is sent now.
    pub(crate) fn record_sent(&mut self, fingerprint: &Arc<Fingerprint>) {
        self.pool.liveness().request_sent(Instant::now());
        self.sent_id.get_or_insert_with(|| self.pool.sent_requests().begin(fingerprint.clone()));
    }

    /// Records that the endpoint survived the request, or never received it.
    pub(crate) fn clear_suspicion(&mut self) {
        if let Some(sent_id) = self.sent_id.take() {
            self.pool.sent_requests().end(sent_id, RunEnd::Survived, Instant::now());
        }
    }

    /// Records that the answer ended with its connection. Returns whether the request may be to blame if the endpoint has
    /// crashed.
    pub(crate) fn end_with_connection(&mut self) -> bool {
        let sent_id = self.sent_id.take();
        let end = |id| self.pool.sent_requests().end(id, RunEnd::WithConnection, Instant::now());
        sent_id.is_some_and(end)
    }

    /// Applies what a response says of the endpoint, unless another endpoint has answered.
    pub(crate) fn apply_headers(&self, status: StatusCode, headers: &HeaderMap) {
        if platform::instance_of(headers).is_some_and(|other| other != self.id) {
            return;
        }
        let same = |tracked: &TrackedEndpoint| Arc::ptr_eq(&tracked.pool, &self.pool);
        let hints = platform::read_endpoint_hints(status, headers);
        // The request was sent later than it was reserved: an answer without a limit ends no limit that was announced in between.
        let endpoints = &self.shared.endpoints;
        let applied =
            endpoints.apply_hints(&self.id, self.incarnation, hints, self.reserved_at, same);
        if !applied && (hints.draining || hints.retry_after.is_some()) {
            // The answer was on its way when the restart was listed, and may come from the new incarnation.
            endpoints.doubt_hints(&self.id, hints);
            hints::settle_one(&self.shared, &self.id);
        }
    }

    /// Records that the endpoint has begun to run the request.
    pub(crate) fn record_begun(&mut self) {
        let now = Instant::now();
        self.pool.liveness().answer_received(now);
        self.response_begun = true;
        if let Some(sent_id) = self.sent_id {
            self.pool.sent_requests().answer_began(sent_id, now);
        }
        let shared = self.shared.clone();
        let mut table = shared.endpoints.lock();
        self.remove_from_backlog(&mut table, now);
        if let Some(model) = &self.model {
            table.demand(&model.model).learn(self.expected, now - self.reserved_at);
        }
        drop(table);
        // Requests that were held back for this prompt may be sent now.
        shared.endpoints.changed.notify_waiters();
    }

    /// Records that data of the answer has arrived.
    pub(crate) fn record_data(&mut self, now: Instant) {
        self.pool.liveness().answer_received(now);
        if let Some(sent_id) = self.sent_id.filter(|_| !self.data_begun) {
            self.data_begun = true;
            let began = self.shared.guard.time_after_crashes();
            self.pool.sent_requests().data_began(sent_id, began, now);
        }
        if self.pool.sent_requests().has_survived(now) {
            let stall = self.shared.stall_detector.last_stall();
            let survived = self.pool.sent_requests().take_survived(now, stall);
            self.shared.guard.record_survived(&survived);
        }
    }

    /// Records that events of a stream have arrived.
    pub(crate) fn record_events(&mut self, data: &[u8], now: Instant) {
        let Some(model) = &self.model else { return };
        let (shared, id, pool) = (&self.shared, &self.id, &self.pool);
        let find = || speeds::recorder(shared, id, pool, &model.model, now);
        self.meter.record(data, now, find);
    }

    /// Removes the prompt from the endpoint's backlog.
    fn remove_from_backlog(&mut self, table: &mut EndpointTable, now: Instant) {
        let prefill_time = std::mem::take(&mut self.prefill_time);
        if !prefill_time.is_zero()
            && let Some(tracked) = self.tracked_endpoint(table)
        {
            tracked.backlog.remove(prefill_time, now);
        }
    }

    /// The endpoint, if it is still in the incarnation that the request was sent to.
    fn tracked_endpoint<'a>(
        &self,
        table: &'a mut EndpointTable,
    ) -> Option<&'a mut TrackedEndpoint> {
        table.map.get_mut(&self.id).filter(|tracked| Arc::ptr_eq(&tracked.pool, &self.pool))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut sent_requests = self.pool.sent_requests();
        sent_requests.isolated = sent_requests.isolated.saturating_sub(u32::from(self.isolated));
        if let Some(sent_id) = self.sent_id {
            sent_requests.end(sent_id, RunEnd::Cut, now);
        }
        drop(sent_requests);
        let shared = self.shared.clone();
        let mut table = shared.endpoints.lock();
        self.remove_from_backlog(&mut table, now);
        let Some(tracked) = self.tracked_endpoint(&mut table) else { return };
        tracked.running = tracked.running.saturating_sub(1);
        if tracked.running == 0 && self.response_begun {
            self.pool.liveness().requests_finished(now);
        }
        if let Some(model) = &self.model
            && let Some(usage) = tracked.uses.get_mut(&model.model)
        {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

impl TrackedEndpoint {
    /// Whether a request may still be sent that was to go to the endpoint. Entries without an incarnation may show that it runs
    /// other software than at the choice.
    fn is_open_for(&self, required: Option<&SoftwareVersion>, now: Instant) -> bool {
        self.accepts_work()
            && self.backoff_left(now).is_none()
            && (required.is_none() || self.endpoint.software.as_ref() == required)
    }
}

/// Counts a request that waits for a model, until it is dropped.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    shared: Arc<Shared>,
    target: WaitingFor,
}

impl WaitingRequest {
    pub(crate) fn new(shared: &Arc<Shared>, target: WaitingFor) -> Self {
        shared.endpoints.lock().begin_waiting(&target, Instant::now());
        Self { shared: shared.clone(), target }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.shared.endpoints.lock().end_waiting(&self.target);
    }
}

#[cfg(test)]
mod tests;
