//! The right of a request to be sent once more, out of the retry budget of its service.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use units::ServiceName;

use crate::shared::Shared;

/// At most one reserved retry of a request. It counts as spent when the request is sent, and is given back if that never happens.
#[derive(Debug)]
pub(crate) struct RetrySlot {
    shared: Arc<Shared>,
    service: ServiceName,
    reserved: AtomicBool,
}

impl RetrySlot {
    pub(crate) fn new(shared: Arc<Shared>, service: ServiceName) -> Self {
        Self { shared, service, reserved: AtomicBool::new(false) }
    }

    /// Reserves a retry unless one is reserved already; false if the budget is exhausted.
    pub(crate) fn try_reserve(&self, request_id: &str) -> bool {
        if !self.reserved.load(Ordering::Relaxed) {
            let allowed = self.shared.try_reserve_retry(&self.service, request_id);
            self.reserved.store(allowed, Ordering::Relaxed);
        }
        self.reserved.load(Ordering::Relaxed)
    }

    /// The request is sent now, which is a retry if one is reserved.
    pub(crate) fn record_sent(&self) {
        if self.reserved.swap(false, Ordering::Relaxed) {
            self.shared.record_sent_retry(&self.service);
        }
    }
}

impl Drop for RetrySlot {
    fn drop(&mut self) {
        if self.reserved.load(Ordering::Relaxed) {
            self.shared.cancel_retry(&self.service);
        }
    }
}
