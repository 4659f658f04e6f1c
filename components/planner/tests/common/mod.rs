//! A site in memory: entries that run the planner, agents that only follow their grants, and the platform.

#![allow(dead_code, reason = "each test file uses its part")]

pub(crate) mod agents;
mod gate;
mod history;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fake::{List, Log, Net};
use journal::Journal;
use planner::{DemandLog, Options};
use policy::Calendar;
use record::Body;
use serde_json::{Value, json};
use state::{Applied, State};
use timeline::Recorder;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tree::{Change, Edit, NodeKind};
use units::{Epoch, InstanceId, NodePath, Revision};
use wire::{Control, Reply};

pub(crate) use agents::Agents;
pub(crate) use gate::Gate;
pub(crate) use history::History;

/// The lease duration in these tests.
pub(crate) const LEASE: Duration = Duration::from_secs(5);
/// The longest takeover of the lease by another process: the lease duration, the jitter and the claim.
pub(crate) const MAX_TAKEOVER: Duration = Duration::from_millis(8500);
/// How long an append may take until its record is read back.
pub(crate) const APPEND_TIMEOUT: Duration = Duration::from_secs(30);

/// The platform and network that the processes share.
#[derive(Clone, Default)]
pub(crate) struct Site {
    pub(crate) log: Log,
    pub(crate) list: List,
    pub(crate) net: Net,
}

/// An entry that runs the planner.
pub(crate) struct Entry {
    pub(crate) name: InstanceId,
    pub(crate) journal: Journal,
    pub(crate) demand: DemandLog,
    pub(crate) gate: Gate,
    pub(crate) options: Options,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

pub(crate) fn addr(number: usize) -> SocketAddr {
    let port = u16::try_from(10_000 + number).expect("a port");
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) async fn sleep_secs(seconds: u64) {
    sleep(Duration::from_secs(seconds)).await;
}

impl Site {
    /// Starts a process's journal, without heartbeats to other processes.
    pub(crate) fn journal(&self, name: &str, service: Arc<dyn edge::LogService>) -> Journal {
        let instance: InstanceId = name.parse().expect("an instance");
        let options = journal::Options {
            network: Arc::new(self.net.port(addr(0))),
            ..journal::Options::default()
        };
        journal::start(service, instance.clone(), Recorder::new(instance), options)
    }

    /// Starts an entry with the usual options.
    pub(crate) fn entry(&self, number: usize) -> Entry {
        self.entry_with(number, |_| {})
    }

    /// Starts an entry with changed options.
    pub(crate) fn entry_with(&self, number: usize, change: impl FnOnce(&mut Options)) -> Entry {
        let name: InstanceId = format!("entry-{number}").parse().expect("an instance");
        let gate = Gate::new(self.log.clone());
        let journal = self.journal(name.as_str(), Arc::new(gate.clone()));
        let (stop, stopped) = watch::channel(false);
        let mut options = Options {
            lease_duration: LEASE,
            calendar: Calendar::starting("2026-12-02T08:00:00Z".parse().expect("a time")),
            stop: Some(stopped),
            network: Arc::new(self.net.port(addr(number))),
            ..Options::default()
        };
        change(&mut options);
        let demand = DemandLog::default();
        let run = planner::run(
            name.clone(),
            journal.clone(),
            Arc::new(self.list.clone()),
            demand.clone(),
            Recorder::new(name.clone()),
            options.clone(),
        );
        Entry { name, journal, demand, gate, options, stop, task: tokio::spawn(run) }
    }

    /// Counts of the records in the log so far.
    pub(crate) fn history(&self) -> History {
        History::of(&self.log)
    }

    /// The state folded from the whole log.
    pub(crate) fn state(&self) -> State {
        self.history().state
    }

    /// Waits until the folded state meets a condition. Returns how long that took.
    pub(crate) async fn until(&self, what: &str, is: impl Fn(&State) -> bool) -> Duration {
        let began = Instant::now();
        while !is(&self.state()) {
            assert!(began.elapsed() < Duration::from_secs(300), "timed out waiting for: {what}");
            sleep(Duration::from_millis(50)).await;
        }
        began.elapsed()
    }
}

impl Entry {
    /// Whether this entry holds the lease.
    pub(crate) fn is_holder(&self, state: &State) -> bool {
        state.lease().holder.as_ref() == Some(&self.name)
    }

