//! What is decided at every moment, folded from the log as the system does it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use edge::{HttpLog, LogService, Stream};
use record::Record;
use state::State;
use units::{ModelName, Offset, Revision};

/// How long a read at the end of the log may wait.
const NO_WAIT: Duration = Duration::ZERO;

/// The endpoints that may hold each model.
pub(crate) type Placements = BTreeMap<ModelName, BTreeSet<String>>;

/// Follows the control stream.
pub(crate) struct Ledger {
    log: HttpLog,
    state: State,
}

impl Ledger {
    pub(crate) fn new(log: SocketAddr) -> Self {
        Self { log: HttpLog::new(log), state: State::default() }
    }

    /// Reads to the end of the log; returns what was granted at any moment meanwhile.
    ///
    /// While the log does not answer nothing new can be decided, so what was read last still holds.
    pub(crate) async fn catch_up(&mut self) -> Placements {
        let mut placements = Placements::new();
        self.note(&mut placements);
        while let Ok(page) = self.log.read(Stream::Control, self.next(), NO_WAIT).await {
            if page.entries.is_empty() {
                break;
            }
            for entry in page.entries {
                if let Ok(record) = serde_json::from_slice::<Record>(&entry.data) {
                    self.state.apply(entry.offset, &record);
                    self.note(&mut placements);
                }
            }
        }
        placements
    }

    /// The state folded so far.
    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// How many grants there are for what an engine loads.
    pub(crate) fn decided(&self, artifact: &ModelName) -> usize {
        self.state.grants().filter(|grant| grant.artifact == *artifact).count()
    }

    /// The newest configuration.
    pub(crate) fn revision(&self) -> Revision {
        self.state.revision()
    }

    fn next(&self) -> Offset {
        self.state.offset().next()
    }

    fn note(&self, placements: &mut Placements) {
        for grant in self.state.grants() {
            let places = placements.entry(grant.artifact.clone()).or_default();
            places.insert(grant.endpoint.to_string());
        }
    }
}
