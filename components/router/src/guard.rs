//! Keeps requests that crash endpoints from being sent.
//!
//! Load pattern: callers send the same request again and again, several at a time and through all routers, and each endpoint
//! that starts to run it is gone for seconds, with all requests that it had. Until it is known which request is to blame,
//! requests that an endpoint had when it crashed are sent one at a time, and not at all while a possible crash is being
//! examined. Requests that two crashed endpoints had are isolated from each other, so that the next crash tells them apart.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use control::{KeyedRecord, Suspect};
use events::{Event, emit};
use quarantine::{
    Crash, CrashTable, Digest, Evidence, QuarantineRecord, Release, SuspicionLevel, UnixMillis,
};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::pool::ConnectionPool;

/// A request that was at this many crashes is kept from sharing an endpoint with others that were at as many.
const MIN_CRASHES_TO_ISOLATE: usize = 2;
/// The most crash records that are kept for routers that can't read them in the store.
const MAX_RECENT_RECORDS: usize = 64;
/// How long after a crash, or a possible one, records of other routers are read without delay.
const CRASH_ALERT_PERIOD: Duration = Duration::from_secs(60);

/// The current time of day, as it is stored in crash records.
#[allow(
    clippy::disallowed_methods,
    reason = "records outlive their writers, and what depends on their time bears jumps of seconds"
)]
pub(crate) fn wall_clock() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

#[derive(Debug, Default)]
struct GuardState {
    table: CrashTable,
    /// Requests that a crashed endpoint had and that are in flight now: one of each digest at a time.
    turns: HashSet<Digest>,
    /// Connection pools of the incarnations that may have crashed and are being examined.
    examined_pools: Vec<Arc<ConnectionPool>>,
    recent: VecDeque<KeyedRecord>,
    /// When this router last learned of a crash or a possible one.
    last_crash: Option<Instant>,
}

impl GuardState {
    /// Whether the request was at an endpoint that is being examined for a crash.
    fn pending(&self, digest: &Digest) -> bool {
        let now = Instant::now();
        self.examined_pools.iter().any(|pool| pool.sent_requests().is_candidate(digest, now))
    }
}

/// Decides when a request may be sent, by what is known about crashed endpoints.
#[derive(Debug)]
pub(crate) struct CrashGuard {
    state: Mutex<GuardState>,
    /// Notified whenever a request that waits here may be able to go on.
    changed: Notify,
    /// Notified when an endpoint may have crashed: other routers may know more.
    pub(crate) possible_crash: Notify,
    /// New crash records of this router, to be written to the store.
    write: mpsc::UnboundedSender<KeyedRecord>,
    router: String,
}

/// Why a request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The request crashes endpoints.
    Suspect,
    /// The request is a suspect, and its trial with this number is due.
    TrialDue(u32),
    /// A request with the same digest was in flight, or a possible crash was examined, for as long as this one could wait.
    Busy,
}

/// The right to be the only request in flight with its digest; given back when dropped.
#[derive(Debug)]
struct Turn {
    guard: Arc<CrashGuard>,
    digest: Digest,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.guard.lock().turns.remove(&self.digest);
        self.guard.changed.notify_waiters();
    }
}

/// Permission to send a request.
#[derive(Debug)]
pub(crate) struct SendPermit {
    /// Set if an endpoint crashed while it had this request.
    turn: Option<Turn>,
    /// Whether the request is kept from sharing an endpoint with other isolated requests.
    pub(crate) isolated: bool,
    /// Whether the request is sent as the trial of a suspect.
    trial: bool,
}

/// Whether a request may be sent now.
enum Decision {
    Allow,
    AllowInTurn { isolated: bool },
    Wait,
    Rejected(Rejection),
}

impl CrashGuard {
    /// Creates a guard without any crash records. The receiver gets the records that are to be written to the store.
    pub(crate) fn new(router: String) -> (Self, mpsc::UnboundedReceiver<KeyedRecord>) {
        let (write, written) = mpsc::unbounded_channel();
        let (state, changed, possible_crash) = Default::default();
        (Self { state, changed, possible_crash, write, router }, written)
    }

