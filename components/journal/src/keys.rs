//! Claims of idempotency keys on their own stream, many to one append.
//!
//! The entry that claims is the only one that runs the request. When it gives a claim up, it never runs the
//! request and says so by a withdrawal, so that the caller may try again with the same key; if the entry
//! dies before the withdrawal is in the log, the key stays taken for the window, because nobody knows
//! whether the request ran. The log must keep the stream for longer than the window.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use platform::{Entry, LogError, LogService, Page, Stream};
use record::{KeyClaim, KeyRecord};
use thiserror::Error;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};
use units::{Offset, RequestId};

use crate::append::{Appender, Pending};
use crate::backoff::Backoff;
use crate::claims::Claims;

/// How long a read waits for new claims.
const POLL: Duration = Duration::from_secs(10);
/// How much longer than asked a read may take before it counts as failed.
const READ_GRACE: Duration = Duration::from_secs(3);
/// The shortest pause after a failed read.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// The longest pause after a failed read.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// The pause before an unanswered append is repeated.
const REPEAT: Duration = Duration::from_millis(250);
/// The longest that a claim may wait; keys are remembered for so much longer than the window.
const LIMIT_MAX: Duration = Duration::from_secs(60);
/// The most withdrawals that wait for the log; the keys of others stay taken for the window.
const WITHDRAWALS: usize = 10_000;

/// What a claim found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// This request may run.
    Won,
    /// Another request holds the key.
    Taken {
        /// The request that holds it.
        by: RequestId,
        /// Whether its call had the same body.
        same: bool,
    },
}

/// Why a claim was not decided.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The log can't be written or read back in time; the request must not run.
    #[error("the key could not be claimed within {limit:?}")]
    Undecided {
        /// How long the claim waited.
        limit: Duration,
    },
    /// The keys of the last window are not all read yet.
    #[error("the claimed keys are still being read")]
    NotReady,
    /// Some claims of the window are not known here: too many came, or the log dropped them too early.
    #[error("some of the claimed keys are not known here")]
    Partial,
}

/// How far the key stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
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
enum Waiting {
    Claim(oneshot::Sender<KeyOutcome>),
    Withdrawal,
}

#[derive(Debug)]
struct Core {
    claims: Claims,
    waiting: HashMap<RequestId, Waiting>,
    next: Offset,
    reach: Reach,
    read: Instant,
    window: Duration,
    revived: Arc<Notify>,
}

/// A handle on the claimed keys; cheap to clone.
#[derive(Clone)]
pub struct Keys {
    core: Arc<Mutex<Core>>,
    appends: UnboundedSender<Pending>,
}

impl Keys {
    /// Starts following the key stream; keys are remembered for `window`.
    ///
    /// The tasks end when the last handle is dropped.
    pub fn start(service: Arc<dyn LogService>, window: Duration) -> Self {
        let core = Core {
            claims: Claims::new(window + LIMIT_MAX),
            waiting: HashMap::new(),
            next: Offset(1),
            reach: Reach::Starting,
            read: Instant::now(),
            window,
            revived: Arc::default(),
        };
        let core = Arc::new(Mutex::new(core));
        let (appends, incoming) = mpsc::unbounded_channel();
        tokio::spawn(supervise(core.clone(), service, incoming));
        Self { core, appends }
    }

    /// Claims a key for a request and waits until the log has decided; once for each request.
    ///
    /// On an error, or when the future is dropped, the request must not run; its claim is withdrawn.
    pub async fn claim(&self, claim: KeyClaim, limit: Duration) -> Result<KeyOutcome, ClaimError> {
        let limit = limit.min(LIMIT_MAX);
        let Some(decided) = self.begin(&claim)? else {
            return Ok(lock(&self.core).claims.outlook(&claim));
        };
        let mut given_up = GivenUp { keys: self, claim: Some(claim.clone()) };
        let id = claim.request.to_string();
        let data = to_bytes(&KeyRecord::Claim(claim));
        if self.appends.send(Pending::new(id, data)).is_err() {
            return Err(ClaimError::NotReady);
        }
        match timeout(limit, decided).await {
            Ok(Ok(KeyOutcome::Won)) => {
                given_up.claim = None;
                Ok(KeyOutcome::Won)
            }
            Ok(Ok(taken)) => Ok(taken),
            Ok(Err(_)) | Err(_) => Err(ClaimError::Undecided { limit }),
        }
    }

