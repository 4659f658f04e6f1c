//! Keeps requests that crash endpoints from being sent.
//!
//! Load pattern: callers send the same request again and again, several at a time and through all routers, and each endpoint
//! that starts to run it is gone for seconds, with all requests that it had. Until it is known which request is to blame,
//! requests that an endpoint had when it crashed are sent one at a time, and not at all while a possible crash is being
//! examined. Requests that two crashed endpoints had are isolated from each other, so that the next crash tells them apart.
//!
//! Another load pattern: a part of the prompt crashes endpoints, in requests that differ in everything else. Most requests have
//! the other parts of such prompts, so none of them is held back for parts that were at crashes. Instead routers tell each
//! other which of these parts run well.
//!
//! A third one: many callers send the same sound request, which is therefore at most crashes. Routers that have seen it run to its
//! end around a crash tell the others, also those that start later.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use control::{KeyedRecord, Suspect};
use quarantine::{
    Crash, CrashTable, Digest, Fingerprint, PartsRelease, PromptPart, QuarantineRecord, Release,
    SuspectKind, SuspicionLevel, UnixMillis,
};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::pool::ConnectionPool;
use crate::sent_requests::SurvivedRequest;

mod state;

use state::{GuardState, format_evidence};

/// A request that was at this many crashes is kept from sharing an endpoint with others that were at as many.
const MIN_CRASHES_TO_ISOLATE: usize = 2;
/// The router itself does not send a request again that has a part which was at this many crashes and has never run well.
const MIN_DOUBTS_TO_GIVE_UP: usize = 2;
/// The most parts of prompts in the record of a crash.
const MAX_RECORD_PARTS: usize = 256;
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

/// Decides when a request may be sent, by what is known about crashed endpoints.
#[derive(Debug)]
pub(crate) struct CrashGuard {
    state: Mutex<GuardState>,
    /// Notified whenever a request that waits here may be able to go on.
    changed: Notify,
    /// Notified when an endpoint may have crashed: other routers may know more.
    pub(crate) possible_crash: Notify,
    /// Notified when other routers are to be told of cleared requests and parts.
    pub(crate) cleared: Notify,
    /// New crash records of this router, to be written to the store.
    write: mpsc::UnboundedSender<KeyedRecord>,
    router: String,
}

/// Whether a request may have run before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attempt {
    First,
    /// An endpoint that may have begun to run the request did not finish.
    Repeated,
}

/// Why a request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The request, or a part of its prompt, crashes endpoints; the digest identifies the suspect.
    Suspect(Digest),
    /// The same, but the trial of the suspect with this number is due.
    TrialDue(Digest, u32),
    /// The request may crash endpoints; whether it also runs well is known after this time at the latest.
    Unsettled(Digest, Duration),
    /// The request has been interrupted, and a part of its prompt may be the cause.
    Doubtful,
    /// A request with the same digest was in flight, or a possible crash was examined, for as long as this one could wait.
    Busy,
}

