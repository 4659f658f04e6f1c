//! Appending: many records to one append, each repeated until it is read back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use platform::{LogError, LogService, Stream};
use thiserror::Error;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::backoff::{Backoff, jitter};
use crate::folded::Shared;

/// How long an append gathers others that come at the same time.
const GATHER: Duration = Duration::from_millis(2);
/// How long the service may take for one append.
const SERVICE_LIMIT: Duration = Duration::from_secs(5);
/// The most records of one append.
const BATCH_RECORDS: usize = 500;
/// The most bytes of one append, if it has more than one record.
const BATCH_BYTES: usize = 512 << 10;
/// The shortest pause after the service refused.
const REFUSED_MIN: Duration = Duration::from_millis(200);
/// The longest pause after the service refused.
const REFUSED_MAX: Duration = Duration::from_secs(10);
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

/// Appends what comes until the channel is closed; one append is under way at a time.
pub(crate) async fn append_all(
    shared: Arc<Shared>,
    service: Arc<dyn LogService>,
    mut incoming: UnboundedReceiver<Pending>,
) {
    let mut pending: Vec<Pending> = Vec::new();
    let mut refused = Backoff::new(REFUSED_MIN, REFUSED_MAX);
    loop {
        let due = pending.iter().filter_map(|record| record.due).min();
        tokio::select! {
            next = incoming.recv() => match next {
                Some(record) => pending.push(record),
                None => return,
            },
            () = wait_until(due) => {}
        }
        sleep(GATHER).await;
        while let Ok(record) = incoming.try_recv() {
            pending.push(record);
        }
        pending.retain(|record| shared.is_waited_for(&record.id));
        let mut batch = due_now(&mut pending);
        if batch.is_empty() {
            continue;
        }
        let records = batch.iter().map(|record| record.data.clone()).collect();
        let append = service.append(Stream::Control, records);
        match timeout(SERVICE_LIMIT, append).await {
            Ok(Ok(_)) => {
                refused.reset();
                // It is in the log: nothing is left but to read it.
                batch.iter_mut().for_each(|record| record.due = None);
            }
            Ok(Err(LogError::Refused(cause))) => {
                log::debug!("journal: an append was refused: {cause}");
                metrics::counter!("hyssop_appends_refused_total").increment(1);
                sleep(refused.pause()).await;
            }
            Ok(Err(error)) => {
                log::debug!("journal: {error}");
                batch.iter_mut().for_each(|record| record.postpone(shared.options.repeat));
            }
            Err(_) => {
                log::debug!("journal: an append got no answer in {SERVICE_LIMIT:?}");
                batch.iter_mut().for_each(|record| record.postpone(shared.options.repeat));
            }
        }
        pending.extend(batch.into_iter().filter(|record| record.due.is_some()));
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
