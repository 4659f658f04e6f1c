//! Runs the planner's loops until the journal closes or the process shuts down.

use std::sync::Arc;
use std::time::Duration;

use edge::InstanceList;
use journal::Journal;
use peer::{Client, Transport};
use policy::Calendar;
use record::Body;
use state::State;
use timeline::Recorder;
use tokio::sync::watch;
use units::{Epoch, InstanceId, Offset};

use crate::decide::GONE_BATCH_DIVISOR;
use crate::membership::Observations;
use crate::{DemandLog, lease, listing, rounds, snapshots};

/// How long a shutdown waits for the lease to be given up.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(1);

/// The planner's options.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long the lease may go without renewal before this process claims it.
    pub lease_duration: Duration,
    /// How long an endpoint must be absent from the platform's list before it counts as gone and loses its grants.
    pub absence_timeout: Duration,
    /// The least pause between two rounds of decisions.
    pub round_interval: Duration,
    /// The most decisions that one round appends to the log.
    pub max_decisions: usize,
    /// The pause between two reads of the instance list.
    pub list_interval: Duration,
    /// The calendar that closing windows are evaluated with.
    pub calendar: Calendar,
    /// Becomes true when the process shuts down; the planner then gives up its lease and ends.
    pub stop: Option<watch::Receiver<bool>>,
    /// The network to the agents, which are probed before their endpoints count as gone.
    pub network: Arc<dyn Transport>,
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

/// The most rounds, and so appends, that a number of decisions needs. Half of a round's decisions may remove gone
/// endpoints, which leaves the other half for new grants.
pub fn max_rounds(decisions: usize, batch: usize) -> usize {
    decisions.div_ceil((batch / GONE_BATCH_DIVISOR).max(1))
}

/// The state that the loops of one planner share.
pub(crate) struct Shared {
    pub(crate) instance: InstanceId,
    pub(crate) journal: Journal,
    pub(crate) recorder: Recorder,
    pub(crate) options: Options,
    /// The newest offset when this process started. Claims up to this offset were made by an earlier process, even under
    /// the same instance name.
    pub(crate) start_offset: Offset,
}

impl Shared {
    /// The epoch whose lease this process holds according to the folded state. `None` while the state is frozen.
    pub(crate) fn held_epoch(&self, state: &State) -> Option<Epoch> {
        let lease = state.lease();
        let own = lease.holder.as_ref() == Some(&self.instance);
        let valid = own && lease.epoch.0 > self.start_offset.0 && state.frozen().is_none();
        valid.then_some(lease.epoch)
    }

    /// The epoch under which this process may append now. `None` while the log is down.
    pub(crate) fn appendable_epoch(&self) -> Option<Epoch> {
        self.journal.read(|state| self.held_epoch(state)).filter(|_| self.journal.log_up())
    }
}

/// Runs the planner until the journal closes or the process shuts down. It decides only while this process holds the
/// lease.
pub async fn run(
    instance: InstanceId,
    journal: Journal,
    list: Arc<dyn InstanceList>,
    demand: DemandLog,
    recorder: Recorder,
    options: Options,
) {
    journal.ready().await;
    let start_offset = journal.read(State::offset);
    let shared = Shared { instance, journal, recorder, options, start_offset };
    let (sender, observations) = watch::channel(Observations::default());
    tokio::select! {
        () = lease::maintain(&shared) => {}
        () = listing::watch_list(&shared, list, sender) => {}
        () = rounds::run_rounds(&shared, demand, observations) => {}
        () = snapshots::write_snapshots(&shared) => {}
        () = wait_for_stop(shared.options.stop.clone()) => give_up_lease(&shared).await
    }
}

async fn wait_for_stop(stop: Option<watch::Receiver<bool>>) {
    match stop {
        Some(mut stop) => drop(stop.wait_for(|stop| *stop).await),
        None => std::future::pending().await,
    }
}

/// Gives up the lease, so that another process need not wait until it lapses.
async fn give_up_lease(shared: &Shared) {
    let Some(epoch) = shared.appendable_epoch() else { return };
    log::info!("planner: giving up the lease of epoch {epoch}");
    if let Err(error) = shared.journal.append(Body::Resign { epoch }, RESIGN_TIMEOUT).await {
        log::warn!("planner: failed to give up the lease: {error}");
    }
}
