//! Keeps requests that crash endpoints from them.
//!
//! Load pattern: callers send one request again and again, several at a time and through all routers, and each endpoint
//! that begins to run it is gone for seconds, with all that it had. Until it is known who is to blame, those that
//! were at an end are sent one at a time, and none while an end is being looked into; those that were at two are kept
//! from each other, so that the next end tells them apart.

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

/// From so many ends on a request is kept from others that were at as many.
const APART: usize = 2;
/// Records that are told to routers which can't read them in the store.
const RECENT: usize = 64;
/// How long after an end of an endpoint news of others are read without delay.
const ALERT: Duration = Duration::from_secs(60);

/// The time of day, as records bear it.
#[allow(
    clippy::disallowed_methods,
    reason = "records outlive their writers, and what depends on their time bears jumps of seconds"
)]
pub(crate) fn wall_clock() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

#[derive(Debug, Default)]
struct State {
    table: CrashTable,
    /// Requests that were at an end of an endpoint and are on their way now.
    turns: HashSet<Digest>,
    /// Lives of endpoints that may have ended.
    examined: Vec<Arc<ConnectionPool>>,
    recent: VecDeque<KeyedRecord>,
    /// When an endpoint ended last, as far as this router has heard.
    heard: Option<Instant>,
}

impl State {
    /// Whether it was at an endpoint of which it is not known yet whether it has ended.
    fn pending(&self, digest: &Digest) -> bool {
        let now = Instant::now();
        self.examined.iter().any(|pool| pool.sent_requests().is_candidate(digest, now))
    }
}

/// What keeps them.
#[derive(Debug)]
pub(crate) struct CrashGuard {
    state: Mutex<State>,
    /// Told whenever a request that waits here may go on.
    changed: Notify,
    /// Told when an endpoint may have ended: others may know more.
    pub(crate) possible_crash: Notify,
    /// Records of this router, to be written.
    write: mpsc::UnboundedSender<KeyedRecord>,
    router: String,
}

/// Why a request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// It crashes endpoints.
    Suspect,
    /// It is a suspect whose trial is due.
    TrialDue(u32),
    /// Another one like it was on its way for as long as this one could wait.
    Busy,
}

/// The turn of a request among those like it; given back when it is dropped.
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

/// Leave to send a request.
#[derive(Debug)]
pub(crate) struct SendPermit {
    /// Set if it was at an end of an endpoint.
    turn: Option<Turn>,
    /// Whether it is kept from others that were at ends of endpoints.
    pub(crate) isolated: bool,
    /// Whether a suspect is tried with it.
    trial: bool,
}

/// What is to be done with a request now.
enum Decision {
    Free,
    Turn { isolated: bool },
    Wait,
    Rejected(Rejection),
}

