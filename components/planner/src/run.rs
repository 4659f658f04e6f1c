//! Taking, holding and losing the planner role.

use std::sync::Arc;
use std::time::Duration;

use edge::InstanceList;
use journal::Journal;
use peer::{Ask, Client};
use policy::Calendar;
use record::Body;
use state::State;
use timeline::Recorder;
use tokio::sync::watch;
use units::{Epoch, InstanceId, Offset};

use crate::decide::GONE_PART;
use crate::membership::Sightings;
use crate::{DemandLog, lease, listing, rounds, snapshots};

/// How long a shutdown waits until the lease is given up.
const RESIGN_LIMIT: Duration = Duration::from_secs(1);

/// How the planner works.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long the lease may go without renewal before this process claims it.
    pub lease_duration: Duration,
    /// How long an endpoint must be off the list before its grants end.
    pub absence_timeout: Duration,
    /// The pause between two rounds of decisions.
    pub round_interval: Duration,
    /// The most decisions that one round appends.
    pub max_decisions: usize,
    /// The pause between two readings of the instance list.
    pub list_interval: Duration,
    /// What closing windows are read against.
    pub calendar: Calendar,
    /// Turns true when the process shuts down: the planner then gives its lease up and ends.
    pub stop: Option<watch::Receiver<bool>>,
    /// The network to the agents, which are asked before they are taken for gone.
    pub network: Arc<dyn Ask>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(5),
            absence_timeout: Duration::from_secs(10),
            round_interval: Duration::from_millis(250),
            max_decisions: 200,
            list_interval: Duration::from_secs(1),
            calendar: Calendar::system(),
            stop: None,
            network: Arc::new(Client::default()),
        }
    }
}

/// The most rounds, and so appends, that a number of decisions needs: half of a batch may go to dropping
/// endpoints, and the other half to new grants.
pub fn max_rounds(decisions: usize, batch: usize) -> usize {
    decisions.div_ceil((batch / GONE_PART).max(1))
}

/// What the loops of one planner share.
pub(crate) struct Shared {
    pub(crate) instance: InstanceId,
    pub(crate) journal: Journal,
    pub(crate) recorder: Recorder,
    pub(crate) options: Options,
    /// The newest offset when this process started: claims up to it are not its own.
    pub(crate) started: Offset,
}

impl Shared {
    /// The epoch that this process holds, as the folded state shows it.
    pub(crate) fn held(&self, state: &State) -> Option<Epoch> {
        let lease = state.lease();
        let own = lease.holder.as_ref() == Some(&self.instance);
        let live = own && lease.epoch.0 > self.started.0 && state.frozen().is_none();
        live.then_some(lease.epoch)
    }

    /// The epoch under which this process may append now: none while the log is down.
    pub(crate) fn may_append(&self) -> Option<Epoch> {
        self.journal.read(|state| self.held(state)).filter(|_| self.journal.log_up())
    }
}

/// Runs the planner role until the journal ends; it decides only while this process holds the lease.
pub async fn run(
    instance: InstanceId,
    journal: Journal,
    list: Arc<dyn InstanceList>,
    demand: DemandLog,
    recorder: Recorder,
    options: Options,
) {
    journal.ready().await;
    let started = journal.read(State::offset);
    let shared = Shared { instance, journal, recorder, options, started };
    let (sender, sightings) = watch::channel(Sightings::default());
    tokio::select! {
        () = lease::keep(&shared) => {}
        () = listing::watch(&shared, list, sender) => {}
        () = rounds::decide(&shared, demand, sightings) => {}
        () = snapshots::write(&shared) => {}
        () = stopped(shared.options.stop.clone()) => resign(&shared).await,
    }
}

async fn stopped(stop: Option<watch::Receiver<bool>>) {
    match stop {
        Some(mut stop) => drop(stop.wait_for(|stop| *stop).await),
        None => std::future::pending().await,
    }
}

/// Gives the lease up, so that another process need not wait for it to lapse.
async fn resign(shared: &Shared) {
    let Some(epoch) = shared.may_append() else { return };
    log::info!("planner: giving epoch {epoch} up");
    if let Err(error) = shared.journal.append(Body::Resign { epoch }, RESIGN_LIMIT).await {
        log::warn!("planner: {error}");
    }
}
