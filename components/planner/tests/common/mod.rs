//! A site in memory: entries that may plan, agents that only keep to their grants, and the platform.

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

/// The lease in these tests.
pub(crate) const LEASE: Duration = Duration::from_secs(5);
/// Within this time another process has taken the lease over: the lease, its jitter, and the claim.
pub(crate) const TAKEOVER: Duration = Duration::from_millis(8500);
/// How long a record may take until it is read back.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

/// The platform and network that the processes share.
#[derive(Clone, Default)]
pub(crate) struct Site {
    pub(crate) log: Log,
    pub(crate) list: List,
    pub(crate) net: Net,
}

/// An entry that may plan.
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

pub(crate) async fn pass(seconds: u64) {
    sleep(Duration::from_secs(seconds)).await;
}

impl Site {
    /// A process's journal, without heartbeats to the others.
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

    /// Starts an entry.
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

    /// What the log says so far.
    pub(crate) fn history(&self) -> History {
        History::of(&self.log)
    }

    /// The state that a new reader would fold.
    pub(crate) fn state(&self) -> State {
        self.history().state
    }

    /// Waits until the folded state is as wanted; says how long that took.
    pub(crate) async fn until(&self, what: &str, is: impl Fn(&State) -> bool) -> Duration {
        let began = Instant::now();
        while !is(&self.state()) {
            assert!(began.elapsed() < Duration::from_secs(300), "never: {what}");
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

    /// Ends the process at once.
    pub(crate) fn kill(self) {
        self.gate.shut_reads(true);
        self.gate.shut_appends(true);
        self.task.abort();
    }

    /// Ends the process gracefully.
    pub(crate) async fn shut_down(self) {
        self.stop.send_replace(true);
        self.task.await.expect("the planner ends");
    }
}

/// The entry that holds the lease, taken out of the others.
pub(crate) fn take_holder(entries: &mut Vec<Entry>, state: &State) -> Entry {
    let at = entries.iter().position(|entry| entry.is_holder(state)).expect("a holder");
    entries.remove(at)
}

/// Epochs only grow; 0 before the first claim.
pub(crate) fn epoch(state: &State) -> Epoch {
    state.lease().epoch
}

fn path(name: &str) -> NodePath {
    NodePath::root().child("press").expect("a path").child(name).expect("a path")
}

/// Adds the branch under which all models are.
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

/// Sets a setting of the branch above all models.
pub(crate) fn set_all(setting: &str, value: Value) -> Change {
    set_at(NodePath::root().child("press").expect("a path"), setting, value)
}

/// Sets a setting of a model.
pub(crate) fn set(model: &str, setting: &str, value: Value) -> Change {
    set_at(path(model), setting, value)
}

/// Adds a model that inherits everything.
pub(crate) fn add(model: &str) -> Change {
    Change::Add { path: path(model), kind: NodeKind::Model }
}

/// Adds an adapter to a model.
pub(crate) fn add_adapter(model: &str, name: &str) -> Change {
    Change::Add { path: path(model).child(name).expect("a path"), kind: NodeKind::Adapter }
}

/// Publishes an edit that is based on everything in force.
pub(crate) async fn publish(journal: &Journal, id: &str, changes: Vec<Change>) -> Applied {
    let base = journal.read(State::revision);
    publish_on(journal, id, base, changes).await
}

/// Publishes an edit that is based on a revision.
pub(crate) async fn publish_on(
    journal: &Journal,
    id: &str,
    base: Revision,
    changes: Vec<Change>,
) -> Applied {
    let id = id.parse().expect("an edit id");
    let edit = Edit { id, author: "amal".to_owned(), base, changes };
    journal.append(Body::Edit(edit), LIMIT).await.expect("the log is up")
}

/// The instances that agents were told to be leaving.
pub(crate) type Told = Arc<Mutex<Vec<InstanceId>>>;

/// Answers control messages at an address as the process of a live instance does.
pub(crate) fn serve(net: &Net, at: SocketAddr, instance: InstanceId, journal: Journal, told: Told) {
    net.serve(at, move |message: Bytes| {
        let (journal, name, told) = (journal.clone(), instance.clone(), told.clone());
        async move {
            let control = serde_json::from_slice(&message).expect("a control message");
            if let Control::Leaving { instance } = &control {
                told.lock().unwrap_or_else(PoisonError::into_inner).push(instance.clone());
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