/// How a request came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Completion {
    /// With success, and its endpoint marked the end of the answer.
    Certain,
    /// With a failure, or with the end of its connection by an endpoint that seems to run on.
    Presumed,
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
    attempt: Attempt,
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
        let (state, changed, possible_crash, cleared) = Default::default();
        (Self { state, changed, possible_crash, cleared, write, router }, written)
    }

    fn lock(&self) -> MutexGuard<'_, GuardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a request may be sent, at most until `until`. `held` is the permit that the request has already.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: &Fingerprint,
        attempt: Attempt,
        held: Option<SendPermit>,
        until: Instant,
    ) -> Result<SendPermit, Rejection> {
        let mut turn = match held {
            Some(permit) if permit.trial => return Ok(permit),
            held => held.and_then(|permit| permit.turn),
        };
        loop {
            let changed = self.changed.notified();
            match self.decide(request, attempt, turn.is_some()) {
                Decision::Allow => {
                    return Ok(SendPermit { turn, isolated: false, trial: false, attempt });
                }
                Decision::AllowInTurn { isolated } => {
                    turn.get_or_insert_with(|| self.turn(&request.request));
                    return Ok(SendPermit { turn, isolated, trial: false, attempt });
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

    fn decide(&self, request: &Fingerprint, attempt: Attempt, has_turn: bool) -> Decision {
        let mut state = self.lock();
        if state.is_held(&request.request, attempt) {
            return Decision::Wait;
        }
        let suspicion = state.suspicion(request);
        let doubts = |part: &PromptPart| state.table.doubts(&part.digest);
        if attempt == Attempt::Repeated
            && !matches!(suspicion, SuspicionLevel::Suspect(_))
            && request.parts.iter().any(|part| doubts(part) >= MIN_DOUBTS_TO_GIVE_UP)
        {
            return Decision::Rejected(Rejection::Doubtful);
        }
        match suspicion {
            SuspicionLevel::Clear => Decision::Allow,
            SuspicionLevel::Suspect(name) => {
                let now = wall_clock();
                let settles_in = state.table.settles_in(&name, now);
                Decision::Rejected(match (state.table.due_trial(&name, now), settles_in) {
                    (Some(number), _) => Rejection::TrialDue(name, number),
                    (None, Some(time)) => Rejection::Unsettled(name, time),
                    (None, None) => Rejection::Suspect(name),
                })
            }
            SuspicionLevel::Watched(_) if !has_turn && !state.turns.insert(request.request) => {
                Decision::Wait
            }
            SuspicionLevel::Watched(crashes) => {
                Decision::AllowInTurn { isolated: crashes >= MIN_CRASHES_TO_ISOLATE }
            }
        }
    }

    /// Whether a request with a permit may still be sent, by what has become known since.
    pub(crate) fn allows(&self, request: &Fingerprint, permit: &SendPermit) -> bool {
        if permit.trial {
            return true;
        }
        let mut state = self.lock();
        match state.suspicion(request) {
            SuspicionLevel::Suspect(_) => false,
            SuspicionLevel::Watched(crashes)
                if permit.turn.is_none()
                    || (crashes >= MIN_CRASHES_TO_ISOLATE) != permit.isolated =>
            {
                false
            }
            SuspicionLevel::Watched(_) | SuspicionLevel::Clear => {
                !state.is_held(&request.request, permit.attempt)
            }
        }
    }

    /// Permission to send a request of a suspect once as its trial, which the caller has agreed on with all routers. `None` if one
    /// is in flight.
    pub(crate) fn trial_permit(self: &Arc<Self>, suspect: &Digest) -> Option<SendPermit> {
        let first = self.lock().turns.insert(*suspect);
        let attempt = Attempt::First;
        let turn = || Some(self.turn(suspect));
        first.then(|| SendPermit { turn: turn(), isolated: true, trial: true, attempt })
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
    pub(crate) fn record_completion(&self, digest: &Digest, completion: Completion) {
        let now = wall_clock();
        let mut state = self.lock();
        if completion == Completion::Certain {
            state.table.record_completion(*digest, now);
        }
        let suspicion = state.table.request_suspicion(digest);
        let at = match (suspicion, completion) {
            (SuspicionLevel::Clear, _) => return,
            (SuspicionLevel::Watched(_), Completion::Certain) => {
                // Up to the crashes that are known, so that the records of all routers are the same, and one of them is enough.
                let at = state.table.latest_crash_of(digest);
                state.clear(BTreeMap::from([(*digest, at)]), now);
                drop(state);
                return self.notify_cleared();
            }
            (SuspicionLevel::Suspect(_), _) | (_, Completion::Presumed) => {
                state.time_after_crashes_of(digest)
            }
        };
        drop(state);
        let record = QuarantineRecord::Release(Release { digest: *digest, at });
        if matches!(suspicion, SuspicionLevel::Watched(crashes) if crashes < MIN_CRASHES_TO_ISOLATE)
        {
            // What is not certain counts too little to be told to other routers.
            self.apply(&[KeyedRecord { key: record.key(&self.router), record }]);
            return;
        }
        self.record(record);
    }

    /// Requests that were held back may go on, and other routers are to be told why.
    fn notify_cleared(&self) {
        self.changed.notify_waiters();
        self.cleared.notify_one();
    }

    /// The time of what happens now. It is not before any crash that this router knows of, whatever the clocks of the routers which
    /// noticed these say.
    pub(crate) fn time_after_crashes(&self) -> UnixMillis {
        wall_clock().max(self.lock().table.latest_crash())
    }

    /// Clears the parts of requests that their endpoints have survived of all crashes before their answers began.
    pub(crate) fn record_survived(&self, requests: &[SurvivedRequest]) {
        let now = wall_clock();
        let mut state = self.lock();
        let mut cleared: BTreeMap<Digest, UnixMillis> = BTreeMap::new();
        for request in requests {
            for part in &request.fingerprint.parts {
                if state.table.record_success(part.digest, request.began) {
                    let at = cleared.entry(part.digest).or_default();
                    *at = request.began.max(*at);
                }
            }
        }
        if cleared.is_empty() {
            return;
        }
        state.clear(cleared, now);
        drop(state);
        self.notify_cleared();
    }

    /// Tells all routers of the cleared requests and parts that no other router has told of meanwhile.
    pub(crate) fn publish_cleared(&self) {
        let mut state = self.lock();
        let parts: BTreeMap<Digest, UnixMillis> = state.cleared.drain().collect();
        if parts.is_empty() {
            return;
        }
        let record = QuarantineRecord::PartsRelease(PartsRelease { parts });
        let keyed = KeyedRecord { key: record.key(&self.router), record };
        state.remember(std::slice::from_ref(&keyed));
        drop(state);
        self.queue_write(keyed);
    }

    /// Drops parts beyond the most that a record may have; those that have never run well stay.
    pub(crate) fn limit_parts(
        &self,
        parts: BTreeMap<Digest, BTreeSet<Digest>>,
    ) -> BTreeMap<Digest, BTreeSet<Digest>> {
        if parts.len() <= MAX_RECORD_PARTS {
            return parts;
        }
        let state = self.lock();
        let (proven, doubtful): (Vec<_>, Vec<_>) =
            parts.into_iter().partition(|(part, _)| state.table.is_proven(part));
        doubtful.into_iter().chain(proven).take(MAX_RECORD_PARTS).collect()
    }

    /// Whether an endpoint has crashed while it had the request, or another one with a part that has not been seen to run well.
    pub(crate) fn is_watched(&self, request: &Fingerprint) -> bool {
        let mut state = self.lock();
        state.suspicion(request) != SuspicionLevel::Clear
            || request.parts.iter().any(|part| state.table.doubts(&part.digest) > 0)
    }

    /// Releases a suspect on an operator's request, and the parts that would be blamed for its crashes next. Returns false if there
    /// is no such suspect.
    pub(crate) fn release(&self, name: &Digest) -> bool {
        let state = self.lock();
        let Some(suspect) = state.table.suspect_named(name).cloned() else { return false };
        let beside = state.table.accused_beside(name);
        let parts = suspect.digests.into_iter().filter(|digest| digest != name);
        let parts = parts.chain((suspect.kind == SuspectKind::Part).then_some(*name)).chain(beside);
        let parts: BTreeMap<Digest, UnixMillis> =
            parts.map(|part| (part, state.time_after_crashes_of(&part))).collect();
        let at = state.time_after_crashes_of(name);
        drop(state);
        if suspect.kind == SuspectKind::Request {
            self.record(QuarantineRecord::Release(Release { digest: *name, at }));
        }
        if !parts.is_empty() {
            self.record(QuarantineRecord::PartsRelease(PartsRelease { parts }));
        }
        true
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
        self.apply_with(all, |table, records, now| table.apply(records, now))
    }

    /// Like [`CrashGuard::apply`], for all records of the store.
    pub(crate) fn apply_history(&self, all: &[KeyedRecord]) {
        self.apply_with(all, |table, records, now| table.apply_history(records, now));
    }

    fn apply_with(
        &self,
        all: &[KeyedRecord],
        apply: impl FnOnce(&mut CrashTable, Vec<&QuarantineRecord>, UnixMillis) -> usize,
    ) -> Vec<KeyedRecord> {
        let now = wall_clock();
        let mut state = self.lock();
        let known: HashSet<&String> = state.recent.iter().map(|keyed| &keyed.key).collect();
        let fresh: Vec<KeyedRecord> = all
            .iter()
            .filter(|keyed| {
                !known.contains(&keyed.key) && !CrashTable::is_expired(&keyed.record, now)
            })
            .cloned()
            .collect();
        let records: Vec<_> = all.iter().map(|keyed| &keyed.record).collect();
        state.forget_published(&records);
        if state.update(now, |table| apply(table, records, now)) == 0 {
            return Vec::new();
        }
        if fresh.iter().any(|keyed| matches!(keyed.record, QuarantineRecord::Crash(_))) {
            state.last_crash = Some(Instant::now());
        }
        state.remember(&fresh);
        let completed = state.table.recently_completed();
        if !completed.is_empty() {
            state.clear(completed, now);
            self.cleared.notify_one();
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

    /// The crashes that count against a suspect, as text for an event.
    pub(crate) fn evidence_text(&self, name: &Digest) -> String {
        let state = self.lock();
        let evidence = state.table.suspect_named(name).map(|suspect| &suspect.evidence);
        evidence.map_or(String::new(), |evidence| format_evidence(evidence, wall_clock()))
    }

    /// The parts of a request's prompt for which it is refused; empty if it is refused for itself.
    pub(crate) fn suspected_parts(&self, name: &Digest, request: &Fingerprint) -> String {
        let state = self.lock();
        let Some(suspect) = state.table.suspect_named(name) else { return String::new() };
        let parts = request.parts.iter().filter(|part| {
            suspect.kind == SuspectKind::Part && suspect.digests.contains(&part.digest)
        });
        parts.map(|part| part.id.as_ref()).collect::<Vec<_>>().join(" ")
    }

    /// All suspects.
    pub(crate) fn suspects(&self) -> Vec<Suspect> {
        let mut state = self.lock();
        state.review();
        let suspect = |(name, suspect): (&Digest, &quarantine::Suspect)| Suspect {
            digest: *name,
            kind: suspect.kind,
            crashes: suspect.evidence.clone(),
        };
        state.table.suspects().map(suspect).collect()
    }
}

#[cfg(test)]
mod tests;
