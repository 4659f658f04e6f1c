//! Divides an amount of memory among the bodies of requests.
//!
//! Load pattern: callers send many large bodies at once, and most of them stop before the end and keep their connections open. Each
//! body is within its limit, and all of them together are far larger than the memory of the machine.
//!
//! Memory is reserved as bytes arrive. Once it is used up, bodies that have stalled give way to one that arrives; if there are none,
//! the request that needs more is refused. Small bodies and large ones can't use each other's last part of the memory.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// The largest body that counts as small, in bytes.
const MAX_SMALL_BYTES: usize = 64 << 10;
/// The part of the memory that only small bodies may use, and the part that only large ones may use, as a divisor.
const OWN_PART_DIVISOR: usize = 4;
/// A body has stalled if fewer bytes than this arrive in [`STALL_TIME`].
const MIN_PROGRESS_BYTES: usize = 4 << 10;
/// After this time without progress a body gives way to others. Uploads that share a slow link go on more often than that.
const STALL_TIME: Duration = Duration::from_secs(1);
/// After this time a body may give way to one that needs much less than it has.
const MIN_STALL_TIME: Duration = Duration::from_millis(100);
/// The shortest time after which a refused request may be sent again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Names one body as long as it has memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UploadId(u64);

/// What a body gets that needs more memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemoryGrant {
    /// The memory, after these other bodies have lost theirs.
    Granted(Vec<UploadId>),
    /// Nothing; there will be memory after this time.
    Refused(Duration),
    /// Nothing, now or later: the body does not fit even if there is no other.
    TooLarge,
}

/// The memory that the bodies of requests share.
#[derive(Debug, Default)]
pub struct BodyMemory {
    small_used: usize,
    large_used: usize,
    last_id: u64,
    uploads: HashMap<UploadId, Upload>,
}

#[derive(Debug)]
struct Upload {
    /// The memory that is reserved, in bytes.
    reserved: usize,
    /// Whether the body is or will be too large to be small.
    is_large: bool,
    /// How many bytes had arrived at the last progress.
    received: usize,
    progress_at: Instant,
    opened_at: Instant,
    is_whole: bool,
    /// When the request is given up.
    deadline: Instant,
}

impl Upload {
    /// For how long the body has stalled, if it gives way to one that needs this much.
    fn stalled_for(&self, now: Instant, other_bytes: usize) -> Option<Duration> {
        let idle = now.saturating_duration_since(self.progress_at);
        let ratio = other_bytes as f64 / self.reserved.max(1) as f64;
        let limit = STALL_TIME.mul_f64(ratio.min(1.0)).max(MIN_STALL_TIME);
        (!self.is_whole && idle >= limit).then_some(idle)
    }

    fn has_stalled(&self, now: Instant) -> bool {
        self.stalled_for(now, usize::MAX).is_some()
    }

    /// When the memory can be had at the latest.
    fn available_at(&self) -> Instant {
        if self.is_whole { self.deadline } else { self.deadline.min(self.progress_at + STALL_TIME) }
    }
}

/// The memory that others have to leave, in bytes.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    /// Bodies of any size.
    any: usize,
    /// Bodies that are small or large, as the one that needs memory is.
    same_class: usize,
    is_large: bool,
    /// The memory that is needed beyond what is reserved.
    needed: usize,
}

impl Shortage {
    fn is_over(self) -> bool {
        self.any == 0 && self.same_class == 0
    }

    /// Counts the memory that a body leaves; false if that does not help.
    fn reduce(&mut self, upload: &Upload) -> bool {
        let is_same_class = upload.is_large == self.is_large;
        if upload.reserved == 0 || self.any == 0 && !is_same_class {
            return false;
        }
        self.any = self.any.saturating_sub(upload.reserved);
        if is_same_class {
            self.same_class = self.same_class.saturating_sub(upload.reserved);
        }
        true
    }
}

impl BodyMemory {
    /// The largest body that fits if there is no other, in bytes.
    pub fn largest_body(capacity: usize) -> usize {
        capacity - capacity / OWN_PART_DIVISOR
    }

    /// The capacity in which a body of this size, in bytes, fits if there is no other.
    pub fn capacity_for(body: usize) -> usize {
        body.saturating_add(body.div_ceil(OWN_PART_DIVISOR - 1))
    }

    /// Adds a body without memory, whose size may be known and whose request is given up at the deadline.
    pub fn open(&mut self, size: Option<usize>, deadline: Instant, now: Instant) -> UploadId {
        self.last_id += 1;
        let id = UploadId(self.last_id);
        let upload = Upload {
            reserved: 0,
            is_large: size.is_some_and(|size| size > MAX_SMALL_BYTES),
            received: 0,
            progress_at: now,
            opened_at: now,
            is_whole: false,
            deadline,
        };
        self.uploads.insert(id, upload);
        id
    }

    /// Removes a body, whose memory is free again.
    pub fn close(&mut self, id: UploadId) {
        if let Some(upload) = self.uploads.remove(&id) {
            *self.used_by(upload.is_large) -= upload.reserved;
        }
    }

