//! Asking every process of the system.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use journal::Journal;
use serde::Deserialize;
use serde_json::{Map, Value};
use state::State;
use timeline::Event;
use units::Revision;
use web::{CallError, Client};

/// The longest wait for one answer.
const ASK_LIMIT: Duration = Duration::from_secs(2);
/// How many processes are asked at the same time.
const ASKED_AT_ONCE: usize = 64;

/// A process with an admin server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) admin: SocketAddr,
}

/// What a process says of itself at `/status`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct Status {
    /// The revision in force there.
    pub(crate) revision: Revision,
    /// All else that it says.
    #[serde(flatten)]
    pub(crate) more: Map<String, Value>,
}

/// Asks the admin servers of all processes.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    client: Client,
    entries: Vec<SocketAddr>,
}

impl Fleet {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self { client: Client::default(), entries }
    }

    /// A remark if no entry was given, for only agents are members of the log.
    pub(crate) fn remark(&self) -> Option<&'static str> {
        let none = self.entries.is_empty();
        none.then_some("the entries were not asked; name their admin addresses with `--entry`")
    }

    /// The processes known now, by name: the entries that were given, and the agents of all members.
    pub(crate) fn targets(&self, journal: &Journal) -> Vec<Target> {
        let entries = self.entries.iter().map(|admin| (format!("entry {admin}"), *admin));
        let mut targets = journal.read(members);
        targets.extend(entries.map(|(name, admin)| Target { name, admin }));
        targets.sort();
        targets
    }

    /// Asks processes for their status.
    pub(crate) async fn statuses(
        &self,
        targets: &[Target],
    ) -> Vec<(Target, Result<Status, CallError>)> {
        self.ask_all(targets, |target| self.client.get(target.admin, "/status", ASK_LIMIT)).await
    }

    /// Asks processes for their events.
    pub(crate) async fn events(
        &self,
        targets: &[Target],
    ) -> Vec<(Target, Result<Vec<Event>, String>)> {
        let ask = async |target: Target| {
            let lines = self.client.get_text(target.admin, "/timeline", ASK_LIMIT).await;
            let lines = lines.map_err(|error| error.to_string())?;
            Event::from_lines(&lines).map_err(|error| error.to_string())
        };
        self.ask_all(targets, ask).await
    }

    async fn ask_all<T, F>(&self, targets: &[Target], ask: impl Fn(Target) -> F) -> Vec<(Target, T)>
    where
        F: Future<Output = T>,
    {
        let asks = targets.iter().map(|target| {
            let answer = ask(target.clone());
            async move { (target.clone(), answer.await) }
        });
        stream::iter(asks).buffered(ASKED_AT_ONCE).collect().await
    }
}

fn members(state: &State) -> Vec<Target> {
    let target = |member: &state::Member| {
        let (name, admin) = (member.attach.instance.to_string(), member.attach.admin);
        Target { name, admin }
    };
    state.members().map(target).collect()
}
