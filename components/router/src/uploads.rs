//! Reads the bodies of requests into memory that all of them share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use admission::{BodyMemory, ConnectionId, MemoryGrant, UploadId};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;
use tokio::time::Instant;
use web::SegmentedBytes;

/// The size of the pieces of memory in which a body is kept, except for the first ones. A buffer that grew would be copied each
/// time, and leave gaps that other bodies don't fit.
const SEGMENT_BYTES: usize = 64 << 10;

/// The bodies that arrive or whose requests are not done.
#[derive(Debug, Clone, Default)]
pub(crate) struct Uploads(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    memory: BodyMemory,
    arriving: HashMap<UploadId, ArrivingBody>,
}

#[derive(Debug)]
struct ArrivingBody {
    /// All but the last are full.
    segments: Vec<Vec<u8>>,
    /// The bytes that have arrived.
    size: usize,
    connection: ConnectionId,
    gave_way: Arc<Notify>,
}

/// Limits on one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UploadLimits {
    /// The largest body, in bytes.
    pub(crate) body_bytes: usize,
    /// The memory for all bodies, in bytes.
    pub(crate) memory_bytes: usize,
    /// When the request is given up.
    pub(crate) deadline: Instant,
}

/// Why a body could not be read.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum UploadError {
    /// The body is larger than allowed.
    TooLarge,
    /// The connection ended before the body did, or the framing of the body is wrong.
    Truncated,
    /// The body did not arrive in time.
    TimedOut,
    /// The body arrived too slowly, and its memory or its connection was needed by others.
    Stalled,
    /// There is no memory for the body; there will be after this time, or never on this instance.
    NoMemory(Option<Duration>),
}

/// The entry of one body, which is removed on drop.
#[derive(Debug)]
struct Upload {
    id: UploadId,
    uploads: Uploads,
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut state = self.uploads.lock();
        state.arriving.remove(&self.id);
        state.memory.close(self.id);
    }
}

impl ArrivingBody {
    /// How many bytes fit the segments that there are.
    fn spare(&self) -> usize {
        self.segments.last().map_or(0, |last| last.capacity() - last.len())
    }

    /// Adds bytes, and a segment of this size for those that do not fit.
    fn extend(&mut self, data: &[u8], segment_bytes: usize) {
        let (first, rest) = data.split_at(data.len().min(self.spare()));
        if let Some(last) = self.segments.last_mut() {
            last.extend_from_slice(first);
        }
        if !rest.is_empty() {
            let mut segment = Vec::with_capacity(segment_bytes);
            segment.extend_from_slice(rest);
            self.segments.push(segment);
        }
        self.size += data.len();
    }
}

/// A part of a whole body, with the memory of all of it.
struct Segment {
    data: Vec<u8>,
    _upload: Arc<Upload>,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Uploads {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The memory that bodies use, in bytes.
    pub(crate) fn used_bytes(&self) -> usize {
        self.lock().memory.used()
    }

    /// Refuses the request whose body arrives most slowly; returns its connection, which will be closed.
    pub(crate) fn evict_slowest(&self) -> Option<ConnectionId> {
        let mut state = self.lock();
        let id = state.memory.slowest(Instant::now())?;
        state.memory.close(id);
        state.evict(id)
    }

    /// Reads a whole body. Its memory counts until the last of the bytes is dropped.
    pub(crate) async fn read(
        &self,
        body: &mut Incoming,
        connection: ConnectionId,
        limits: UploadLimits,
    ) -> Result<SegmentedBytes, UploadError> {
        if body.is_end_stream() {
            return Ok(SegmentedBytes::new([]));
        }
        let announced =
            body.size_hint().exact().map(|size| usize::try_from(size).unwrap_or(usize::MAX));
        if announced.is_some_and(|size| size > limits.body_bytes) {
            return Err(UploadError::TooLarge);
        }
        let gave_way = Arc::new(Notify::new());
        let upload = self.open(connection, gave_way.clone(), announced, limits.deadline);
        let collected = upload.collect(body, announced, limits);
        tokio::select! {
            collected = tokio::time::timeout_at(limits.deadline, collected) => {
                collected.unwrap_or(Err(UploadError::TimedOut))?;
            }
            () = gave_way.notified() => return Err(UploadError::Stalled),
        }
        upload.into_bytes()
    }

    fn open(
        &self,
        connection: ConnectionId,
        gave_way: Arc<Notify>,
        size: Option<usize>,
        deadline: Instant,
    ) -> Upload {
        let mut state = self.lock();
        let id = state.memory.open(size, deadline, Instant::now());
        let body = ArrivingBody { segments: Vec::new(), size: 0, connection, gave_way };
        state.arriving.insert(id, body);
        Upload { id, uploads: self.clone() }
    }
}

impl State {
    /// Drops the data of a body that has lost its memory, and tells its reader.
    fn evict(&mut self, id: UploadId) -> Option<ConnectionId> {
        let body = self.arriving.remove(&id)?;
        body.gave_way.notify_one();
        Some(body.connection)
    }

    fn push(
        &mut self,
        id: UploadId,
        data: &[u8],
        max_size: usize,
        capacity: usize,
    ) -> Result<(), UploadError> {
        let now = Instant::now();
        let body = self.arriving.get(&id).ok_or(UploadError::Stalled)?;
        let (size, spare) = (body.size, body.spare());
        if size + data.len() > max_size {
            return Err(UploadError::TooLarge);
        }
        let mut growth = 0;
        if data.len() > spare {
            let allocated = size + spare;
            growth = (data.len() - spare).max(size.min(SEGMENT_BYTES)).min(max_size - allocated);
            match self.memory.reserve(id, allocated + growth, capacity, now) {
                MemoryGrant::Granted(victims) => {
                    for victim in victims {
                        self.evict(victim);
                    }
                }
                MemoryGrant::Refused(after) => return Err(UploadError::NoMemory(Some(after))),
                MemoryGrant::TooLarge => return Err(UploadError::NoMemory(None)),
            }
        }
        let body = self.arriving.get_mut(&id).ok_or(UploadError::Stalled)?;
        body.extend(data, growth);
        self.memory.record_received(id, body.size, now);
        Ok(())
    }
}

impl Upload {
    /// Reads the body to its end. Small parts are copied together: kept as they are, each would take many times its size.
    async fn collect(
        &self,
        body: &mut Incoming,
        announced: Option<usize>,
        limits: UploadLimits,
    ) -> Result<(), UploadError> {
        let max_size = announced.unwrap_or(limits.body_bytes);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                log::debug!("router: the body of a request failed: {error}");
                UploadError::Truncated
            })?;
            if let Some(data) = frame.data_ref() {
                self.uploads.lock().push(self.id, data, max_size, limits.memory_bytes)?;
            }
        }
        Ok(())
    }

    fn into_bytes(self) -> Result<SegmentedBytes, UploadError> {
        let segments = {
            let mut state = self.uploads.lock();
            let body = state.arriving.remove(&self.id).ok_or(UploadError::Stalled)?;
            state.memory.complete(self.id, body.size + body.spare());
            body.segments
        };
        let upload = Arc::new(self);
        let segment = |data| Bytes::from_owner(Segment { data, _upload: upload.clone() });
        Ok(SegmentedBytes::new(segments.into_iter().map(segment)))
    }
}
