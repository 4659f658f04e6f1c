//! One stream of the log: a tail of records that expire.

use std::collections::VecDeque;

use bytes::Bytes;
use edge::{Entry, Page};
use tokio::time::Instant;
use units::Offset;

use crate::Faults;

#[derive(Debug)]
struct Kept {
    data: Bytes,
    since: Instant,
}

/// The records that are still kept, and the offset of the first.
#[derive(Debug)]
pub(crate) struct Tail {
    first: u64,
    kept: VecDeque<Kept>,
}

impl Default for Tail {
    fn default() -> Self {
        Self { first: 1, kept: VecDeque::new() }
    }
}

impl Tail {
    pub(crate) fn first(&self) -> Offset {
        Offset(self.first)
    }

    pub(crate) fn last(&self) -> Offset {
        Offset(self.first + self.kept.len() as u64 - 1)
    }

    pub(crate) fn push(&mut self, records: Vec<Bytes>) -> Offset {
        let first = self.last().next();
        let since = Instant::now();
        self.kept.extend(records.into_iter().map(|data| Kept { data, since }));
        first
    }

    /// Drops all records before an offset.
    pub(crate) fn expire(&mut self, before: Offset) {
        while self.first < before.0 && self.kept.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Drops what the retention no longer covers.
    pub(crate) fn retain(&mut self, faults: &Faults) {
        if let Some(count) = faults.retention {
            let spare = self.kept.len().saturating_sub(count) as u64;
            self.expire(Offset(self.first + spare));
        }
        if let Some(age) = faults.age {
            let old = self.kept.iter().take_while(|kept| kept.since.elapsed() > age).count();
            self.expire(Offset(self.first + old as u64));
        }
    }

    /// At most `limit` records from an offset on, which must not have expired.
    pub(crate) fn page(&self, from: Offset, limit: usize) -> Page {
        let skip = usize::try_from(from.0.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let found = self.kept.iter().enumerate().skip(skip).take(limit);
        let entries = found
            .map(|(i, kept)| Entry {
                offset: Offset(self.first + i as u64),
                data: kept.data.clone(),
            })
            .collect();
        Page { first: self.first(), last: self.last(), entries }
    }
}
