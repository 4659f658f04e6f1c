//! Claims of idempotency keys on their own stream, many to one append.
//!
//! The entry that claims is the only one that runs the request. When it gives a claim up, it never runs the
//! request and says so by a withdrawal, so that the caller may try again with the same key; if the entry
//! dies before the withdrawal is in the log, the key stays taken for the window, because nobody knows
//! whether the request ran. The log must keep the stream for longer than the window.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use edge::{LogService, Stream};
use record::{KeyClaim, KeyRecord};
use thiserror::Error;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::timeout;
use units::RequestId;

use crate::append::{Appender, Pending};
use crate::key_stream::{Core, LIMIT_MAX, Reach, Waiting, lock, read_all, withdrawal_id};

/// The pause before an unanswered append is repeated.
const REPEAT: Duration = Duration::from_millis(250);
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
        let core = Arc::new(Mutex::new(Core::new(window)));
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

fn to_bytes(record: &KeyRecord) -> Bytes {
    serde_json::to_vec(record).expect("records have only text keys").into()
}

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
