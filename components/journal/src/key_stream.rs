//! The key stream as one process has read it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use edge::{Entry, LogError, LogService, Page, Stream};
use record::KeyRecord;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};
use units::{Offset, RequestId};

use crate::KeyOutcome;
use crate::backoff::Backoff;
use crate::claims::Claims;

/// The longest that a claim may wait; keys are remembered for so much longer than the window.
pub(crate) const LIMIT_MAX: Duration = Duration::from_secs(60);
/// How long a read waits for new claims.
const POLL: Duration = Duration::from_secs(10);
/// How much longer than asked a read may take before it counts as failed.
const READ_GRACE: Duration = Duration::from_secs(3);
/// The shortest pause after a failed read.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// The longest pause after a failed read.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// How often in a row the stream must end too early before that is more than a read from an old copy.
const BEHIND_READS: u32 = 3;
/// What the id of a withdrawal ends with; no request id has a slash.
const WITHDRAWAL: &str = "/withdrawal";

/// How far the key stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// The claims of the window are still being read.
    Starting,
    /// All claims are read as they come.
    Current,
    /// The log can't be read.
    Down,
    /// The stream ends before what was read: claims may be lost, so none is decided.
    Behind,
}

/// A claim or a withdrawal that waits for the log.
#[derive(Debug)]
pub(crate) enum Waiting {
    Claim(oneshot::Sender<KeyOutcome>),
    Withdrawal,
}

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) claims: Claims,
    pub(crate) waiting: HashMap<RequestId, Waiting>,
    pub(crate) reach: Reach,
    /// Told when the stream is read again after an outage.
    pub(crate) revived: Arc<Notify>,
    next: Offset,
    read: Instant,
    behind: u32,
    window: Duration,
}

impl Core {
    /// Nothing read yet; keys are remembered for `window`, and for as much longer as a claim may wait.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            claims: Claims::new(window + LIMIT_MAX),
            waiting: HashMap::new(),
            reach: Reach::Starting,
            revived: Arc::default(),
            next: Offset(1),
            read: Instant::now(),
            behind: 0,
            window,
        }
    }

    /// Whether a claim or withdrawal is still to be repeated.
    pub(crate) fn is_wanted(&self, id: &str) -> bool {
        let (request, withdrawal) = match id.strip_suffix(WITHDRAWAL) {
            Some(request) => (request, true),
            None => (id, false),
        };
        match self.waiting.get(request) {
            Some(Waiting::Claim(_)) => !withdrawal,
            Some(Waiting::Withdrawal) => withdrawal,
            None => false,
        }
    }

    /// Takes what a read brought; says whether all is well.
    fn take(&mut self, page: Result<Page, LogError>) -> bool {
        match page {
            Ok(page) if page.last.next() < self.next => {
                self.behind += 1;
                if self.behind == BEHIND_READS {
                    log::error!("keys: the log has lost claims; see docs/LOG-OUTAGE.md");
                    self.reach = Reach::Behind;
                }
                false
            }
            Ok(page) => {
                self.behind = 0;
                page.entries.iter().for_each(|entry| self.fold(entry));
                if self.next > page.last {
                    self.be_current();
                }
                true
            }
            Err(LogError::Expired { first }) => {
                // What has expired is older than the window, unless the log drops records too early.
                let missed = self.reach != Reach::Starting && self.read.elapsed() < self.window;
                if missed {
                    self.claims.skip();
                }
                self.next = first;
                true
            }
            Err(error) => {
                if self.reach == Reach::Current {
                    log::warn!("keys: {error}");
                    self.reach = Reach::Down;
                }
                false
            }
        }
    }

    fn be_current(&mut self) {
        if self.reach != Reach::Current {
            self.revived.notify_one();
        }
        self.reach = Reach::Current;
        self.read = Instant::now();
    }

    fn fold(&mut self, entry: &Entry) {
        if entry.offset < self.next {
            return;
        }
        if entry.offset > self.next {
            self.claims.skip();
        }
        self.next = entry.offset.next();
        match serde_json::from_slice(&entry.data) {
            Ok(KeyRecord::Claim(claim)) => {
                let Some(outcome) = self.claims.claim(&claim) else { return };
                self.decide(&claim.request, outcome);
            }
            Ok(KeyRecord::Withdraw { key, request }) => {
                self.claims.withdraw(&key, &request);
                self.waiting.remove(&request);
            }
            Err(error) => log::warn!("keys: a record can't be read: {error}"),
        }
    }

    fn decide(&mut self, request: &RequestId, outcome: KeyOutcome) {
        match self.waiting.remove(request) {
            Some(Waiting::Claim(decided)) => {
                // A claim that was dropped meanwhile is withdrawn by its guard.
                let _unread = decided.send(outcome);
            }
            Some(Waiting::Withdrawal) => {
                self.waiting.insert(request.clone(), Waiting::Withdrawal);
            }
            None => {}
        }
    }
}

pub(crate) fn lock(core: &Mutex<Core>) -> MutexGuard<'_, Core> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The id of a withdrawal among what is to be appended.
pub(crate) fn withdrawal_id(request: &RequestId) -> String {
    format!("{request}{WITHDRAWAL}")
}

/// Reads the stream; never ends.
pub(crate) async fn read_all(core: &Mutex<Core>, service: &dyn LogService) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        let (next, wait) = {
            let core = lock(core);
            let is_calm = core.reach == Reach::Current && core.behind == 0;
            (core.next, if is_calm { POLL } else { Duration::ZERO })
        };
        let page = timeout(wait + READ_GRACE, service.read(Stream::Keys, next, wait)).await;
        let page = page.unwrap_or_else(|_| Err(LogError::Unreadable("no answer".to_owned())));
        let is_good = lock(core).take(page);
        if is_good {
            backoff.reset();
        } else {
            sleep(backoff.pause()).await;
        }
    }
}