impl CrashGuard {
    /// A guard that knows nothing; what it has to write comes out of the other end.
    pub(crate) fn new(router: String) -> (Self, mpsc::UnboundedReceiver<KeyedRecord>) {
        let (write, written) = mpsc::unbounded_channel();
        let (state, changed, possible_crash) = Default::default();
        (Self { state, changed, possible_crash, write, router }, written)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leave to send a request, once it may be; it waits for that until `until` at most.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        digest: &Digest,
        held: Option<SendPermit>,
        until: Instant,
    ) -> Result<SendPermit, Rejection> {
        let mut turn = match held {
            Some(pass) if pass.trial => return Ok(pass),
            held => held.and_then(|pass| pass.turn),
        };
        loop {
            let changed = self.changed.notified();
            match self.decide(digest, turn.is_some()) {
                Decision::Free => return Ok(SendPermit { turn, isolated: false, trial: false }),
                Decision::Turn { isolated } => {
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

    /// A turn that has been noted.
    fn turn(self: &Arc<Self>, digest: &Digest) -> Turn {
        Turn { guard: self.clone(), digest: *digest }
    }

    fn decide(&self, digest: &Digest, mine: bool) -> Decision {
        let mut state = self.lock();
        if state.pending(digest) {
            return Decision::Wait;
        }
        match state.table.suspicion(digest) {
            SuspicionLevel::Clear => Decision::Free,
            SuspicionLevel::Suspect => {
                Decision::Rejected(match state.table.due_trial(digest, wall_clock()) {
                    Some(number) => Rejection::TrialDue(number),
                    None => Rejection::Suspect,
                })
            }
            SuspicionLevel::Watched(_) if !mine && !state.turns.insert(*digest) => Decision::Wait,
            SuspicionLevel::Watched(ends) => Decision::Turn { isolated: ends >= APART },
        }
    }

    /// Whether a request that has leave may still be sent, after what has become known since.
    pub(crate) fn allows(&self, digest: &Digest, pass: &SendPermit) -> bool {
        if pass.trial {
            return true;
        }
        let state = self.lock();
        match state.table.suspicion(digest) {
            SuspicionLevel::Suspect => false,
            SuspicionLevel::Watched(ends)
                if pass.turn.is_none() || (ends >= APART) != pass.isolated =>
            {
                false
            }
            SuspicionLevel::Watched(_) | SuspicionLevel::Clear => !state.pending(digest),
        }
    }

    /// Leave to try a suspect; whoever asks has agreed on it with all routers.
    pub(crate) fn trial_permit(self: &Arc<Self>, digest: &Digest) -> Option<SendPermit> {
        let first = self.lock().turns.insert(*digest);
        first.then(|| SendPermit { turn: Some(self.turn(digest)), isolated: true, trial: true })
    }

    /// A life of an endpoint may have ended: what it had is not sent until that is known.
    pub(crate) fn begin_examination(&self, pool: &Arc<ConnectionPool>) {
        let mut state = self.lock();
        state.examined.push(pool.clone());
        state.heard = Some(Instant::now());
        drop(state);
        self.possible_crash.notify_waiters();
    }

    /// Whether it has is known; `death` if so.
    pub(crate) fn finish_examination(&self, pool: &Arc<ConnectionPool>, death: Option<Crash>) {
        if let Some(death) = death {
            self.record(QuarantineRecord::Crash(death));
        }
        self.lock().examined.retain(|other| !Arc::ptr_eq(other, pool));
        self.changed.notify_waiters();
    }

    /// A request ran to its end: what it was at before does not speak against it.
    pub(crate) fn record_completion(&self, digest: &Digest) {
        let standing = self.lock().table.suspicion(digest);
        // What is of no weight yet is worth no record.
        let weighs = match standing {
            SuspicionLevel::Clear => return,
            SuspicionLevel::Watched(ends) => ends >= APART,
            SuspicionLevel::Suspect => true,
        };
        let note = QuarantineRecord::Release(Release { digest: *digest, at: wall_clock() });
        if weighs {
            return self.record(note);
        }
        self.apply(&[KeyedRecord { key: note.key(&self.router), record: note }]);
    }

    /// Lets a request go; false if it is no suspect.
    pub(crate) fn release(&self, digest: &Digest) -> bool {
        let suspect = self.lock().table.suspicion(digest) == SuspicionLevel::Suspect;
        if suspect {
            self.record(QuarantineRecord::Release(Release { digest: *digest, at: wall_clock() }));
        }
        suspect
    }

    /// Takes a record of this router's own and has it written.
    pub(crate) fn record(&self, note: QuarantineRecord) {
        let kept = KeyedRecord { key: note.key(&self.router), record: note };
        self.apply(std::slice::from_ref(&kept));
        let _ = self.write.send(kept);
    }

    /// Has a record written that another router told of.
    pub(crate) fn queue_write(&self, kept: KeyedRecord) {
        let _ = self.write.send(kept);
    }

    /// Takes records, and returns those that say something new.
    pub(crate) fn apply(&self, all: &[KeyedRecord]) -> Vec<KeyedRecord> {
        let now = wall_clock();
        let mut state = self.lock();
        let before: HashSet<Digest> = state.table.suspects().map(|(digest, _)| *digest).collect();
        let known: HashSet<&String> = state.recent.iter().map(|kept| &kept.key).collect();
        let fresh: Vec<KeyedRecord> = all
            .iter()
            .filter(|kept| !known.contains(&kept.key) && !CrashTable::is_expired(&kept.record, now))
            .cloned()
            .collect();
        if state.table.apply(all.iter().map(|kept| &kept.record), now) == 0 {
            return Vec::new();
        }
        if fresh.iter().any(|kept| matches!(kept.record, QuarantineRecord::Crash(_))) {
            state.heard = Some(Instant::now());
        }
        state.recent.extend(fresh.iter().cloned());
        let over = state.recent.len().saturating_sub(RECENT);
        state.recent.drain(..over);
        for (digest, ends) in state.table.suspects().filter(|(digest, _)| !before.contains(digest))
        {
            emit_blamed(digest, true, &list(ends, now));
        }
        for digest in before.iter().filter(|digest| state.table.evidence(digest).is_empty()) {
            emit_blamed(digest, false, "");
        }
        drop(state);
        self.changed.notify_waiters();
        fresh
    }

    /// What this router knows of late.
    pub(crate) fn recent(&self) -> Vec<KeyedRecord> {
        self.lock().recent.iter().cloned().collect()
    }

    /// Whether an endpoint has ended of late, so that news of others may decide soon.
    pub(crate) fn recent_crash(&self) -> bool {
        self.lock().heard.is_some_and(|heard| heard.elapsed() < ALERT)
    }

    /// What speaks against a request, for a line.
    pub(crate) fn evidence_text(&self, digest: &Digest) -> String {
        list(self.lock().table.evidence(digest), wall_clock())
    }

    /// All suspects.
    pub(crate) fn suspects(&self) -> Vec<Suspect> {
        let state = self.lock();
        let suspect = |(digest, ends): (&Digest, &[Evidence])| Suspect {
            digest: *digest,
            crashes: ends.to_vec(),
        };
        state.table.suspects().map(suspect).collect()
    }
}

fn emit_blamed(digest: &Digest, suspect: bool, ends: &str) {
    emit(&Event::Blamed { digest: &digest.to_string(), suspect, ends });
}

/// Endpoint, life and age of each end.
fn list(ends: &[Evidence], now: UnixMillis) -> String {
    let one = |end: &Evidence| {
        let life = end.incarnation.unwrap_or_default();
        format!("{} {life} {}ms", end.endpoint, now.since(end.at).as_millis())
    };
    ends.iter().map(one).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests;