    fn lock(&self) -> MutexGuard<'_, GuardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a request may be sent, at most until `until`. `held` is the permit that the request has already.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        digest: &Digest,
        held: Option<SendPermit>,
        until: Instant,
    ) -> Result<SendPermit, Rejection> {
        let mut turn = match held {
            Some(permit) if permit.trial => return Ok(permit),
            held => held.and_then(|permit| permit.turn),
        };
        loop {
            let changed = self.changed.notified();
            match self.decide(digest, turn.is_some()) {
                Decision::Allow => return Ok(SendPermit { turn, isolated: false, trial: false }),
                Decision::AllowInTurn { isolated } => {
                    turn.get_or_insert_with(|| self.turn(digest));
                    return Ok(SendPermit { turn, isolated, trial: false });
                }
                Decision::Rejected(rejection) => return Err(rejection),
                Decision::Wait => {}
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return Err(Rejection::Busy);
            }
        }
    }

    /// The turn of a request whose digest has been added to `turns`.
    fn turn(self: &Arc<Self>, digest: &Digest) -> Turn {
        Turn { guard: self.clone(), digest: *digest }
    }

    fn decide(&self, digest: &Digest, has_turn: bool) -> Decision {
        let mut state = self.lock();
        if state.pending(digest) {
            return Decision::Wait;
        }
        match state.table.suspicion(digest) {
            SuspicionLevel::Clear => Decision::Allow,
            SuspicionLevel::Suspect => {
                Decision::Rejected(match state.table.due_trial(digest, wall_clock()) {
                    Some(number) => Rejection::TrialDue(number),
                    None => Rejection::Suspect,
                })
            }
            SuspicionLevel::Watched(_) if !has_turn && !state.turns.insert(*digest) => {
                Decision::Wait
            }
            SuspicionLevel::Watched(crashes) => {
                Decision::AllowInTurn { isolated: crashes >= MIN_CRASHES_TO_ISOLATE }
            }
        }
    }

    /// Whether a request with a permit may still be sent, by what has become known since.
    pub(crate) fn allows(&self, digest: &Digest, permit: &SendPermit) -> bool {
        if permit.trial {
            return true;
        }
        let state = self.lock();
        match state.table.suspicion(digest) {
            SuspicionLevel::Suspect => false,
            SuspicionLevel::Watched(crashes)
                if permit.turn.is_none()
                    || (crashes >= MIN_CRASHES_TO_ISOLATE) != permit.isolated =>
            {
                false
            }
            SuspicionLevel::Watched(_) | SuspicionLevel::Clear => !state.pending(digest),
        }
    }

    /// Permission to send a suspect once as a trial, which the caller has agreed on with all routers. `None` if a request with
    /// its digest is in flight.
    pub(crate) fn trial_permit(self: &Arc<Self>, digest: &Digest) -> Option<SendPermit> {
        let first = self.lock().turns.insert(*digest);
        first.then(|| SendPermit { turn: Some(self.turn(digest)), isolated: true, trial: true })
    }

    /// An incarnation of an endpoint may have crashed: requests that it had are not sent until that is known.
    pub(crate) fn begin_examination(&self, pool: &Arc<ConnectionPool>) {
        let mut state = self.lock();
        state.examined_pools.push(pool.clone());
        state.last_crash = Some(Instant::now());
        drop(state);
        self.possible_crash.notify_waiters();
    }

    /// Ends the examination of an incarnation; `crash` is the crash, if it is one.
    pub(crate) fn finish_examination(&self, pool: &Arc<ConnectionPool>, crash: Option<Crash>) {
        if let Some(crash) = crash {
            self.record(QuarantineRecord::Crash(crash));
        }
        self.lock().examined_pools.retain(|other| !Arc::ptr_eq(other, pool));
        self.changed.notify_waiters();
    }

    /// A request ran to its end: earlier crashes of endpoints that had it no longer count against it.
    pub(crate) fn record_completion(&self, digest: &Digest) {
        let suspicion = self.lock().table.suspicion(digest);
        // A single crash counts too little for its release to be stored: it is applied at this router only.
        let significant = match suspicion {
            SuspicionLevel::Clear => return,
            SuspicionLevel::Watched(crashes) => crashes >= MIN_CRASHES_TO_ISOLATE,
            SuspicionLevel::Suspect => true,
        };
        let record = QuarantineRecord::Release(Release { digest: *digest, at: wall_clock() });
        if significant {
            return self.record(record);
        }
        self.apply(&[KeyedRecord { key: record.key(&self.router), record }]);
    }

    /// Whether an endpoint has crashed while it had the request.
    pub(crate) fn is_watched(&self, digest: &Digest) -> bool {
        self.lock().table.suspicion(digest) != SuspicionLevel::Clear
    }

    /// Releases a suspect on an operator's request. Returns false if the request is no suspect.
    pub(crate) fn release(&self, digest: &Digest) -> bool {
        let suspect = self.lock().table.suspicion(digest) == SuspicionLevel::Suspect;
        if suspect {
            self.record(QuarantineRecord::Release(Release { digest: *digest, at: wall_clock() }));
        }
        suspect
    }

    /// Applies a record of this router and has it written to the store.
    pub(crate) fn record(&self, record: QuarantineRecord) {
        let keyed = KeyedRecord { key: record.key(&self.router), record };
        self.apply(std::slice::from_ref(&keyed));
        let _ = self.write.send(keyed);
    }

    /// Has a record from another router written to the store.
    pub(crate) fn queue_write(&self, keyed: KeyedRecord) {
        let _ = self.write.send(keyed);
    }

    /// Applies crash records, and returns those that are new and not expired.
    pub(crate) fn apply(&self, all: &[KeyedRecord]) -> Vec<KeyedRecord> {
        let now = wall_clock();
        let mut state = self.lock();
        let before: HashSet<Digest> = state.table.suspects().map(|(digest, _)| *digest).collect();
        let known: HashSet<&String> = state.recent.iter().map(|keyed| &keyed.key).collect();
        let fresh: Vec<KeyedRecord> = all
            .iter()
            .filter(|keyed| {
                !known.contains(&keyed.key) && !CrashTable::is_expired(&keyed.record, now)
            })
            .cloned()
            .collect();
        if state.table.apply(all.iter().map(|keyed| &keyed.record), now) == 0 {
            return Vec::new();
        }
        if fresh.iter().any(|keyed| matches!(keyed.record, QuarantineRecord::Crash(_))) {
            state.last_crash = Some(Instant::now());
        }
        state.recent.extend(fresh.iter().cloned());
        let excess = state.recent.len().saturating_sub(MAX_RECENT_RECORDS);
        state.recent.drain(..excess);
        for (digest, crashes) in
            state.table.suspects().filter(|(digest, _)| !before.contains(digest))
        {
            emit_blamed(digest, true, &format_evidence(crashes, now));
        }
        for digest in before.iter().filter(|digest| state.table.evidence(digest).is_empty()) {
            emit_blamed(digest, false, "");
        }
        let common = state.table.most_common();
        drop(state);
        events::record_common_crashes(common.crashes, common.request, common.part);
        self.changed.notify_waiters();
        fresh
    }

    /// The crash records that this router has learned of recently.
    pub(crate) fn recent(&self) -> Vec<KeyedRecord> {
        self.lock().recent.iter().cloned().collect()
    }

    /// Whether an endpoint has crashed recently, so that records of other routers may soon decide on requests.
    pub(crate) fn recent_crash(&self) -> bool {
        self.lock().last_crash.is_some_and(|at| at.elapsed() < CRASH_ALERT_PERIOD)
    }

    /// The crashes that count against a request, as text for an event.
    pub(crate) fn evidence_text(&self, digest: &Digest) -> String {
        format_evidence(self.lock().table.evidence(digest), wall_clock())
    }

    /// All suspected requests.
    pub(crate) fn suspects(&self) -> Vec<Suspect> {
        let state = self.lock();
        let suspect = |(digest, crashes): (&Digest, &[Evidence])| Suspect {
            digest: *digest,
            crashes: crashes.to_vec(),
        };
        state.table.suspects().map(suspect).collect()
    }
}

fn emit_blamed(digest: &Digest, suspect: bool, ends: &str) {
    emit(&Event::SuspectChanged { digest: &digest.to_string(), suspect, ends });
}

/// The endpoint, incarnation and age of each crash.
fn format_evidence(crashes: &[Evidence], now: UnixMillis) -> String {
    let format_one = |crash: &Evidence| {
        let incarnation = crash.incarnation.unwrap_or_default();
        format!("{} {incarnation} {}ms", crash.endpoint, now.since(crash.at).as_millis())
    };
    crashes.iter().map(format_one).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests;
