//! What a journal tells people: the time line, logs and metrics.

use edge::Entry;
use record::{Body, Record};
use serde::Deserialize;
use state::{Applied, Verdict};
use timeline::Kind;

use crate::Health;
use crate::folded::Shared;

/// Kinds of records that say nothing new on a time line.
const ROUTINE: [&str; 2] = ["renew", SNAPSHOT];
/// The kind of the chunks of a snapshot.
const SNAPSHOT: &str = "snapshot";

impl Shared {
    pub(crate) fn set_health(&self, health: Health) {
        let before = self.health.send_replace(health);
        if before == health {
            return;
        }
        if health == Health::Up {
            self.revived.notify_one();
        }
        metrics::gauge!("hyssop_log_up").set(if health == Health::Up { 1.0 } else { 0.0 });
        let (kind, note) = match health {
            Health::Up => (Kind::LogUp, "the log is read"),
            Health::Down => (Kind::LogDown, "the log can't be read"),
            Health::Behind => (Kind::LogDown, "the log ends before what is folded"),
            Health::Forked => (Kind::LogDown, "the log is not the one that was folded"),
        };
        match health {
            Health::Up => log::info!("journal: {note}"),
            Health::Down => log::warn!("journal: {note}"),
            Health::Behind | Health::Forked => {
                log::error!("journal: {note}; see docs/LOG-OUTAGE.md")
            }
        }
        self.recorder.record(self.recorder.event(kind).note(note));
    }

    pub(crate) fn note(&self, entry: &Entry, applied: &Applied) {
        let kind = kind_of(&entry.data);
        if kind == SNAPSHOT {
            self.note_snapshot(entry);
        }
        if ROUTINE.contains(&kind.as_str()) {
            return;
        }
        let void = applied.verdicts.iter().find_map(|verdict| match verdict {
            Verdict::Done => None,
            Verdict::Void(void) => Some(void),
        });
        let offset = entry.offset;
        let event = match void {
            None => self.recorder.event(Kind::Applied).note(format!("{offset} {kind}")),
            Some(void) => {
                let note = format!("{offset} {kind}: {void}");
                self.recorder.event(Kind::Voided).note(note)
            }
        };
        self.recorder.record(event);
    }

    fn note_snapshot(&self, entry: &Entry) {
        let record = serde_json::from_slice::<Record>(&entry.data);
        if let Ok(Record { body: Body::Snapshot(chunk), .. }) = record {
            self.note_chunk(entry.offset, &chunk);
        }
    }
}

#[derive(Deserialize)]
struct KindOnly {
    kind: String,
}

#[derive(Deserialize)]
struct BodyOnly {
    body: KindOnly,
}

fn kind_of(data: &[u8]) -> String {
    let body = serde_json::from_slice::<BodyOnly>(data);
    body.map_or_else(|_| "unreadable".to_owned(), |record| record.body.kind)
}
