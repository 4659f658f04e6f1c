//! Which workspaces had loads lately, and which refused models were told a time at which there is room.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use control::WaitingWorkspace;
use tokio::time::Instant;
use units::{ModelName, WorkspaceName};

/// How long a load counts for its workspaces: about as long as the models that wait need for their turns.
const LOAD_MEMORY: Duration = Duration::from_secs(20);
/// Loads that are remembered at most: more than one endpoint carries out in [`LOAD_MEMORY`].
const MAX_LOADS: usize = 64;
/// How much later than told a router may return for its room: the delays of its timer and of the network.
const RETURN_GRACE: Duration = Duration::from_millis(300);

/// A load, and whose requests waited for it.
#[derive(Debug)]
struct Load {
    at: Instant,
    workspaces: Vec<WorkspaceName>,
}

/// The loads of the last seconds.
#[derive(Debug, Default)]
pub(crate) struct RecentLoads {
    loads: VecDeque<Load>,
}

impl RecentLoads {
    /// Records a load that these workspaces waited for.
    pub(crate) fn record(&mut self, workspaces: Vec<WorkspaceName>, now: Instant) {
        if self.loads.len() >= MAX_LOADS {
            self.loads.pop_front();
        }
        self.loads.push_back(Load { at: now, workspaces });
    }

    /// Removes loads that no longer count.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.loads.retain(|load| now - load.at < LOAD_MEMORY);
    }

    /// The recent loads of the workspaces that wait, on average over their requests.
    pub(crate) fn average<'a>(
        &self,
        workspaces: impl Iterator<Item = &'a WaitingWorkspace>,
        now: Instant,
    ) -> f64 {
        let (mut loads, mut requests) = (0.0, 0.0);
        for workspace in workspaces {
            let waiting = f64::from(workspace.waiting);
            loads += waiting * f64::from(self.count(&workspace.name, now));
            requests += waiting;
        }
        if requests > 0.0 { loads / requests } else { 0.0 }
    }

    fn count(&self, workspace: &WorkspaceName, now: Instant) -> u32 {
        let recent = self.loads.iter().filter(|load| now - load.at < LOAD_MEMORY);
        let own = recent.filter(|load| load.workspaces.contains(workspace));
        u32::try_from(own.count()).unwrap_or(u32::MAX)
    }
}

/// The times at which refused models were told to find room.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    models: BTreeMap<ModelName, Instant>,
}

impl Promises {
    /// Records that the routers of a model were told to return at a time.
    pub(crate) fn record(&mut self, model: &ModelName, at: Instant) {
        self.models.insert(model.clone(), at);
    }

    /// Ends the promise for a model: its router has returned.
    pub(crate) fn remove(&mut self, model: &ModelName) {
        self.models.remove(model);
    }

    /// Ends promises whose router hasn't returned.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.models.retain(|_, at| *at + RETURN_GRACE > now);
    }

    /// The promises in force, with their times.
    pub(crate) fn open(&self, now: Instant) -> impl Iterator<Item = (&ModelName, Instant)> {
        let open = self.models.iter().map(|(model, at)| (model, *at));
        open.filter(move |(_, at)| *at + RETURN_GRACE > now)
    }

    /// Ends all promises.
    pub(crate) fn clear(&mut self) {
        self.models.clear();
    }
}
