//! Appending: many records to one append, each repeated until it is read back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::{LogError, LogService, Stream};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::backoff::jitter;

/// How long an append gathers others that come at the same time.
const GATHER_MIN: Duration = Duration::from_millis(2);
/// How long it gathers at most while the service refuses.
const GATHER_MAX: Duration = Duration::from_secs(10);
/// How fast it gathers less again, with each append that is accepted.
const EASE: f64 = 0.8;
/// How long the service may take for one append.
const SERVICE_LIMIT: Duration = Duration::from_secs(5);
/// The most records of one append.
const BATCH_RECORDS: usize = 500;
/// The most bytes of one append, if it has more than one record.
const BATCH_BYTES: usize = 512 << 10;
/// How long it gathers at least after the service refused.
const REFUSED_MIN: Duration = Duration::from_millis(500);
/// A record's pauses double up to this many times.
const MAX_DOUBLINGS: u32 = 5;

/// Why an append has no verdict.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The record was not read back in time; it may still appear.
    #[error("the record was not read back within {limit:?}; it may still take effect")]
    Unknown {
        /// How long the append waited.
        limit: Duration,
    },
    /// This program is too old for the log and must not write to it.
    #[error("the log holds a record that needs a newer program")]
    Frozen,
    /// The journal has ended.
    #[error("the process is shutting down")]
    Closed,
}

/// A record that is to be appended.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) id: String,
    pub(crate) data: Bytes,
    due: Option<Instant>,
    tries: u32,
}

impl Pending {
    pub(crate) fn new(id: String, data: Bytes) -> Self {
        Self { id, data, due: Some(Instant::now()), tries: 0 }
    }

    /// Plans the next try, later each time.
    fn postpone(&mut self, repeat: Duration) {
        let pause = repeat * 2_u32.pow(self.tries.min(MAX_DOUBLINGS));
        self.tries += 1;
        self.due = Some(Instant::now() + pause + jitter(pause / 2));
    }
}

/// How long to gather before an append: longer when the service refuses, so that all writers together
/// stay within what it takes.
#[derive(Debug)]
struct Pace(Duration);

impl Pace {
    fn accepted(&mut self) {
        self.0 = self.0.mul_f64(EASE).max(GATHER_MIN);
    }

    fn restarted(&mut self) {
        self.0 = self.0.min(REFUSED_MIN);
    }

    fn refused(&mut self) {
        self.0 = (self.0 * 2).clamp(REFUSED_MIN, GATHER_MAX);
    }
}

/// Appends to one stream what comes through a channel, until the channel is closed.
pub(crate) struct Appender<W, O> {
    pub(crate) service: Arc<dyn LogService>,
    pub(crate) stream: Stream,
    pub(crate) repeat: Duration,
    /// Whether a record with this id is still to be repeated.
    pub(crate) is_wanted: W,
    /// Whether the stream is the one that is followed; nothing is written into another.
    pub(crate) is_open: O,
    /// Told when the log is read again after an outage: what waits for a later try goes now.
    pub(crate) revived: Arc<Notify>,
}

impl<W: Fn(&str) -> bool, O: Fn() -> bool> Appender<W, O> {
    /// One append is under way at a time; what comes meanwhile goes into the next.
    pub(crate) async fn run(self, mut incoming: UnboundedReceiver<Pending>) {
        let mut pending: Vec<Pending> = Vec::new();
        let mut pace = Pace(GATHER_MIN);
        loop {
            let due = pending.iter().filter_map(|record| record.due).min();
            tokio::select! {
                next = incoming.recv() => match next {
                    Some(record) => pending.push(record),
                    None => return,
                },
                () = wait_until(due) => {}
                () = self.revived.notified() => restart(&mut pending, &mut pace),
            }
            tokio::select! {
                () = sleep(jitter(pace.0)) => {}
                () = self.revived.notified() => restart(&mut pending, &mut pace),
            }
            while let Ok(record) = incoming.try_recv() {
                pending.push(record);
            }
            pending.retain(|record| (self.is_wanted)(&record.id));
            let mut batch = due_now(&mut pending);
            if !batch.is_empty() {
                self.append(&mut batch, &mut pace).await;
            }
            pending.extend(batch.into_iter().filter(|record| record.due.is_some()));
        }
    }

    async fn append(&self, batch: &mut [Pending], pace: &mut Pace) {
        if !(self.is_open)() {
            batch.iter_mut().for_each(|record| record.postpone(self.repeat));
            return;
        }
        let records = batch.iter().map(|record| record.data.clone()).collect();
        let append = timeout(SERVICE_LIMIT, self.service.append(self.stream, records)).await;
        let cause = match append {
            Ok(Ok(_)) => {
                pace.accepted();
                // They are in the log: nothing is left but to read them.
                batch.iter_mut().for_each(|record| record.due = None);
                return;
            }
            Ok(Err(LogError::Refused(cause))) => {
                log::debug!("journal: an append was refused: {cause}");
                metrics::counter!("hyssop_appends_refused_total").increment(1);
                pace.refused();
                return;
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer in {SERVICE_LIMIT:?}"),
        };
        log::debug!("journal: an append may have failed: {cause}");
        batch.iter_mut().for_each(|record| record.postpone(self.repeat));
    }
}

fn restart(pending: &mut [Pending], pace: &mut Pace) {
    pace.restarted();
    for record in pending {
        record.due = Some(Instant::now() + jitter(REFUSED_MIN));
        record.tries = 0;
    }
}

async fn wait_until(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}

/// Takes out the records that are due, as many as one append may have.
fn due_now(pending: &mut Vec<Pending>) -> Vec<Pending> {
    let now = Instant::now();
    let mut bytes = 0;
    let mut count = 0;
    let fits = |record: &mut Pending| {
        if record.due.is_none_or(|due| due > now) || count == BATCH_RECORDS {
            return false;
        }
        bytes += record.data.len();
        count += 1;
        count == 1 || bytes <= BATCH_BYTES
    };
    pending.extract_if(.., fits).collect()
}
