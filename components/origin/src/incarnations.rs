//! The incarnations in which a loader has seen its endpoint, and what they show of the origin of a stream.
//!
//! Load pattern: an endpoint crashes and is back within moments under its id, perhaps with other software. All streams that it
//! had break at once, and their callers take them up at any router. Answers don't say which incarnation sends them, so the
//! incarnation that a router knew when it sent the request is checked against those that have run since.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::EndpointIncarnation;

/// The most incarnations that are remembered. The oldest one is dropped first.
const MAX_SEEN: usize = 16;

/// An incarnation of an endpoint that has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenIncarnation {
    /// The incarnation.
    pub incarnation: EndpointIncarnation,
    /// When the endpoint was asked for the first answer of this incarnation.
    pub first: Instant,
    /// When it was asked for the last one.
    pub last: Instant,
    /// When the last one arrived.
    pub answered: Instant,
}

impl SeenIncarnation {
    /// Whether this incarnation has certainly ended before the other one was asked for anything. An answer may come from an
    /// incarnation that started after the question was sent.
    fn ended_before(&self, other: &Self) -> bool {
        self.answered <= other.first
    }
}

/// Whether the incarnation to which a request was sent is the one that sent the first event of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// It is.
    Confirmed,
    /// A later incarnation may have sent it.
    Doubtful,
    /// Another answer of the loader, which arrives sooner or is given later, may show it.
    Undecided,
    /// The incarnation was not seen, so nothing is known.
    Unseen,
}

/// What the request for a stream needs at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamNeeds {
    /// A model, which an endpoint that has restarted has not loaded: the loader orders the load once it has seen the incarnation.
    Model,
    /// Nothing, so an incarnation may serve it before its loader has seen it.
    #[default]
    Nothing,
}

/// The incarnations in which an endpoint was seen, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IncarnationLog {
    seen: VecDeque<SeenIncarnation>,
    /// By how much all times may in truth be later.
    uncertainty: Duration,
    /// When an answer arrived that names no incarnation.
    unnamed: Option<Instant>,
}

impl IncarnationLog {
    /// Records that an endpoint that was asked at `asked` answered in this incarnation, and that the answer arrived at `answered`.
    pub fn record(&mut self, incarnation: EndpointIncarnation, asked: Instant, answered: Instant) {
        if self.unnamed.is_some_and(|unnamed| asked < unnamed) {
            return;
        }
        self.add(SeenIncarnation { incarnation, first: asked, last: asked, answered });
    }

    /// The same log, whose times may in truth be later by up to `uncertainty`: its answer was on the way for so long.
    #[must_use]
    pub fn with_uncertainty(self, uncertainty: Duration) -> Self {
        Self { uncertainty, ..self }
    }

    /// Records that an answer which names no incarnation arrived at `answered`. It may come from one that is not seen otherwise, so
    /// what was seen before tells nothing any more.
    pub fn record_unnamed(&mut self, answered: Instant) {
        self.seen.clear();
        self.unnamed = Some(answered);
    }

    fn add(&mut self, seen: SeenIncarnation) {
        let same = |known: &&mut SeenIncarnation| known.incarnation == seen.incarnation;
        if let Some(known) = self.seen.iter_mut().find(same) {
            known.first = known.first.min(seen.first);
            known.last = known.last.max(seen.last);
            known.answered = known.answered.max(seen.answered);
            return;
        }
        let place = self.seen.partition_point(|known| known.first <= seen.first);
        self.seen.insert(place, seen);
        if self.seen.len() > MAX_SEEN {
            self.seen.pop_front();
        }
    }

    /// The incarnations, in the order in which the endpoint was first asked for them.
    pub fn seen(&self) -> impl Iterator<Item = &SeenIncarnation> {
        self.seen.iter()
    }

    /// The incarnation of the newest answer.
    pub fn latest(&self) -> Option<&SeenIncarnation> {
        self.seen.iter().max_by_key(|known| known.last)
    }

    /// Whether an incarnation that ran when a request was sent sent the first event of its stream at about `begun`. An endpoint
    /// runs in one incarnation at a time, so this one did if it still answered later, or if no other one could have served the
    /// request by then.
    pub fn attribute(
        &self,
        incarnation: EndpointIncarnation,
        begun: Instant,
        needs: StreamNeeds,
    ) -> Attribution {
        let Some(own) = self.seen.iter().find(|known| known.incarnation == incarnation) else {
            return Attribution::Unseen;
        };
        if self.began(own, begun, needs) {
            return Attribution::Confirmed;
        }
        let earliest = begun.checked_sub(self.uncertainty).unwrap_or(begun);
        if self.began(own, earliest, needs) {
            Attribution::Undecided
        } else {
            Attribution::Doubtful
        }
    }

    /// Whether an incarnation certainly sent the first event of a stream at `begun`.
    fn began(&self, own: &SeenIncarnation, begun: Instant, needs: StreamNeeds) -> bool {
        let replaced_later = || self.successors(own).all(|other| other.first > begun);
        own.last >= begun || needs == StreamNeeds::Model && replaced_later()
    }

    /// The other incarnations that may have run after this one.
    fn successors(&self, own: &SeenIncarnation) -> impl Iterator<Item = &SeenIncarnation> {
        let others = self.seen.iter().filter(|known| known.incarnation != own.incarnation);
        others.filter(|other| !other.ended_before(own))
    }
}

impl FromIterator<SeenIncarnation> for IncarnationLog {
    fn from_iter<I: IntoIterator<Item = SeenIncarnation>>(seen: I) -> Self {
        let mut log = Self::default();
        seen.into_iter().for_each(|one| log.add(one));
        log
    }
}

#[cfg(test)]
mod tests;
