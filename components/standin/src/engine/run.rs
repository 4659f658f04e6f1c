//! One request at an engine: its answer as far as it is made, and the task that makes it.

use std::io::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use edge::PrefixHash;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

use super::Engine;
use super::replica::{Slot, Ticket};
use super::requests::Asked;
use super::tokens::Call;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// It is whole.
    Whole,
    /// It was cancelled or cut.
    Cut,
}

/// How far an answer is made.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    pub(crate) bytes: usize,
    pub(crate) end: Option<End>,
}

/// One request; its whole answer is known from the start and comes in pieces.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) ticket: Ticket,
    pub(crate) path: String,
    pub(crate) call: Call,
    pub(crate) whole: Bytes,
    /// Where the pieces end.
    marks: Vec<usize>,
    /// What another engine made of it before; nothing for requests that began here.
    made: usize,
    progress: watch::Sender<Progress>,
    stop: watch::Sender<bool>,
    started: AtomicBool,
}

impl Run {
    pub(crate) fn new(id: String, ticket: Ticket, asked: Asked) -> Self {
        let Asked { path, call, made, .. } = asked;
        let chunks = call.chunks(&path);
        let marks = chunks.iter().scan(0, |at, chunk| {
            *at += chunk.len();
            Some(*at)
        });
        let marks = marks.collect();
        let whole: Bytes = chunks.concat().into();
        let made = made.min(whole.len());
        let progress = watch::Sender::new(Progress { bytes: made, end: None });
        Self {
            id,
            ticket,
            path,
            call,
            whole,
            marks,
            made,
            progress,
            stop: watch::Sender::new(false),
            started: AtomicBool::new(false),
        }
    }

    /// How much of the answer is made.
    pub(crate) fn made(&self) -> usize {
        self.progress.borrow().bytes
    }

    /// Cuts it if it has not ended; says whether it had not.
    pub(crate) fn stop(&self) -> bool {
        let open = self.progress.borrow().end.is_none();
        self.stop.send_replace(true);
        open
    }

    /// Waits until it has ended.
    pub(crate) async fn ended(&self) {
        let mut progress = self.progress.subscribe();
        let _ = progress.wait_for(|progress| progress.end.is_some()).await;
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    fn reach(&self, bytes: usize) {
        let end = (bytes == self.whole.len()).then_some(End::Whole);
        self.progress.send_replace(Progress { bytes, end });
    }

    fn cut(&self) {
        self.progress.send_modify(|progress| progress.end = Some(End::Cut));
    }
}

impl Engine {
    /// Runs a request once it has a slot, until it is whole or stopped.
    pub(super) async fn generate(self, run: Arc<Run>, slot: oneshot::Receiver<Slot>) {
        let mut stop = run.stop.subscribe();
        let whole = tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => false,
            whole = self.produce(&run, slot) => whole,
        };
        if run.started.load(Ordering::Relaxed) {
            let mut core = self.core();
            let execution = core.truth.executions.entry(run.id.clone()).or_default();
            let count = if whole { &mut execution.finished } else { &mut execution.cancelled };
            *count += 1;
        }
        if whole {
            run.reach(run.whole.len());
        } else {
            run.cut();
        }
    }

    /// Makes all pieces but the last, which is for the caller; false if there was never a slot.
    async fn produce(&self, run: &Run, slot: oneshot::Receiver<Slot>) -> bool {
        let Ok(_slot) = slot.await else { return false };
        run.started.store(true, Ordering::Relaxed);
        let prefill = self.begin(run);
        self.pause(prefill).await;
        if !run.call.stream {
            for _ in 0..run.call.count() {
                self.token(run).await;
            }
            return true;
        }
        // The last piece says only that the stream is done.
        let marks = &run.marks[..run.marks.len() - 1];
        for mark in marks.iter().filter(|mark| **mark > run.made) {
            self.token(run).await;
            run.reach(*mark);
        }
        true
    }

    /// Counts an execution and says how long its prefill takes.
    fn begin(&self, run: &Run) -> Duration {
        let prefix = PrefixHash::of(&run.call.text());
        let mut core = self.core();
        core.truth.executions.entry(run.id.clone()).or_default().runs += 1;
        let hit = core.prefixes.touch(&run.ticket.artifact, prefix);
        core.truth.hits += u64::from(hit);
        let prefill = self.0.settings.first_token.0;
        match (run.made, hit) {
            (0, false) => prefill,
            (0, true) => prefill.mul_f64(self.0.settings.hit),
            _ => Duration::ZERO,
        }
    }

    async fn token(&self, run: &Run) {
        let pace = self.pace(&run.ticket);
        self.pause(pace).await;
        self.core().truth.tokens += 1;
    }

    async fn pause(&self, time: Duration) {
        let slow = self.core().faults.slow;
        sleep(time.mul_f64(slow)).await;
        self.0.freeze.thawed().await;
    }

    /// The time for a token beside the requests that run on the same replica.
    fn pace(&self, ticket: &Ticket) -> Duration {
        let running = self.core().replica(ticket).map_or(1, |replica| replica.running);
        let others = f64::from(running.saturating_sub(1));
        self.0.settings.token.0.mul_f64(1.0 + others * self.0.settings.crowding)
    }

    /// Sends an answer from a byte on as it is made; `cut` ends the sending early.
    pub(super) async fn deliver(
        self,
        run: Arc<Run>,
        from: usize,
        cut: Option<usize>,
        writer: web::BodyWriter,
    ) {
        let mut progress = run.watch();
        let mut at = from;
        loop {
            let now = *progress.borrow_and_update();
            self.0.freeze.thawed().await;
            let upto = cut.map_or(now.bytes, |cut| cut.min(now.bytes));
            if upto > at {
                if writer.send(run.whole.slice(at..upto)).await.is_err() {
                    return;
                }
                at = upto;
            }
            if cut == Some(at) {
                return writer.abort(Error::other("the stream is dropped on purpose")).await;
            }
            match now.end {
                Some(End::Whole) => {
                    let _ = writer.finish().await;
                    return;
                }
                Some(End::Cut) => {
                    return writer.abort(Error::other("the request was cut")).await;
                }
                None => {}
            }
            if progress.changed().await.is_err() {
                return writer.abort(Error::other("the request is gone")).await;
            }
        }
    }
}
