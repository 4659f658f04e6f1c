//! A body that a task writes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::Body;

/// How many pieces a streamed body holds before its writer waits.
const PIECES: usize = 16;

/// Nobody reads the body any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the reader of the body is gone")]
pub struct Closed;

/// Writes a body; one that is dropped without [`BodyWriter::finish`] cuts it, so that a part never looks whole.
#[derive(Debug)]
pub struct BodyWriter(mpsc::Sender<Piece>);

#[derive(Debug)]
enum Piece {
    Data(Bytes),
    Cut(io::Error),
    End,
}

struct Reader(mpsc::Receiver<Piece>);

/// A body and the writer of it.
pub fn channel() -> (BodyWriter, Body) {
    let (sender, receiver) = mpsc::channel(PIECES);
    (BodyWriter(sender), Reader(receiver).boxed_unsync())
}

impl BodyWriter {
    /// Writes a piece; waits while the reader lags.
    pub async fn send(&self, data: Bytes) -> Result<(), Closed> {
        self.0.send(Piece::Data(data)).await.map_err(|_| Closed)
    }

    /// Waits until nobody reads the body any more.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Ends the body; what was written is whole.
    pub async fn finish(self) -> Result<(), Closed> {
        self.0.send(Piece::End).await.map_err(|_| Closed)
    }

    /// Cuts the body with an error that the reader sees.
    pub async fn abort(self, error: io::Error) {
        let _ = self.0.send(Piece::Cut(error)).await;
    }
}

impl hyper::body::Body for Reader {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let piece = ready!(self.0.poll_recv(cx));
        Poll::Ready(match piece {
            Some(Piece::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Piece::Cut(error)) => Some(Err(error)),
            Some(Piece::End) => None,
            None => Some(Err(io::Error::other("the writer of the body is gone"))),
        })
    }
}
