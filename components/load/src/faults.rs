//! Faults at their times: to stand-ins over HTTP, to processes by signal.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request, Uri};
use nix::sys::signal::Signal;
use serde_json::Value;
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::sleep_until;
use web::Client;

use crate::children::{ChildError, Launch};
use crate::clock::Clock;
use crate::evidence::{Period, Stop};
use crate::experiment::{Action, TimedFault};
use crate::fleet::{Fleet, terminate};

const CALL_LIMIT: Duration = Duration::from_secs(2);
/// How long the end of a killed process is waited for.
const KILL_LIMIT: Duration = Duration::from_secs(5);

/// Why a fault could not be brought about.
#[derive(Debug, Error)]
pub(crate) enum FaultError {
    /// A process could not be signalled or started.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// No stand-in has that name.
    #[error("no stand-in `{0}`; there are `log`, `list`, `store` and the endpoints")]
    NoStandin(String),
    /// A stand-in did not take it.
    #[error("the stand-in `{name}` did not take the fault: {cause}")]
    Refused {
        /// The stand-in.
        name: String,
        /// What it said.
        cause: String,
    },
}

/// What the faults did, for the checks.
#[derive(Debug, Default)]
pub(crate) struct FaultLog {
    /// Planned stops.
    pub(crate) stops: Vec<Stop>,
    /// Processes that were gone or paused without a plan.
    pub(crate) crashes: Vec<Period>,
    /// Endpoints that were leaving.
    pub(crate) departures: Vec<Period>,
    /// When processes were started or let go on.
    pub(crate) starts: Vec<(String, Duration)>,
}

/// Brings the faults of an experiment about.
pub(crate) struct Faults<'a> {
    fleet: &'a mut Fleet,
    launches: Vec<Launch>,
    client: Client,
    clock: Clock,
    log: FaultLog,
    stopping: JoinSet<Stop>,
}

impl<'a> Faults<'a> {
    pub(crate) fn new(fleet: &'a mut Fleet, clock: Clock) -> Self {
        let launches = fleet.launches();
        let client = Client::default();
        let (log, stopping) = (FaultLog::default(), JoinSet::new());
        Self { fleet, launches, client, clock, log, stopping }
    }

    /// Brings each fault about at its time from `start`, then waits for the planned stops to end.
    pub(crate) async fn run(
        mut self,
        faults: &[TimedFault],
        start: Duration,
        end: Duration,
    ) -> Result<FaultLog, FaultError> {
        let mut faults: Vec<&TimedFault> = faults.iter().collect();
        faults.sort_by_key(|fault| fault.at);
        for fault in faults {
            sleep_until(self.clock.instant(start + fault.at.0)).await;
            self.bring(fault, end).await?;
        }
        while let Some(stop) = self.stopping.join_next().await {
            self.log.stops.extend(stop.ok());
        }
        Ok(self.log)
    }

    async fn bring(&mut self, fault: &TimedFault, end: Duration) -> Result<(), FaultError> {
        let name = fault.name.as_str();
        let from = self.clock.now();
        let period = Period { name: name.to_owned(), from, to: end };
        match &fault.action {
            Action::Fault(body) => self.post(name, body, end).await?,
            Action::Kill => {
                self.fleet.signal(name, Signal::SIGKILL)?;
                if let Some(mut process) = self.fleet.take(name) {
                    process.ended(KILL_LIMIT).await;
                }
                self.log.crashes.push(period);
            }
            Action::Pause => {
                self.fleet.signal(name, Signal::SIGSTOP)?;
                self.log.crashes.push(period);
            }
            Action::Continue => {
                self.fleet.signal(name, Signal::SIGCONT)?;
                self.back(name);
            }
            Action::Terminate => {
                if let Some(process) = self.fleet.take(name) {
                    self.stopping.spawn(terminate(process, self.clock));
                    self.log.departures.push(period);
                }
            }
            Action::Start => {
                let launch = self.launches.iter().find(|launch| launch.name == name).cloned();
                let unknown = || ChildError::Unknown { name: name.to_owned() };
                self.fleet.restart(launch.ok_or_else(unknown)?)?;
                self.back(name);
            }
        }
        Ok(())
    }

    /// Notes that a process is back.
    fn back(&mut self, name: &str) {
        let now = self.clock.now();
        let gone = self.log.crashes.iter_mut().chain(&mut self.log.departures);
        for period in gone.filter(|period| period.name == name) {
            period.to = period.to.min(now);
        }
        self.log.starts.push((name.to_owned(), now));
    }

    async fn post(&mut self, name: &str, body: &Value, end: Duration) -> Result<(), FaultError> {
        let addr = self.address(name).ok_or_else(|| FaultError::NoStandin(name.to_owned()))?;
        let refused = |cause: String| FaultError::Refused { name: name.to_owned(), cause };
        let uri = Uri::builder().scheme("http").authority(addr.to_string());
        let uri = uri.path_and_query("/faults").build().map_err(|e| refused(e.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header("content-type", "application/json")
            .body(web::full(body.to_string()))
            .map_err(|error| refused(error.to_string()))?;
        let answer = self.client.call(addr, request, CALL_LIMIT).await;
        let (status, text) = answer.map_err(|error| refused(error.to_string()))?;
        if !status.is_success() {
            return Err(refused(String::from_utf8_lossy(&text).into_owned()));
        }
        if body.get("fault") == Some(&Value::from("leaving")) {
            let name = body.get("id").and_then(Value::as_str).unwrap_or_default().to_owned();
            let from = self.clock.now();
            self.log.departures.push(Period { name, from, to: end });
        }
        Ok(())
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        let site = &self.fleet.site;
        match name {
            "log" => Some(site.log),
            "list" => Some(site.list),
            "store" => Some(site.store),
            _ => site.places().find(|place| place.name == name).map(|place| place.endpoint),
        }
    }
}