    /// Says that a request that holds a key has not run and never will, so that another may.
    pub fn withdraw(&self, claim: &KeyClaim) {
        let mut core = lock(&self.core);
        let room = core.waiting.len() < WITHDRAWALS;
        if core.claims.is_withdrawn(claim) || !room {
            core.waiting.remove(&claim.request);
            return;
        }
        core.waiting.insert(claim.request.clone(), Waiting::Withdrawal);
        drop(core);
        let record = KeyRecord::Withdraw { key: claim.key.clone(), request: claim.request.clone() };
        let pending = Pending::new(withdrawal_id(&claim.request), to_bytes(&record));
        if self.appends.send(pending).is_err() {
            log::debug!("keys: a claim can't be withdrawn: the process is shutting down");
        }
    }

    /// How many claims are remembered.
    pub fn remembered(&self) -> usize {
        lock(&self.core).claims.len()
    }

    /// Registers a claim; nothing if the key is known to be taken.
    fn begin(&self, claim: &KeyClaim) -> Result<Option<oneshot::Receiver<KeyOutcome>>, ClaimError> {
        let mut core = lock(&self.core);
        match core.reach {
            Reach::Current => {}
            Reach::Starting => return Err(ClaimError::NotReady),
            Reach::Down | Reach::Behind => {
                return Err(ClaimError::Undecided { limit: Duration::ZERO });
            }
        }
        if core.claims.is_partial() {
            return Err(ClaimError::Partial);
        }
        if core.claims.is_known(claim) || core.waiting.contains_key(&claim.request) {
            // A request claims once: whether it has run may not be known here any more.
            return Err(ClaimError::Undecided { limit: Duration::ZERO });
        }
        if core.claims.outlook(claim) != KeyOutcome::Won {
            return Ok(None);
        }
        let (sender, decided) = oneshot::channel();
        core.waiting.insert(claim.request.clone(), Waiting::Claim(sender));
        Ok(Some(decided))
    }
}

/// Withdraws a claim when its request is given up.
struct GivenUp<'a> {
    keys: &'a Keys,
    claim: Option<KeyClaim>,
}

impl Drop for GivenUp<'_> {
    fn drop(&mut self) {
        if let Some(claim) = &self.claim {
            self.keys.withdraw(claim);
        }
    }
}

fn lock(core: &Mutex<Core>) -> MutexGuard<'_, Core> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}

fn to_bytes(record: &KeyRecord) -> Bytes {
    serde_json::to_vec(record).expect("records have only text keys").into()
}

/// The id of a withdrawal among what is to be appended.
fn withdrawal_id(request: &RequestId) -> String {
    format!("{request}{WITHDRAWAL}")
}

/// No request id has a slash.
const WITHDRAWAL: &str = "/withdrawal";

async fn supervise(
    core: Arc<Mutex<Core>>,
    service: Arc<dyn LogService>,
    incoming: UnboundedReceiver<Pending>,
) {
    let appender = Appender {
        service: service.clone(),
        stream: Stream::Keys,
        repeat: REPEAT,
        is_wanted: |id: &str| lock(&core).is_wanted(id),
        is_open: || lock(&core).reach != Reach::Behind,
        revived: lock(&core).revived.clone(),
    };
    tokio::select! {
        () = appender.run(incoming) => {}
        () = read_all(&core, &*service) => {}
    }
}

async fn read_all(core: &Mutex<Core>, service: &dyn LogService) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        let (next, wait) = {
            let core = lock(core);
            (core.next, if core.reach == Reach::Current { POLL } else { Duration::ZERO })
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

impl Core {
    /// Whether a claim or withdrawal is still to be repeated.
    fn is_wanted(&self, id: &str) -> bool {
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
                if self.reach != Reach::Behind {
                    log::error!("keys: the log has lost claims; see docs/LOG-OUTAGE.md");
                }
                self.reach = Reach::Behind;
                false
            }
            Ok(page) => {
                for entry in &page.entries {
                    self.fold(entry);
                }
                if self.next > page.last {
                    if self.reach != Reach::Current {
                        self.revived.notify_one();
                    }
                    self.reach = Reach::Current;
                    self.read = Instant::now();
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
