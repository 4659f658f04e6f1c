//! What the tasks of an agent share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use edge::Endpoint;
use journal::Journal;
use peer::Transport;
use policy::Calendar;
use process::Shutdown;
use timeline::{Event, Kind, Recorder};
use tokio::sync::Notify;
use units::{Incarnation, ModelName, RequestId};
use wire::Report;

use crate::Settings;
use crate::authority::Authority;
use crate::cache::Caches;
use crate::desk::Desk;
use crate::run::Edges;
use crate::table::{RequestTable, TableLimits};

/// What the tasks of an agent share.
pub(crate) struct Agent {
    pub(crate) settings: Settings,
    pub(crate) journal: Journal,
    pub(crate) endpoint: Arc<dyn Endpoint>,
    /// What closing windows are read against.
    pub(crate) calendar: Calendar,
    pub(crate) recorder: Recorder,
    pub(crate) shutdown: Shutdown,
    pub(crate) network: Arc<dyn Transport>,
    pub(crate) authority: Authority,
    /// Told when the planner has seen this instance leaving on the platform's list.
    pub(crate) told: Notify,
    /// Wakes the keeper.
    pub(crate) nudge: Notify,
    /// Has the inventory read at once.
    pub(crate) recheck: Notify,
    table: Mutex<RequestTable>,
    desk: Mutex<Desk>,
    caches: Mutex<Caches>,
}

impl Agent {
    pub(crate) fn new(
        settings: Settings,
        journal: Journal,
        edges: &Edges,
        recorder: Recorder,
        shutdown: Shutdown,
    ) -> Self {
        let authority =
            Authority::new(settings.endpoint.clone(), journal.clone(), settings.lease());
        let limits = TableLimits {
            count: settings.table,
            bytes: settings.table_bytes,
            grace: settings.grace.0,
        };
        let desk = Mutex::new(Desk::new(settings.memory));
        Self {
            settings,
            journal,
            endpoint: edges.endpoint.clone(),
            calendar: edges.calendar,
            recorder,
            shutdown,
            network: edges.network.clone(),
            authority,
            told: Notify::new(),
            nudge: Notify::new(),
            recheck: Notify::new(),
            table: Mutex::new(RequestTable::new(limits)),
            desk,
            caches: Mutex::default(),
        }
    }

    /// The request table.
    pub(crate) fn table(&self) -> MutexGuard<'_, RequestTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The replicas, with the grants and settings in force.
    pub(crate) fn desk(&self) -> MutexGuard<'_, Desk> {
        let mut desk = self.desk.lock().unwrap_or_else(PoisonError::into_inner);
        self.journal.read(|state| desk.sync(state, &self.settings));
        desk
    }

    /// What the agent says of a model on an answer.
    pub(crate) fn report(&self, model: Option<&ModelName>) -> Report {
        let tick = self.recorder.clock().tick();
        let Some(model) = model else { return Report { tick, ..Report::default() } };
        let (report, service) = {
            let desk = self.desk();
            (desk.report(model), desk.service(model))
        };
        let prefixes = service.and_then(|(artifact, took)| self.caches().news(&artifact, took));
        Report { tick, prefixes, ..report }
    }

    /// What is known of the engine's prefix caches.
    pub(crate) fn caches(&self) -> MutexGuard<'_, Caches> {
        self.caches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.authority.incarnation()
    }

    /// The longest that the agent waits for a reply to an order.
    pub(crate) fn reply_limit(&self) -> Duration {
        self.settings.order_limit.0 - self.settings.order_limit.0 / 2
    }

    /// Records an event of the time line.
    pub(crate) fn record(&self, kind: Kind, fill: impl FnOnce(Event) -> Event) {
        let event = self.recorder.event(kind).endpoint(&self.settings.endpoint);
        self.recorder.record(fill(event));
    }

    /// Records an event of a request.
    pub(crate) fn record_request(&self, kind: Kind, id: &RequestId, model: &ModelName) {
        self.record(kind, |event| event.request(id).model(model));
    }
}
