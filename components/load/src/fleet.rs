//! The running processes of a sample deployment.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use web::Client;

use crate::children::{ChildError, Exit, Launch, Process};
use crate::clock::Clock;
use crate::evidence::{Period, Stop};
use crate::site::Site;

/// How long a process may take until it is healthy.
const HEALTHY_LIMIT: Duration = Duration::from_secs(15);
/// How long a graceful shutdown may take.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// The running processes, by name.
pub(crate) struct Fleet {
    pub(crate) site: Site,
    processes: BTreeMap<String, Process>,
    client: Client,
    clock: Clock,
}

impl Fleet {
    /// Starts the stand-ins, then entries and agents, and waits until all are healthy.
    pub(crate) async fn start(site: Site, clock: Clock) -> Result<Self, ChildError> {
        let client = Client::default();
        let mut fleet = Self { site, processes: BTreeMap::new(), client, clock };
        let standins = fleet.site.platform.iter().chain(fleet.site.places().map(|p| &p.standin));
        let standins: Vec<Launch> = standins.cloned().collect();
        fleet.launch(standins).await?;
        fleet.launch(fleet.system()).await?;
        Ok(fleet)
    }

    /// Starts entries and agents only; the caller has the stand-ins in its own process.
    pub(crate) async fn start_system(site: Site, clock: Clock) -> Result<Self, ChildError> {
        let client = Client::default();
        let mut fleet = Self { site, processes: BTreeMap::new(), client, clock };
        fleet.launch(fleet.system()).await?;
        Ok(fleet)
    }

    /// The running processes with their system ids.
    pub(crate) fn running(&self) -> impl Iterator<Item = (&Launch, u32)> {
        let running = self.processes.values();
        running.filter_map(|process| Some((&process.launch, process.id()?)))
    }

    /// How many processes run.
    pub(crate) fn len(&self) -> usize {
        self.processes.len()
    }

    /// How the processes of the system itself are started: entries and agents.
    fn system(&self) -> Vec<Launch> {
        self.site
            .entries
            .iter()
            .chain(self.site.places().map(|place| &place.agent))
            .cloned()
            .collect()
    }

    /// How all processes are started.
    pub(crate) fn launches(&self) -> Vec<Launch> {
        let standins = self.site.platform.iter().chain(self.site.places().map(|p| &p.standin));
        standins.cloned().chain(self.system()).collect()
    }

    async fn launch(&mut self, launches: Vec<Launch>) -> Result<(), ChildError> {
        let started: Result<Vec<Process>, ChildError> =
            launches.into_iter().map(Launch::start).collect();
        let mut started = started?;
        let client = &self.client;
        let waits = started.iter_mut().map(|process| process.healthy(client, HEALTHY_LIMIT));
        let healthy: Result<Vec<()>, ChildError> = join_all(waits).await.into_iter().collect();
        for process in started {
            self.processes.insert(process.launch.name.clone(), process);
        }
        healthy.map(|_| ())
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&self, name: &str, signal: Signal) -> Result<(), ChildError> {
        match self.processes.get(name) {
            Some(process) => process.signal(signal),
            None => Err(ChildError::Unknown { name: name.to_owned() }),
        }
    }

    /// Takes a process out, to wait for its end.
    pub(crate) fn take(&mut self, name: &str) -> Option<Process> {
        self.processes.remove(name)
    }

    /// Starts a process of the deployment again.
    pub(crate) fn restart(&mut self, launch: Launch) -> Result<(), ChildError> {
        let process = launch.start()?;
        self.processes.insert(process.launch.name.clone(), process);
        Ok(())
    }

    /// Stops entries and agents gracefully, all at the same time.
    pub(crate) async fn stop_system(&mut self) -> Vec<Stop> {
        let names = self.system().into_iter().map(|launch| launch.name).collect();
        self.stop(names).await
    }

    /// Stops what still runs: the stand-ins.
    pub(crate) async fn stop_rest(&mut self) -> Vec<Stop> {
        let names = self.processes.keys().cloned().collect();
        self.stop(names).await
    }

    async fn stop(&mut self, names: Vec<String>) -> Vec<Stop> {
        let clock = self.clock;
        let stopping = names.iter().filter_map(|name| self.processes.remove(name));
        join_all(stopping.map(|process| terminate(process, clock))).await
    }
}

/// Sends SIGTERM and waits for the end.
pub(crate) async fn terminate(mut process: Process, clock: Clock) -> Stop {
    let from = clock.now();
    let signalled = process.signal(Signal::SIGTERM).is_ok();
    let exit = process.ended(STOP_LIMIT).await;
    let period = Period { name: process.launch.name.clone(), from, to: clock.now() };
    Stop { period, clean: signalled && exit == Exit::Code(0) }
}
