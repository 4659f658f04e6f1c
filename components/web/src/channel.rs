//! A body that a task writes chunk by chunk.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{Body, ByteBudget, ReservedBytes};

/// How many chunks a streamed body buffers before its writer has to wait.
const MAX_BUFFERED_CHUNKS: usize = 16;
/// How many bytes it buffers, until they are written to the connection. A larger chunk waits until the buffer is empty.
const MAX_BUFFERED_BYTES: u32 = 16 << 10;

/// The body was dropped, so nobody reads it any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the reader of the body is gone")]
pub struct Closed;

/// Writes a body. Dropping the writer without [`BodyWriter::finish`] aborts the body, so that the reader never takes a
/// partial body for a complete one.
#[derive(Debug)]
pub struct BodyWriter {
    chunks: mpsc::Sender<Chunk>,
    /// The bytes for which the buffer has room.
    room: Arc<Semaphore>,
    /// Memory that the buffers of several bodies share.
    budget: Option<ByteBudget>,
}

#[derive(Debug)]
enum Chunk {
    Data(BufferedData),
    Aborted(io::Error),
    End,
}

/// Data that takes room in the buffer until it is dropped.
#[derive(Debug)]
struct BufferedData {
    data: Bytes,
    _room: OwnedSemaphorePermit,
    _reserved: Option<ReservedBytes>,
}

impl AsRef<[u8]> for BufferedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

struct Reader(mpsc::Receiver<Chunk>);

/// Creates a body and the writer that fills it.
pub fn channel() -> (BodyWriter, Body) {
    channel_with(None)
}

/// Creates a body whose buffer holds more than one chunk only while the budget, which other bodies share, has memory for it. Callers
/// that read slowly can't keep the bodies of others from going on.
pub fn channel_within(budget: &ByteBudget) -> (BodyWriter, Body) {
    channel_with(Some(budget.clone()))
}

fn channel_with(budget: Option<ByteBudget>) -> (BodyWriter, Body) {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let room = Arc::new(Semaphore::new(MAX_BUFFERED_BYTES as usize));
    (BodyWriter { chunks: sender, room, budget }, Reader(receiver).boxed_unsync())
}

impl BodyWriter {
    /// Writes a chunk; waits while the buffer is full.
    pub async fn send(&self, data: Bytes) -> Result<(), Closed> {
        let size = u32::try_from(data.len()).unwrap_or(u32::MAX).min(MAX_BUFFERED_BYTES);
        let mut room = self.acquire(size).await?;
        let mut reserved = self.budget.as_ref().map(ByteBudget::reservation);
        if reserved.as_mut().is_some_and(|reserved| !reserved.resize(data.len())) {
            // No other chunk has room then.
            room.merge(self.acquire(MAX_BUFFERED_BYTES - size).await?);
        }
        let data = BufferedData { data, _room: room, _reserved: reserved };
        self.chunks.send(Chunk::Data(data)).await.map_err(|_| Closed)
    }

    async fn acquire(&self, bytes: u32) -> Result<OwnedSemaphorePermit, Closed> {
        // Once the body is dropped, its chunks are, and there is room.
        self.room.clone().acquire_many_owned(bytes).await.map_err(|_| Closed)
    }

    /// Waits until the body is dropped, so that nobody reads it any more.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body, which is complete.
    pub async fn finish(self) -> Result<(), Closed> {
        self.chunks.send(Chunk::End).await.map_err(|_| Closed)
    }

    /// Aborts the body with an error, which the reader receives.
    pub async fn abort(self, error: io::Error) {
        let _ = self.chunks.send(Chunk::Aborted(error)).await;
    }
}

impl hyper::body::Body for Reader {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let chunk = ready!(self.0.poll_recv(cx));
        Poll::Ready(match chunk {
            Some(Chunk::Data(data)) => Some(Ok(Frame::data(Bytes::from_owner(data)))),
            Some(Chunk::Aborted(error)) => Some(Err(error)),
            Some(Chunk::End) => None,
            None => Some(Err(io::Error::other("the writer of the body is gone"))),
        })
    }
}

#[cfg(test)]
mod tests;
