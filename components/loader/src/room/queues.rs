//! The queue summaries that routers have sent with their load requests.
//!
//! A summary is kept until its last deadline, also after its request was refused, so that the requests of a router
//! count while it waits for the time that it was told.

use std::collections::BTreeMap;
use std::time::Duration;

use catalog::ModelId;
use control::{QueueSummary, WaitingWorkspace};
use tokio::time::Instant;
use units::{AdapterName, ModelName};

/// Summaries that are kept at most: about 2 MB with 16 workspaces each.
const MAX_SUMMARIES: usize = 2_048;
/// Workspaces that are kept of one summary.
const MAX_WORKSPACES: usize = 16;
/// A longer time than any caller waits; bounds what a faulty router can request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// A router sends its summary again after 1 s while requests wait. One that hasn't done so for this long has found the
/// loaded model, or another endpoint.
const RENEWAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Whose requests wait.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Waiter {
    router: String,
    adapter: Option<AdapterName>,
}

/// The newest summary of a router for a model.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedSummary {
    summary: QueueSummary,
    arrived: Instant,
}

impl ReceivedSummary {
    /// When the last waiting request expires.
    fn expiry(&self) -> Instant {
        self.arrived + self.summary.last_deadline
    }

    /// The time between two deadlines: the summary gives the first and the last one, and the others are assumed to be
    /// spread evenly between them.
    fn spacing(&self) -> Duration {
        let gaps = self.summary.waiting.saturating_sub(1);
        let span = self.summary.last_deadline - self.summary.first_deadline;
        span.checked_div(gaps).unwrap_or_default()
    }

    /// The number of requests whose deadline has passed by `end`.
    fn missed(&self, end: Instant) -> u32 {
        let first = self.arrived + self.summary.first_deadline;
        if end <= first {
            return 0;
        }
        if end > self.expiry() {
            return self.summary.waiting;
        }
        let spacing = self.spacing();
        if spacing.is_zero() {
            return self.summary.waiting;
        }
        let steps = (end - first).as_nanos().div_ceil(spacing.as_nanos());
        u32::try_from(steps).unwrap_or(u32::MAX).min(self.summary.waiting)
    }

    /// The number of requests that can be served if their model is loaded at `end`.
    pub(crate) fn in_time(&self, end: Instant) -> u32 {
        self.summary.waiting - self.missed(end)
    }

    /// The earliest deadline of the requests that can be served if their model is loaded at `end`.
    pub(crate) fn deadline_after(&self, end: Instant) -> Option<Instant> {
        let missed = self.missed(end);
        (missed < self.summary.waiting)
            .then(|| self.arrived + self.summary.first_deadline + self.spacing() * missed)
    }

    /// The highest priority of the requests that wait; 0 is the highest.
    pub(crate) fn priority(&self) -> u8 {
        self.summary.priority
    }

    /// The workspaces whose requests wait.
    pub(crate) fn workspaces(&self) -> &[WaitingWorkspace] {
        &self.summary.workspaces
    }
}

/// The summaries of all routers.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    models: BTreeMap<ModelName, BTreeMap<Waiter, ReceivedSummary>>,
    /// No summary expires before this time; none if there is no summary.
    first_expiry: Option<Instant>,
}

impl Queues {
    /// Replaces the summary of a router for a model. The summary is removed if no request waits any more.
    pub(crate) fn record(
        &mut self,
        target: &ModelId,
        router: &str,
        mut summary: QueueSummary,
        now: Instant,
    ) {
        self.remove(target, router);
        if summary.waiting == 0 {
            return;
        }
        summary.workspaces.truncate(MAX_WORKSPACES);
        summary.last_deadline = summary.last_deadline.min(MAX_DEADLINE);
        summary.first_deadline = summary.first_deadline.min(summary.last_deadline);
        if self.models.values().map(BTreeMap::len).sum::<usize>() >= MAX_SUMMARIES {
            self.remove_first_to_expire();
        }
        let waiter = Waiter { router: router.to_owned(), adapter: target.adapter.clone() };
        let received = ReceivedSummary { summary, arrived: now };
        let expiry = received.expiry();
        self.first_expiry = Some(self.first_expiry.map_or(expiry, |first| first.min(expiry)));
        self.models.entry(target.model.clone()).or_default().insert(waiter, received);
    }

    /// Removes the summary of a router for a target.
    pub(crate) fn remove(&mut self, target: &ModelId, router: &str) {
        if let Some(summaries) = self.models.get_mut(&target.model) {
            let adapter = target.adapter.clone();
            summaries.remove(&Waiter { router: router.to_owned(), adapter });
        }
    }

    /// Removes the summaries of a router for a model and its adapters.
    pub(crate) fn remove_all(&mut self, model: &ModelName, router: &str) {
        if let Some(summaries) = self.models.get_mut(model) {
            summaries.retain(|waiter, _| waiter.router != router);
        }
    }

    /// Removes summaries whose last deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.first_expiry.is_none_or(|first| first > now) {
            return;
        }
        self.models.retain(|_, summaries| {
            summaries.retain(|_, received| received.expiry() > now);
            !summaries.is_empty()
        });
        let left = self.models.values().flat_map(BTreeMap::values);
        self.first_expiry = left.map(ReceivedSummary::expiry).min();
    }

    /// Whether any summary is in force.
    pub(crate) fn is_empty(&self, now: Instant) -> bool {
        !self.models.values().flat_map(BTreeMap::values).any(|received| received.expiry() > now)
    }

    /// The summaries in force for a model.
    pub(crate) fn summaries(
        &self,
        model: &ModelName,
        now: Instant,
    ) -> impl Iterator<Item = &ReceivedSummary> {
        let summaries = self.models.get(model).into_iter().flat_map(BTreeMap::values);
        summaries.filter(move |received| received.expiry() > now)
    }

    /// The routers with a summary in force for a model, in order; one with summaries for several adapters comes several times.
    pub(crate) fn routers(&self, model: &ModelName, now: Instant) -> impl Iterator<Item = &str> {
        let summaries = self.models.get(model).into_iter().flatten();
        let live = summaries.filter(move |(_, received)| received.expiry() > now);
        live.map(|(waiter, _)| waiter.router.as_str())
    }

    /// Whether a summary for a model was renewed lately: requests still wait for it although it may be loaded.
    pub(crate) fn is_renewed(&self, model: &ModelName, now: Instant) -> bool {
        self.summaries(model, now).any(|received| now - received.arrived < RENEWAL_TIMEOUT)
    }

    fn remove_first_to_expire(&mut self) {
        let waiters = self.models.iter().flat_map(|(model, summaries)| {
            summaries.iter().map(move |(waiter, received)| (received.expiry(), model, waiter))
        });
        let first = waiters.min().map(|(_, model, waiter)| (model.clone(), waiter.clone()));
        if let Some((model, waiter)) = first
            && let Some(summaries) = self.models.get_mut(&model)
        {
            log::debug!("loader: too many queue summaries, one for {model} is dropped");
            summaries.remove(&waiter);
        }
    }
}

#[cfg(test)]
mod tests;
