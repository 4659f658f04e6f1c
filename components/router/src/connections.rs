//! The open connections of callers, of which there is a limited number.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use admission::{ConnectionId, ConnectionSlots};
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::Notify;
use tokio::time::Instant;
use web::Body;

use crate::uploads::Uploads;

/// The open connections of callers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connections(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    slots: ConnectionSlots,
    /// How each connection is told to close.
    evictions: HashMap<ConnectionId, Arc<Notify>>,
    counts: ConnectionCounts,
}

/// What was done to keep the number of connections within its limit.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ConnectionCounts {
    /// Connections that were closed for new ones.
    pub(crate) evicted: u32,
    /// New connections that were closed because no other could be.
    pub(crate) refused: u32,
}

/// A connection that has a slot until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) id: ConnectionId,
    connections: Connections,
    eviction: Arc<Notify>,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many connections are open.
    pub(crate) fn count(&self) -> usize {
        self.lock().slots.count()
    }

    /// What was done since the last call.
    pub(crate) fn take_counts(&self) -> ConnectionCounts {
        std::mem::take(&mut self.lock().counts)
    }

    /// Opens a connection. At the limit, the one that has waited longest for a whole head is closed for it, or else the one whose body
    /// arrives most slowly. None if all others are busy.
    pub(crate) fn open(&self, limit: usize, uploads: &Uploads) -> Option<OpenConnection> {
        let mut state = self.lock();
        while state.slots.count() >= limit {
            if !state.evict_waiting() && !state.evict_slowest(uploads) {
                state.counts.refused += 1;
                return None;
            }
            state.counts.evicted += 1;
        }
        let id = state.slots.open(Instant::now());
        let eviction = Arc::new(Notify::new());
        state.evictions.insert(id, eviction.clone());
        drop(state);
        Some(OpenConnection { id, connections: self.clone(), eviction })
    }
}

impl State {
    /// Closes the connection that has waited longest for a whole head; false if none waits.
    fn evict_waiting(&mut self) -> bool {
        let Some(id) = self.slots.longest_waiting() else { return false };
        self.slots.close(id);
        if let Some(eviction) = self.evictions.remove(&id) {
            eviction.notify_one();
        }
        true
    }

    /// Frees the slot of the connection whose body arrives most slowly; it is closed once its request is refused.
    fn evict_slowest(&mut self, uploads: &Uploads) -> bool {
        let Some(id) = uploads.evict_slowest() else { return false };
        self.slots.close(id);
        true
    }
}

impl OpenConnection {
    /// Waits until the connection must be closed.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Records that the head of a request has arrived, until what is returned is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestInProgress {
        self.connections.lock().slots.begin_request(self.id);
        RequestInProgress(self.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.slots.close(self.id);
        state.evictions.remove(&self.id);
    }
}

/// Keeps a connection from being closed for another one.
#[derive(Debug)]
pub(crate) struct RequestInProgress(Arc<OpenConnection>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let OpenConnection { id, connections, .. } = &*self.0;
        connections.lock().slots.end_request(*id, Instant::now());
    }
}

/// The body of an answer; its request is in progress until all of it is written to the connection.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    body: Body,
    request: Arc<RequestInProgress>,
}

/// A part of an answer that is dropped once it is written.
struct AnswerData {
    data: Bytes,
    _request: Arc<RequestInProgress>,
}

impl AsRef<[u8]> for AnswerData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl AnswerBody {
    pub(crate) fn new(body: Body, request: RequestInProgress) -> Self {
        Self { body, request: Arc::new(request) }
    }
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let track = |data| {
            let request = self.request.clone();
            Bytes::from_owner(AnswerData { data, _request: request })
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(track))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
