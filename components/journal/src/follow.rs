//! The handle on the folded state, and the tasks behind it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use edge::{LogService, Stream};
use peer::Transport;
use record::{Body, Record};
use state::{Applied, State, Verdict, Void};
use timeline::Recorder;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use units::{InstanceId, Offset};
use wire::{Control, Reply};

use crate::append::{AppendError, Appender, Pending};
use crate::folded::{Health, Shared};
use crate::heartbeat::keep_in_touch;
use crate::peers::Peers;
use crate::reader::read_all;
use crate::snapshots::{SnapshotRule, to_records};

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
    /// How long an empty log must be readable before a process starts from nothing although seeds are silent.
    pub grace: Duration,
    /// When the log needs a new snapshot.
    pub snapshot: SnapshotRule,
    /// The network between peers.
    pub network: Arc<dyn Transport>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            heartbeat: Duration::from_secs(1),
            poll: Duration::from_secs(10),
            repeat: Duration::from_millis(500),
            kept: 4096,
            grace: Duration::from_secs(10),
            snapshot: SnapshotRule::default(),
            network: Arc::new(peer::Client::default()),
        }
    }
}

/// A handle on the folded state and the log; cheap to clone.
#[derive(Clone)]
pub struct Journal {
    shared: Arc<Shared>,
    appends: UnboundedSender<Pending>,
    names: Arc<Names>,
}

/// Makes record ids that no other process makes.
struct Names {
    prefix: String,
    count: AtomicU64,
}

impl Names {
    fn new(instance: &InstanceId) -> Self {
        Self {
            prefix: format!("{instance}.{:016x}", rand::random::<u64>()),
            count: AtomicU64::new(0),
        }
    }

    fn next(&self) -> String {
        format!("{}.{}", self.prefix, self.count.fetch_add(1, Ordering::Relaxed))
    }
}

/// Starts following; the tasks end when the last handle is dropped.
pub fn start(
    service: Arc<dyn LogService>,
    instance: InstanceId,
    recorder: Recorder,
    options: Options,
) -> Journal {
    let names = Arc::new(Names::new(&instance));
    let shared = Arc::new(Shared::new(instance, recorder, options));
    let (appends, incoming) = mpsc::unbounded_channel();
    tokio::spawn(supervise(shared.clone(), service, incoming));
    Journal { shared, appends, names }
}

/// Runs the journal's tasks until the last handle is dropped, which closes the channel of appends.
async fn supervise(
    shared: Arc<Shared>,
    service: Arc<dyn LogService>,
    incoming: mpsc::UnboundedReceiver<Pending>,
) {
    let peers = Peers::new(shared.clone());
    let appender = Appender {
        service: service.clone(),
        stream: Stream::Control,
        repeat: shared.options.repeat,
        is_wanted: |id: &str| shared.is_waited_for(id),
        is_open: || !matches!(*shared.health.borrow(), Health::Behind | Health::Forked),
        revived: shared.revived.clone(),
    };
    tokio::select! {
        () = appender.run(incoming) => {}
        () = read_all(shared.clone(), service, peers.clone()) => {}
        () = keep_in_touch(shared.clone(), peers) => {}
    }
}

/// Whether no copy of a record can have an effect, because it was on its way for too long.
///
/// This process has folded all offsets since it wrote the record, or it would not be waiting any more; so
/// no earlier copy had one.
fn is_stale(applied: &Applied) -> bool {
    matches!(applied.verdicts[..], [Verdict::Void(Void::Stale { .. })])
}

/// Stops waiting for a record when the writer does.
struct Waiting<'a> {
    shared: &'a Shared,
    id: &'a str,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.shared.stop_waiting(self.id);
    }
}

impl Journal {
    /// Reads the folded state; keep the closure short, it holds a lock.
    pub fn read<R>(&self, look: impl FnOnce(&State) -> R) -> R {
        look(&self.shared.state())
    }

    /// The newest offset applied; changes after each batch of records.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.shared.changes.subscribe()
    }

    /// Waits until the state is known to be as new as the log was at the start, or a peer's state was taken over.
    pub async fn ready(&self) {
        let mut ready = self.shared.ready.subscribe();
        // The sender lives as long as this handle.
        let _ready = ready.wait_for(|ready| *ready).await;
    }

    /// Whether the log could be read lately.
    pub fn log_up(&self) -> bool {
        self.health() == Health::Up
    }

    /// The newest time at which the state is known to have been as new as the log; `None` before the first.
    ///
    /// It is the start of a read that found nothing newer, so it is at least as old as that read took:
    /// a process that was paused, or whose connection to the log is silent, sees it grow old.
    pub fn fresh(&self) -> Option<Instant> {
        self.shared.fresh()
    }

    /// What is known of the log.
    pub fn health(&self) -> Health {
        *self.shared.health.borrow()
    }

    /// Appends a record, repeats it until it is read back, and says what became of its first copy in the log.
    ///
    /// One that was on its way for too long is void for good, so it is written anew while the time lasts.
    pub async fn append(&self, body: Body, limit: Duration) -> Result<Applied, AppendError> {
        let until = Instant::now() + limit;
        loop {
            let applied = timeout_at(until, self.append_once(body.clone(), limit)).await;
            let applied = applied.map_err(|_| AppendError::Unknown { limit })??;
            if !is_stale(&applied) {
                return Ok(applied);
            }
            log::info!("journal: offset {} came too late and is written anew", applied.offset);
        }
    }

    async fn append_once(&self, body: Body, limit: Duration) -> Result<Applied, AppendError> {
        let seen = self.shared.offset();
        if self.shared.state().frozen().is_some() {
            return Err(AppendError::Frozen);
        }
        let id = self.names.next();
        let tick = self.shared.recorder.clock().tick();
        let record = Record::new(id.clone(), self.shared.instance.clone(), tick.0, seen, body);
        let data = Bytes::from(serde_json::to_vec(&record).expect("records have only text keys"));
        let verdict = self.shared.wait_for(&id);
        let _waiting = Waiting { shared: &self.shared, id: &id };
        let pending = Pending::new(id.clone(), data);
        self.appends.send(pending).map_err(|_| AppendError::Closed)?;
        // Nobody tells the verdict if a state was taken over that has forgotten it.
        verdict.await.map_err(|_| AppendError::Unknown { limit })
    }

    /// Whether the newest snapshot in the log is old or has come half-way to its expiry.
    ///
    /// The planner asks this now and then, so that one process writes snapshots.
    pub fn snapshot_due(&self) -> bool {
        self.log_up() && self.shared.snapshot_due()
    }

    /// Appends a snapshot of the folded state and waits until it is read back.
    pub async fn append_snapshot(&self, limit: Duration) -> Result<Offset, AppendError> {
        let (upto, parts) = self.read(|state| (state.offset(), to_records(state)));
        let appends = parts.into_iter().map(|part| {
            let journal = self.clone();
            tokio::spawn(async move { journal.append(part, limit).await })
        });
        let appends: Vec<_> = appends.collect();
        let count = appends.len();
        for append in appends {
            append.await.map_err(|_| AppendError::Closed)??;
        }
        log::info!("journal: wrote a snapshot up to offset {upto} in {count} parts");
        Ok(upto)
    }

    /// Answers heartbeats, fetches, offers and fetches of the state.
    pub async fn answer(&self, control: Control) -> Reply {
        Peers::new(self.shared.clone()).answer(control)
    }
}
