//! A deployment whose stand-ins run within the tool, so that a few hundred processes are enough.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use edge::{LogService, Stream};
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use record::{Body, Record};
use sample::id;
use serde::Deserialize;
use standin::{Engine, EngineSettings, ListFault, ListSettings, LogSettings, Running};
use state::State;
use tokio::time::{Instant, sleep};
use units::{InstanceId, Offset, Revision};
use web::Client;

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::scale::ScaleError;
use crate::scale::content::{self, Content};
use crate::scale::meter::Meter;
use crate::scale::report::Cost;
use crate::scale::usage::Usage;
use crate::site::{Layout, Sample, Scale, Site};

/// Entries of each deployment.
pub(crate) const ENTRIES: usize = 3;
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// How long anything that is waited for may take.
const LIMIT: Duration = Duration::from_secs(120);
const PAUSE: Duration = Duration::from_millis(50);
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// A running deployment.
pub(crate) struct Stage {
    pub(crate) fleet: Fleet,
    pub(crate) clock: Clock,
    log: fake::Log,
    log_bytes: Meter,
    list: SocketAddr,
    agents_list: Meter,
    entries_list: Meter,
    state: State,
    client: Client,
    started: Mark,
    _standins: Vec<Running>,
}

/// What everything took so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// By process.
    pub(crate) usage: BTreeMap<String, Usage>,
    /// Bytes to and from peers, by process.
    pub(crate) peers: BTreeMap<String, f64>,
    pub(crate) log_bytes: u64,
    /// To and from the instance list: of the agents, and of the entries.
    pub(crate) agents_list: u64,
    pub(crate) entries_list: u64,
    pub(crate) counters: fake::Counters,
}

/// A moment in the log, to count what comes after it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mark {
    offset: Offset,
    counters: fake::Counters,
    at: Instant,
}

/// The part of `/status` that is watched.
#[derive(Debug, Deserialize)]
struct InForce {
    revision: Revision,
}

impl Stage {
    /// Starts the stand-ins, fills the log, and starts `agents` agents and the entries.
    pub(crate) async fn start(
        bin: &Path,
        out: &Path,
        agents: usize,
        content: Content,
        engine: &EngineSettings,
    ) -> Result<Self, ScaleError> {
        let clock = Clock::start();
        let scale = Scale { engines: agents, services: 0, entries: ENTRIES };
        let layout =
            Layout { sample: Sample::Press, scale, engine: serde_json::Map::default(), blind: 0 };
        let site = Site::write(&layout, bin, out)?;
        let log = fake::Log::default();
        fill(&log, &site, agents, content);
        let service = standin::Log::serve(ANY, LogSettings::default(), log.clone()).await?;
        let mut instances = site.instances.clone();
        instances.extend(content.instances(agents));
        let settings = ListSettings { instances, ..ListSettings::default() };
        let list = standin::List::start(ANY, settings).await?;
        let log_bytes = Meter::start(site.log, service.addr).await?;
        let agents_list = Meter::start(site.list, list.addr).await?;
        let entries_list = Meter::start(ANY, list.addr).await?;
        move_list(&site, entries_list.addr())?;
        let list_addr = list.addr;
        let mut standins = vec![service, list];
        for place in &site.engines {
            standins.push(Engine::start(place.endpoint, engine.clone()).await?);
        }
        let offset = log.records(Stream::Control).last;
        let started = Mark { offset, counters: log.counters(), at: Instant::now() };
        let fleet = Fleet::start_system(site, clock).await?;
        Ok(Self {
            fleet,
            clock,
            log,
            log_bytes,
            list: list_addr,
            agents_list,
            entries_list,
            state: State::default(),
            client: Client::default(),
            started,
            _standins: standins,
        })
    }

    /// Folds the log up to its end.
    pub(crate) fn state(&mut self) -> &State {
        let next = self.state.offset();
        let page = self.log.records(Stream::Control);
        for entry in page.entries.iter().filter(|entry| entry.offset > next) {
            self.state.apply_bytes(entry.offset, &entry.data);
        }
        &self.state
    }

    /// Waits until the state is as wanted; returns how long it took.
    pub(crate) async fn until(
        &mut self,
        what: &'static str,
        done: impl Fn(&State) -> bool,
    ) -> Result<Duration, ScaleError> {
        let begun = Instant::now();
        while !done(self.state()) {
            if begun.elapsed() > LIMIT {
                return Err(ScaleError::Overdue { what, limit: LIMIT });
            }
            sleep(PAUSE).await;
        }
        Ok(begun.elapsed())
    }

