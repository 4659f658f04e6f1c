//! The task that follows the control stream and owns the folded state.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use platform::LogService;
use record::Body;
use state::{Applied, State};
use thiserror::Error;
use timeline::Recorder;
use tokio::sync::watch;
use units::{InstanceId, Offset};
use wire::{Control, Reply};

/// How a process follows the log.
#[derive(Debug, Clone)]
pub struct Options {
    /// Control addresses of peers to ask before any member is known: usually the entries.
    pub seeds: Vec<SocketAddr>,
    /// The pause between heartbeats to peers.
    pub heartbeat: Duration,
    /// How long a read of the log may wait for new records.
    pub poll: Duration,
    /// The pause before an unanswered append is repeated.
    pub repeat: Duration,
    /// How many records are kept for peers.
    pub kept: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            heartbeat: Duration::from_secs(1),
            poll: Duration::from_secs(10),
            repeat: Duration::from_millis(500),
            kept: 4096,
        }
    }
}

/// Why an append has no verdict.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The record was not read back in time; it may still appear.
    #[error("the record was not read back within {limit:?}; it may still take effect")]
    Unknown {
        /// How long the append waited.
        limit: Duration,
    },
    /// The journal has ended.
    #[error("the process is shutting down")]
    Closed,
}

/// A handle on the folded state and the log; cheap to clone.
#[derive(Clone)]
pub struct Journal {
    state: Arc<RwLock<State>>,
    changes: watch::Receiver<Offset>,
    _changed: Arc<watch::Sender<Offset>>,
}

/// Starts following; the tasks end when the last handle is dropped.
pub fn start(
    _service: Arc<dyn LogService>,
    _instance: InstanceId,
    _recorder: Recorder,
    _options: Options,
) -> Journal {
    let (sender, changes) = watch::channel(Offset(0));
    Journal { state: Arc::default(), changes, _changed: Arc::new(sender) }
}

impl Journal {
    /// Reads the folded state; keep the closure short, it holds a lock.
    pub fn read<R>(&self, look: impl FnOnce(&State) -> R) -> R {
        look(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The newest offset applied; changes after each batch of records.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.changes.clone()
    }

    /// Waits until the state is known to be as new as the log was at the start, or a peer's state was taken over.
    pub async fn ready(&self) {}

    /// Whether the log could be read lately.
    pub fn log_up(&self) -> bool {
        true
    }

    /// Appends a record, repeats it until it is read back, and says what became of it.
    pub async fn append(&self, _body: Body, limit: Duration) -> Result<Applied, AppendError> {
        Err(AppendError::Unknown { limit })
    }

    /// Answers heartbeats, fetches and fetches of the state.
    pub async fn answer(&self, _control: Control) -> Reply {
        Reply::Unknown
    }
}