    /// Cuts the process off from the log and aborts it.
    pub(crate) fn kill(self) {
        self.gate.shut_reads(true);
        self.gate.shut_appends(true);
        self.task.abort();
    }

    /// Shuts the process down gracefully.
    pub(crate) async fn shut_down(self) {
        self.stop.send_replace(true);
        self.task.await.expect("the planner ends");
    }
}

/// Removes the entry that holds the lease from `entries` and returns it.
pub(crate) fn take_holder(entries: &mut Vec<Entry>, state: &State) -> Entry {
    let at = entries.iter().position(|entry| entry.is_holder(state)).expect("a holder");
    entries.remove(at)
}

/// The epoch of the lease: it only grows, and is 0 before the first claim.
pub(crate) fn epoch(state: &State) -> Epoch {
    state.lease().epoch
}

fn path(name: &str) -> NodePath {
    NodePath::root().child("press").expect("a path").child(name).expect("a path")
}

/// The changes that add the branch above all models.
pub(crate) fn add_branch() -> Vec<Change> {
    let branch = NodePath::root().child("press").expect("a path");
    let mut changes = vec![Change::Add { path: branch.clone(), kind: NodeKind::Branch }];
    changes.push(set_at(branch.clone(), "service", json!("likhari")));
    changes.push(set_at(branch, "replicas-most", json!(2)));
    changes
}

fn set_at(path: NodePath, setting: &str, value: Value) -> Change {
    Change::Set { path, setting: setting.parse().expect("a setting"), value }
}

/// The change of a setting of the branch above all models.
pub(crate) fn set_all(setting: &str, value: Value) -> Change {
    set_at(NodePath::root().child("press").expect("a path"), setting, value)
}

/// The change of a setting of a model.
pub(crate) fn set(model: &str, setting: &str, value: Value) -> Change {
    set_at(path(model), setting, value)
}

/// The change that adds a model that inherits all settings.
pub(crate) fn add(model: &str) -> Change {
    Change::Add { path: path(model), kind: NodeKind::Model }
}

/// The change that adds an adapter to a model.
pub(crate) fn add_adapter(model: &str, name: &str) -> Change {
    Change::Add { path: path(model).child(name).expect("a path"), kind: NodeKind::Adapter }
}

/// Publishes an edit based on the newest revision.
pub(crate) async fn publish(journal: &Journal, id: &str, changes: Vec<Change>) -> Applied {
    let base = journal.read(State::revision);
    publish_on(journal, id, base, changes).await
}

/// Publishes an edit based on a given revision.
pub(crate) async fn publish_on(
    journal: &Journal,
    id: &str,
    base: Revision,
    changes: Vec<Change>,
) -> Applied {
    let id = id.parse().expect("an edit id");
    let edit = Edit { id, author: "amal".to_owned(), base, changes };
    journal.append(Body::Edit(edit), APPEND_TIMEOUT).await.expect("the log is up")
}

/// The instances that agents were notified about as leaving.
pub(crate) type LeavingNotices = Arc<Mutex<Vec<InstanceId>>>;

/// Answers control messages at an address as the process of a running instance does.
pub(crate) fn serve(
    net: &Net,
    at: SocketAddr,
    instance: InstanceId,
    journal: Journal,
    leaving_notices: LeavingNotices,
) {
    net.serve(at, move |message: Bytes| {
        let (journal, name, leaving_notices) =
            (journal.clone(), instance.clone(), leaving_notices.clone());
        async move {
            let control = serde_json::from_slice(&message).expect("a control message");
            if let Control::Leaving { instance } = &control {
                leaving_notices
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(instance.clone());
            }
            let reply = match journal.answer(control).await {
                Reply::Position { applied, tick, .. } => {
                    Reply::Position { applied, tick, from: Some(name) }
                }
                other => other,
            };
            Bytes::from(serde_json::to_vec(&reply).expect("text"))
        }
    });
}
