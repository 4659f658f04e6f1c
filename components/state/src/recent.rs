//! What became of the records of the last offsets, so that repeats are known.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use record::RECORD_WINDOW_OFFSETS;
use serde::{Deserialize, Serialize};
use units::Offset;

use crate::Applied;

/// Ids with what became of them, for [`RECORD_WINDOW_OFFSETS`] offsets.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(Arc<str>, Applied)>", into = "Vec<(Arc<str>, Applied)>")]
pub(crate) struct Recent {
    by_id: BTreeMap<Arc<str>, Applied>,
    order: VecDeque<(Offset, Arc<str>)>,
}

impl Recent {
    pub(crate) fn get(&self, id: &str) -> Option<&Applied> {
        self.by_id.get(id)
    }

    /// The id that was remembered last, with its offset.
    pub(crate) fn newest(&self) -> Option<(Offset, &str)> {
        self.order.back().map(|(offset, id)| (*offset, &**id))
    }

    /// Forgets what is too old to be repeated at an offset.
    pub(crate) fn expire(&mut self, now: Offset) {
        while let Some((offset, id)) = self.order.front() {
            if !expired(*offset, now) {
                break;
            }
            self.by_id.remove(id);
            self.order.pop_front();
        }
    }

    /// Remembers an id that it does not hold yet.
    pub(crate) fn insert(&mut self, id: &str, applied: Applied) {
        let id: Arc<str> = id.into();
        self.order.push_back((applied.offset, id.clone()));
        self.by_id.insert(id, applied);
    }
}

/// Whether what a record at `seen` says is too old at `now`.
pub(crate) fn expired(seen: Offset, now: Offset) -> bool {
    now.0.saturating_sub(seen.0) > RECORD_WINDOW_OFFSETS
}

impl From<Vec<(Arc<str>, Applied)>> for Recent {
    fn from(list: Vec<(Arc<str>, Applied)>) -> Self {
        let order = list.iter().map(|(id, applied)| (applied.offset, id.clone())).collect();
        Self { by_id: list.into_iter().collect(), order }
    }
}

impl From<Recent> for Vec<(Arc<str>, Applied)> {
    fn from(mut recent: Recent) -> Self {
        let order = std::mem::take(&mut recent.order);
        let known = |(_, id): (Offset, Arc<str>)| recent.by_id.remove(&id).map(|a| (id, a));
        order.into_iter().filter_map(known).collect()
    }
}
