//! What the loader knows of its endpoint and of what is wanted from it.

use std::collections::BTreeMap;
use std::time::Duration;

use catalog::{Engine, ModelId};
use control::Verdict;
use platform::Report;
use tokio::sync::oneshot;
use tokio::time::Instant;
use units::{ModelName, Size};

/// A model or adapter that somebody waits for.
#[derive(Debug)]
pub(crate) struct Want {
    /// Requests that wait for it, by router; none if it is prepared for later.
    pub(crate) waiters: BTreeMap<String, u32>,
    /// Requests a second that come for it, by router.
    pub(crate) rates: BTreeMap<String, f64>,
    /// Until when it is waited for.
    pub(crate) due: Instant,
    /// Since when.
    pub(crate) since: Instant,
    /// Who gets the verdict.
    pub(crate) replies: Vec<oneshot::Sender<Verdict>>,
}

impl Want {
    /// Requests that wait for it.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiters.values().sum()
    }
}

/// How a model is used, over all routers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Usage {
    /// When a request for it last began.
    pub(crate) last: Option<Instant>,
    /// Requests that run, by router, and when it said so.
    pub(crate) running: BTreeMap<String, (u32, Heard)>,
    /// Requests a second, of late.
    rate: f64,
    /// When the rate was last brought up to date.
    rated: Option<Instant>,
}

/// The time over which the rate of requests is taken.
const RATE_SPAN: Duration = Duration::from_secs(3);

impl Usage {
    /// Notes requests that began.
    pub(crate) fn begin(&mut self, count: u32, now: Instant) {
        self.rate = self.rate_at(now) + f64::from(count) / RATE_SPAN.as_secs_f64();
        self.rated = Some(now);
        if count > 0 {
            self.last = Some(now);
        }
    }

    fn rate_at(&self, now: Instant) -> f64 {
        let since = self.rated.map_or(Duration::ZERO, |rated| now - rated);
        self.rate * (-since.as_secs_f64() / RATE_SPAN.as_secs_f64()).exp()
    }
}

/// A router that is silent for this long has no requests here any more, or is cut off and will say so.
const SILENT: Duration = Duration::from_secs(3);
/// The same, as so many times what it waits for news: it asks again right after that.
const SILENT_WAITS: u32 = 2;

/// When a router was last heard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Heard {
    pub(crate) at: Instant,
    /// How long it waits for news.
    pub(crate) wait: Duration,
}

impl Heard {
    fn fresh(self) -> bool {
        self.at.elapsed() < SILENT.max(self.wait * SILENT_WAITS)
    }
}

/// A model that makes room: it gets no new requests, and is unloaded once its last one is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Leaving {
    pub(crate) model: ModelName,
    pub(crate) since: Instant,
}

/// What is known and wanted.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// What endpoints of the service can hold.
    pub(crate) engine: Option<Engine>,
    /// The endpoint's last report.
    pub(crate) report: Option<Report>,
    /// What is wanted.
    pub(crate) wants: BTreeMap<ModelId, Want>,
    /// How models are used.
    pub(crate) usage: BTreeMap<ModelName, Usage>,
    /// Routers, and when they were last heard.
    pub(crate) routers: BTreeMap<String, Heard>,
    /// The model that makes room.
    pub(crate) leaving: Option<Leaving>,
    /// How adapters are used.
    pub(crate) adapters: BTreeMap<ModelId, Instant>,
    /// The model that may be loaded from the weight store now.
    pub(crate) lane: Option<ModelName>,
}

impl Ledger {
    /// Forgets what an earlier life of the endpoint held and ran.
    pub(crate) fn restarted(&mut self) {
        self.report = None;
        self.leaving = None;
        self.adapters.clear();
        for usage in self.usage.values_mut() {
            usage.running.clear();
        }
    }

    /// Whether the endpoint holds it now.
    pub(crate) fn holds(&self, id: &ModelId) -> bool {
        let Some(report) = &self.report else { return false };
        let held = report.models.iter().find(|held| held.model == id.model);
        held.is_some_and(|held| id.adapter.as_ref().is_none_or(|a| held.adapters.contains(a)))
    }

    /// Requests that run with a model, as far as routers say.
    pub(crate) fn running(&self, model: &ModelName) -> u32 {
        let Some(usage) = self.usage.get(model) else { return 0 };
        let heard = usage.running.values().filter(|(_, heard)| heard.fresh());
        heard.map(|(count, _)| count).sum()
    }

    /// Requests a second for a model, of late.
    pub(crate) fn rate(&self, model: &ModelName, now: Instant) -> f64 {
        self.usage.get(model).map_or(0.0, |usage| usage.rate_at(now))
    }

    /// Routers that are heard.
    pub(crate) fn heard(&self) -> u32 {
        let heard = self.routers.values().filter(|heard| heard.fresh()).count();
        u32::try_from(heard).unwrap_or(u32::MAX)
    }

    /// Requests that run with any model.
    pub(crate) fn all_running(&self) -> u32 {
        self.usage.keys().map(|model| self.running(model)).sum()
    }

    /// When a request for a model last began.
    pub(crate) fn last(&self, model: &ModelName) -> Option<Instant> {
        self.usage.get(model).and_then(|usage| usage.last)
    }

    /// Notes that a model is used now.
    pub(crate) fn touch(&mut self, model: &ModelName, now: Instant) {
        self.usage.entry(model.clone()).or_default().last = Some(now);
    }

    /// Accelerator memory taken by weights and adapters, loaded or on their way.
    pub(crate) fn taken(&self) -> Size {
        let (Some(report), Some(engine)) = (&self.report, &self.engine) else { return Size(0) };
        let weights = |model: &ModelName| engine.model(model).map_or(Size(0), |spec| spec.weights);
        let adapter = |model: &ModelName| engine.model(model).map_or(Size(0), |spec| spec.adapter);
        let models: Size = report.models.iter().map(|held| weights(&held.model)).sum();
        let adapters =
            report.models.iter().map(|h| Size(adapter(&h.model).0 * h.adapters.len() as u64));
        let incoming = report.incoming.iter().map(|id| adapter(&id.model));
        models + adapters.sum() + incoming.sum()
    }

    /// Adapters that are loaded or on their way.
    pub(crate) fn places(&self) -> u32 {
        let Some(report) = &self.report else { return 0 };
        let held: usize = report.models.iter().map(|held| held.adapters.len()).sum();
        u32::try_from(held + report.incoming.len()).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
