//! Asking every process of the system.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use journal::Journal;
use serde::Deserialize;
use serde_json::{Map, Value};
use timeline::Event;
use units::Revision;
use web::Client;

/// The longest wait for one answer.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// What a process says of itself at `/status`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct Status {
    /// The revision in force there.
    pub(crate) revision: Revision,
    /// All else that it says.
    #[serde(flatten)]
    pub(crate) more: Map<String, Value>,
}

/// The admin addresses of all processes, with a name for each.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    client: Client,
    entries: Vec<SocketAddr>,
}

impl Fleet {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self { client: Client::default(), entries }
    }

    /// The processes known now: the entries that were given, and the agents of all members.
    pub(crate) fn processes(&self, journal: &Journal) -> BTreeMap<SocketAddr, String> {
        let entries = self.entries.iter().map(|addr| (*addr, format!("entry {addr}")));
        let mut processes: BTreeMap<_, _> = entries.collect();
        journal.read(|state| {
            for member in state.members() {
                let attach = &member.attach;
                processes.insert(attach.admin, attach.instance.to_string());
            }
        });
        processes
    }

    /// Asks all processes for their status, at the same time.
    pub(crate) async fn statuses(
        &self,
        processes: &BTreeMap<SocketAddr, String>,
    ) -> Vec<(String, Result<Status, web::CallError>)> {
        let ask = |addr: SocketAddr, name: String| async move {
            (name, self.client.get(addr, "/status", ASK_LIMIT).await)
        };
        join_all(processes.iter().map(|(addr, name)| ask(*addr, name.clone()))).await
    }

    /// Asks all processes for their events, at the same time.
    pub(crate) async fn events(
        &self,
        processes: &BTreeMap<SocketAddr, String>,
    ) -> Vec<(String, Result<Vec<Event>, String>)> {
        let ask = |addr: SocketAddr, name: String| async move {
            let lines = self.client.get_text(addr, "/timeline", ASK_LIMIT).await;
            let events = lines.map_err(|error| error.to_string());
            let parse =
                |lines: String| Event::from_lines(&lines).map_err(|error| error.to_string());
            (name, events.and_then(parse))
        };
        join_all(processes.iter().map(|(addr, name)| ask(*addr, name.clone()))).await
    }
}
