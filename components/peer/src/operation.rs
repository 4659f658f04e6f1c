//! Sends and receives through nng, one operation at a time, awaited by a task.

use bytes::Bytes;
use nng::{Aio, AioResult, Context, Message, Socket};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// The largest message that is accepted from a peer, in bytes; the largest message sent is a snapshot of the state.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A context of an nng socket, with a callback of its own.
pub(crate) struct Operation {
    results: UnboundedReceiver<(Aio, AioResult)>,
    context: Context,
    aio: Aio,
    /// Keeps the socket open for as long as this context exists: nng closes a socket with its last handle, and frees it
    /// even while contexts still use it.
    _socket: Socket,
}

impl Operation {
    pub(crate) fn new(socket: &Socket) -> nng::Result<Self> {
        let context = Context::new(socket)?;
        let (done, results) = unbounded_channel();
        // The callback passes its clone of the handle on: dropping the last clone inside a callback would deadlock.
        let aio = Aio::new(move |aio, result| drop(done.send((aio, result))))?;
        Ok(Self { results, context, aio, _socket: socket.clone() })
    }

    pub(crate) async fn send(&mut self, message: &[u8]) -> nng::Result<()> {
        count_bytes("out", message.len());
        self.context.send(&self.aio, Message::from(message)).map_err(|(_, error)| error)?;
        self.finish().await.map(drop)
    }

    pub(crate) async fn receive(&mut self) -> nng::Result<Bytes> {
        self.context.recv(&self.aio)?;
        let message = self.finish().await?;
        let message = message.map(|message| Bytes::copy_from_slice(&message)).unwrap_or_default();
        count_bytes("in", message.len());
        Ok(message)
    }

    async fn finish(&mut self) -> nng::Result<Option<Message>> {
        match self.results.recv().await {
            Some((_, result)) => result.into(),
            None => Err(nng::Error::Closed),
        }
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        // Closes the context rather than cancelling the operation: nng would free the context during the cancellation
        // if the socket were closed at the same time.
        self.context.close();
        self.aio.wait();
    }
}

/// Counts the bytes that this process sends and receives on control sockets, as a client and as a server.
fn count_bytes(direction: &'static str, bytes: usize) {
    metrics::counter!("hyssop_control_bytes_total", "direction" => direction)
        .increment(bytes as u64);
}