    /// Records how many bytes of a body have arrived.
    pub fn record_received(&mut self, id: UploadId, received: usize, now: Instant) {
        if let Some(upload) = self.uploads.get_mut(&id)
            && received >= upload.received + MIN_PROGRESS_BYTES
        {
            (upload.received, upload.progress_at) = (received, now);
        }
    }

    /// Records that a body has arrived whole, and keeps only the memory that it needs.
    pub fn complete(&mut self, id: UploadId, size: usize) {
        if let Some(upload) = self.uploads.get_mut(&id) {
            upload.is_whole = true;
            let kept = upload.reserved.min(size);
            self.set_reserved(id, kept);
        }
    }

    /// Reserves this much memory for a body, including what it has, of `capacity` bytes for all bodies.
    pub fn reserve(
        &mut self,
        id: UploadId,
        bytes: usize,
        capacity: usize,
        now: Instant,
    ) -> MemoryGrant {
        let Some(upload) = self.uploads.get(&id) else {
            return MemoryGrant::Refused(MIN_RETRY_AFTER);
        };
        if bytes > Self::largest_body(capacity) {
            return MemoryGrant::TooLarge;
        }
        let reserved = upload.reserved;
        let needed = bytes.max(reserved);
        let is_large = upload.is_large || needed > MAX_SMALL_BYTES;
        let own = if is_large == upload.is_large { reserved } else { 0 };
        let same_class = *self.used_by(is_large) - own + needed;
        let shortage = Shortage {
            any: (self.used() - reserved + needed).saturating_sub(capacity),
            same_class: same_class.saturating_sub(Self::largest_body(capacity)),
            is_large,
            needed: needed - reserved,
        };
        let Some(victims) = self.stalled_uploads(id, shortage, now) else {
            return MemoryGrant::Refused(self.time_until_free(id, shortage, now));
        };
        for victim in &victims {
            self.close(*victim);
        }
        self.set_reserved(id, needed);
        MemoryGrant::Granted(victims)
    }

    /// The memory that is reserved, in bytes.
    pub fn used(&self) -> usize {
        self.small_used + self.large_used
    }

    /// What the large bodies or the small ones have reserved.
    fn used_by(&mut self, is_large: bool) -> &mut usize {
        if is_large { &mut self.large_used } else { &mut self.small_used }
    }

    fn set_reserved(&mut self, id: UploadId, bytes: usize) {
        let Some(upload) = self.uploads.get_mut(&id) else { return };
        let (was_large, before) = (upload.is_large, upload.reserved);
        upload.is_large |= bytes > MAX_SMALL_BYTES;
        upload.reserved = bytes;
        let is_large = upload.is_large;
        *self.used_by(was_large) -= before;
        *self.used_by(is_large) += bytes;
    }

    /// The body whose connection is closed first if there are too many: a stalled one if there is one, and of those the one that has been
    /// arriving for longest. None if all are whole or have only begun to arrive.
    pub fn slowest(&self, now: Instant) -> Option<UploadId> {
        let age = |upload: &Upload| now.saturating_duration_since(upload.opened_at);
        let slow = self.uploads.iter();
        let slow = slow.filter(|(_, upload)| !upload.is_whole && age(upload) >= STALL_TIME);
        let slow = slow.map(|(id, upload)| (upload.has_stalled(now), age(upload), *id));
        slow.max().map(|(_, _, id)| id)
    }

    /// Other bodies that have stalled and whose memory ends the shortage, those first that have held the most for the longest; none if
    /// they have less.
    fn stalled_uploads(
        &self,
        id: UploadId,
        mut shortage: Shortage,
        now: Instant,
    ) -> Option<Vec<UploadId>> {
        if shortage.is_over() {
            return Some(Vec::new());
        }
        let cost = |(other, upload): (&UploadId, &Upload)| {
            let idle = upload.stalled_for(now, shortage.needed).filter(|_| *other != id)?;
            Some((idle.as_millis() * upload.reserved as u128, *other))
        };
        let mut stalled: Vec<_> = self.uploads.iter().filter_map(cost).collect();
        stalled.sort_unstable_by(|one, other| other.cmp(one));
        let mut victims = Vec::new();
        for (_, victim) in stalled {
            if shortage.reduce(&self.uploads[&victim]) {
                victims.push(victim);
            }
            if shortage.is_over() {
                return Some(victims);
            }
        }
        None
    }

    /// The time after which other bodies have left the memory or can be made to.
    fn time_until_free(&self, id: UploadId, mut shortage: Shortage, now: Instant) -> Duration {
        let others = self.uploads.iter().filter(|(other, _)| **other != id);
        let mut others: Vec<_> = others.map(|(_, upload)| upload).collect();
        others.sort_unstable_by_key(|upload| upload.available_at());
        let mut free_at = now;
        for upload in others {
            if shortage.reduce(upload) {
                free_at = free_at.max(upload.available_at());
            }
            if shortage.is_over() {
                break;
            }
        }
        (free_at - now).max(MIN_RETRY_AFTER)
    }
}

#[cfg(test)]
mod tests;
