//! What a router knows about crashed endpoints, and what it has to tell others.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use control::KeyedRecord;
use events::{Event, emit};
use quarantine::{
    CrashTable, Digest, Evidence, Fingerprint, PartsRelease, QuarantineRecord, SuspectKind,
    SuspicionLevel, UnixMillis,
};
use tokio::time::Instant;

use super::{Attempt, wall_clock};
use crate::pool::ConnectionPool;

/// The most crash records that are kept for routers that can't read them in the store.
const MAX_RECENT_RECORDS: usize = 64;

#[derive(Debug, Default)]
pub(super) struct GuardState {
    pub(super) table: CrashTable,
    /// Requests that a crashed endpoint had and that are in flight now: one of each digest at a time.
    pub(super) turns: HashSet<Digest>,
    /// Connection pools of the incarnations that may have crashed and are being examined.
    pub(super) examined_pools: Vec<Arc<ConnectionPool>>,
    pub(super) recent: VecDeque<KeyedRecord>,
    /// Requests and parts of prompts that this router has cleared, each with the time up to which, and that other routers have not
    /// been told of yet.
    pub(super) cleared: HashMap<Digest, UnixMillis>,
    /// When this router last learned of a crash or a possible one.
    pub(super) last_crash: Option<Instant>,
}

impl GuardState {
    /// Whether the request must wait, since it was at an endpoint that is being examined for a crash. One that other callers send
    /// need not, if it runs well elsewhere.
    pub(super) fn is_held(&self, digest: &Digest, attempt: Attempt) -> bool {
        let runs_well = || self.table.has_completed_recently(digest, wall_clock());
        if self.examined_pools.is_empty() || attempt == Attempt::First && runs_well() {
            return false;
        }
        let now = Instant::now();
        self.examined_pools.iter().any(|pool| pool.sent_requests().is_candidate(digest, now))
    }

    /// The time of what ends now for a request or a part. It is not before any crash at which the router knows that this was, whatever
    /// the clocks of the routers which noticed these say. The times of other crashes don't count: a clock that is far ahead would
    /// clear it of crashes to come.
    pub(super) fn time_after_crashes_of(&self, digest: &Digest) -> UnixMillis {
        wall_clock().max(self.table.latest_crash_of(digest))
    }

    /// Keeps records for routers that can't read them in the store.
    pub(super) fn remember(&mut self, records: &[KeyedRecord]) {
        self.recent.extend(records.iter().cloned());
        let excess = self.recent.len().saturating_sub(MAX_RECENT_RECORDS);
        self.recent.drain(..excess);
    }

    /// Changes the table, and logs which suspects that adds and removes.
    pub(super) fn update<T>(
        &mut self,
        now: UnixMillis,
        change: impl FnOnce(&mut CrashTable) -> T,
    ) -> T {
        let before: HashSet<Digest> = self.table.suspects().map(|(name, _)| *name).collect();
        let result = change(&mut self.table);
        for (name, suspect) in self.table.suspects().filter(|(name, _)| !before.contains(name)) {
            emit_blamed(name, Some(suspect.kind), &format_evidence(&suspect.evidence, now));
        }
        for name in before.iter().filter(|name| self.table.suspect_named(name).is_none()) {
            emit_blamed(name, None, "");
        }
        result
    }

    /// Clears requests and parts, each up to a time, of which other routers are to be told.
    pub(super) fn clear(&mut self, cleared: BTreeMap<Digest, UnixMillis>, now: UnixMillis) {
        self.cleared.extend(&cleared);
        let release = QuarantineRecord::PartsRelease(PartsRelease { parts: cleared });
        self.update(now, |table| table.apply([&release], now));
    }

    /// Drops requests and parts that another router has told of.
    pub(super) fn forget_published(&mut self, records: &[&QuarantineRecord]) {
        for record in records {
            let QuarantineRecord::PartsRelease(release) = record else { continue };
            for (part, at) in &release.parts {
                if self.cleared.get(part).is_some_and(|found| found <= at) {
                    self.cleared.remove(part);
                }
            }
        }
    }

    /// Whether the request is suspected, by all crashes that count by now.
    pub(super) fn suspicion(&mut self, request: &Fingerprint) -> SuspicionLevel {
        self.review();
        self.table.suspicion(request)
    }

    /// Finds the suspects by the crashes that count by now.
    pub(super) fn review(&mut self) {
        let now = wall_clock();
        if self.table.review_due(now) {
            self.update(now, |table| table.review(now));
        }
    }
}

/// `kind` is what the suspect is; none if it is no suspect any more.
fn emit_blamed(name: &Digest, kind: Option<SuspectKind>, ends: &str) {
    let kind_text = match kind {
        Some(SuspectKind::Request) => "request",
        Some(SuspectKind::Part) => "part",
        None => "",
    };
    let digest = &name.to_string();
    emit(&Event::SuspectChanged { digest, suspect: kind.is_some(), kind: kind_text, ends });
}

/// The endpoint, incarnation and age of each crash.
pub(super) fn format_evidence(crashes: &[Evidence], now: UnixMillis) -> String {
    let format_one = |crash: &Evidence| {
        let incarnation = crash.incarnation.unwrap_or_default();
        format!("{} {incarnation} {}ms", crash.endpoint, now.since(crash.at).as_millis())
    };
    crashes.iter().map(format_one).collect::<Vec<_>>().join(", ")
}