    /// Reads what everything took so far.
    pub(crate) async fn snapshot(&self) -> Snapshot {
        let usage = self.fleet.running();
        let usage =
            usage.filter_map(|(launch, pid)| Some((launch.name.clone(), Usage::read(pid)?)));
        let usage = usage.collect();
        let reads = self.fleet.running().map(|(launch, _)| async {
            let text = self.client.get_text(launch.admin, "/metrics", CALL_LIMIT).await;
            (launch.name.clone(), counter(&text.unwrap_or_default(), "hyssop_control_bytes_total"))
        });
        Snapshot {
            usage,
            peers: join_all(reads).await.into_iter().collect(),
            log_bytes: self.log_bytes.bytes(),
            agents_list: self.agents_list.bytes(),
            entries_list: self.entries_list.bytes(),
            counters: self.log.counters(),
        }
    }

    /// The moment now.
    pub(crate) fn mark(&self) -> Mark {
        let offset = self.log.records(Stream::Control).last;
        Mark { offset, counters: self.log.counters(), at: Instant::now() }
    }

    /// What came into the log since the processes were started.
    pub(crate) fn since_start(&self) -> Cost {
        self.cost(self.started)
    }

    /// What came into the log since a moment, without the renewals of the planner's lease.
    pub(crate) fn cost(&self, since: Mark) -> Cost {
        let counters = self.log.counters();
        let page = self.log.records(Stream::Control);
        let fresh = page.entries.iter().filter(|entry| entry.offset > since.offset);
        let (mut renewals, mut records, mut bytes) = (0, 0, 0);
        for entry in fresh {
            if is_renewal(&entry.data) {
                renewals += 1;
            } else {
                records += 1;
                bytes += entry.data.len() as u64;
            }
        }
        let appends = counters.appends - since.counters.appends;
        Cost {
            appends: appends.saturating_sub(renewals),
            records,
            bytes,
            seconds: since.at.elapsed().as_secs_f64(),
        }
    }

    /// Publishes an edit and waits until it is in force at every process.
    pub(crate) async fn publish(&mut self, name: &str, round: usize) -> Result<(), ScaleError> {
        let state = self.state();
        let (revision, offset) = (state.revision(), state.offset());
        let text = content::edit(name, revision, offset, content::change(round));
        let appended = self.log.append(Stream::Control, vec![Bytes::from(text)]).await;
        let wanted = Revision::from(appended.map_err(|error| ScaleError::Log(error.to_string()))?);
        let begun = Instant::now();
        let mut waiting: Vec<SocketAddr> =
            self.fleet.running().map(|(launch, _)| launch.admin).collect();
        while !waiting.is_empty() {
            if begun.elapsed() > LIMIT {
                return Err(ScaleError::Overdue { what: "an edit in force", limit: LIMIT });
            }
            let asked = waiting.iter().map(|addr| self.revision(*addr));
            let seen = join_all(asked).await;
            waiting = waiting
                .into_iter()
                .zip(seen)
                .filter(|(_, r)| *r < Some(wanted))
                .map(|(a, _)| a)
                .collect();
            if !waiting.is_empty() {
                sleep(PAUSE).await;
            }
        }
        Ok(())
    }

    async fn revision(&self, addr: SocketAddr) -> Option<Revision> {
        let status = self.client.get::<InForce>(addr, "/status", CALL_LIMIT).await;
        status.ok().map(|status| status.revision)
    }

    /// Kills agents with no notice and takes their instances off the list.
    pub(crate) async fn lose(&mut self, names: &[String]) -> Result<(), ScaleError> {
        for name in names {
            self.fleet.signal(name, Signal::SIGKILL)?;
            drop(self.fleet.take(name));
        }
        for name in names {
            let fault = ListFault::Drop { id: id::<InstanceId>(name) };
            let post =
                self.client.post::<serde_json::Value>(self.list, "/faults", &fault, CALL_LIMIT);
            post.await.map_err(|error| ScaleError::List(error.to_string()))?;
        }
        Ok(())
    }
}

/// Has the entries read the list at an address of their own, so that what they read is counted apart.
fn move_list(site: &Site, addr: SocketAddr) -> std::io::Result<()> {
    for entry in &site.entries {
        let text = std::fs::read_to_string(&entry.settings)?;
        std::fs::write(&entry.settings, text.replace(&site.list.to_string(), &addr.to_string()))?;
    }
    Ok(())
}

/// Puts the tree and the members without a process into the log.
fn fill(log: &fake::Log, site: &Site, agents: usize, content: Content) {
    let mut last = Offset(0);
    for (number, changes) in content.edits().into_iter().enumerate() {
        let text = content::edit(&format!("tree-{number}"), last.into(), last, changes);
        last = log.put(Stream::Control, text);
    }
    for number in agents..content.members {
        let control = site.engines[number % site.engines.len()].control;
        let body = Content::attach(number, control);
        last = log.put(Stream::Control, content::record(&format!("attach-{number}"), last, body));
    }
}

fn is_renewal(data: &[u8]) -> bool {
    let record = serde_json::from_slice::<Record>(data);
    record.is_ok_and(|record| matches!(record.body, Body::Renew { .. }))
}

/// The sum of a counter over its labels, from the text of `/metrics`.
fn counter(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}
