//! Logs when a request is sent to an endpoint, and when its caller leaves before the endpoint answers.

use std::sync::Arc;
use std::time::Duration;

use events::{Event, Step, emit, millis};
use quarantine::Digest;
use tokio::time::Instant;
use units::EndpointId;

use crate::in_flight::InFlightRequest;
use crate::pool::ConnectionPool;
use crate::reservation::Reservation;

/// A request that is at an endpoint. Dropped before [`SendLog::finish`], it logs that the caller has abandoned the request.
#[derive(Debug)]
pub(crate) struct SendLog {
    request_id: String,
    class: String,
    digest: Digest,
    endpoint: EndpointId,
    pool: Arc<ConnectionPool>,
    /// How often the request had been sent before.
    sends: u32,
    /// Requests of this router at the endpoint when this one was sent.
    running: u32,
    finished: bool,
}

impl SendLog {
    /// Logs that a request is sent after it has waited this long for its endpoint.
    pub(crate) fn start(
        request: &InFlightRequest,
        reservation: &Reservation,
        waited: Duration,
    ) -> Self {
        let log = Self {
            request_id: request.request_id.clone(),
            class: request.class.clone(),
            digest: request.outgoing.fingerprint.request,
            endpoint: reservation.id.clone(),
            pool: reservation.pool.clone(),
            sends: request.sends,
            running: reservation.running,
            finished: false,
        };
        log.emit(
            Step::Sent,
            reservation.software_text(),
            reservation.age,
            waited,
            reservation.waited_for_load,
        );
        log
    }

    /// Records that there is an outcome.
    pub(crate) fn finish(mut self) {
        self.finished = true;
    }

    fn emit(&self, step: Step, software: &str, age: Duration, waited: Duration, cold: bool) {
        let digest = match step {
            Step::Sent => self.digest.to_string(),
            _ => String::new(),
        };
        emit(&Event::Step {
            request: &self.request_id,
            step,
            endpoint: self.endpoint.as_str(),
            sends: self.sends,
            inflight: self.running,
            age_ms: millis(age),
            quiet_ms: millis(self.pool.liveness().quiet(Instant::now())),
            waited_ms: millis(waited),
            cold,
            digest: &digest,
            software,
            class: &self.class,
            cause: "",
        });
    }
}

impl Drop for SendLog {
    fn drop(&mut self) {
        if !self.finished {
            self.emit(Step::Abandoned, "", Duration::ZERO, Duration::ZERO, false);
        }
    }
}
