//! One nng operation at a time, awaited by a task.

use bytes::Bytes;
use nng::{Aio, AioResult, Context, Message, Socket};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// The largest message that is taken from a peer; a snapshot of the state is the largest that is sent.
pub(crate) const MESSAGE_LIMIT: usize = 64 << 20;

/// A context of a socket with its own nng callback.
pub(crate) struct Operation {
    results: UnboundedReceiver<(Aio, AioResult)>,
    context: Context,
    aio: Aio,
    /// Closed by the last to drop it, so never under a context: nng frees the socket beneath it.
    _socket: Socket,
}

impl Operation {
    pub(crate) fn new(socket: &Socket) -> nng::Result<Self> {
        let context = Context::new(socket)?;
        let (done, results) = unbounded_channel();
        // The callback hands its clone of the handle over: freeing the last one in a callback would deadlock.
        let aio = Aio::new(move |aio, result| drop(done.send((aio, result))))?;
        Ok(Self { results, context, aio, _socket: socket.clone() })
    }

    pub(crate) async fn send(&mut self, message: &[u8]) -> nng::Result<()> {
        count("out", message.len());
        self.context.send(&self.aio, Message::from(message)).map_err(|(_, error)| error)?;
        self.finish().await.map(drop)
    }

    pub(crate) async fn receive(&mut self) -> nng::Result<Bytes> {
        self.context.recv(&self.aio)?;
        let message = self.finish().await?;
        let message = message.map(|message| Bytes::copy_from_slice(&message)).unwrap_or_default();
        count("in", message.len());
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
        // Not a cancel: nng frees the context under it when the socket closes at the same time.
        self.context.close();
        self.aio.wait();
    }
}

/// Counts what this process sends and gets on control sockets, as a client and as a server.
fn count(direction: &'static str, bytes: usize) {
    metrics::counter!("hyssop_control_bytes_total", "direction" => direction)
        .increment(bytes as u64);
}
