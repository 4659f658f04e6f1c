//! One request and its answer, shared by the task that runs it and the readers of its answer.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;
use units::{ModelName, RequestId};
use wire::{Refusal, ResponseEnd, UnknownCause};

use crate::kept::{Answer, AnswerHead, KeptBytes};

/// How far a request is.
#[derive(Debug)]
pub(crate) enum Stage {
    /// It waits for its turn; it may still be refused.
    Queued,
    /// It may have reached the endpoint.
    Running,
    /// The endpoint answers.
    Answering(Answer),
    /// The answer has ended.
    Answered(Answer, ResponseEnd),
    /// It did not run and never will.
    Refused(Refusal),
    /// It may have run; its outcome is lost.
    Unknown(UnknownCause),
}

/// What a reader finds.
#[derive(Debug)]
pub(crate) enum Progress {
    /// Nothing yet.
    Pending,
    /// The head and the bytes that follow the reader's position.
    Bytes(AnswerHead, Vec<Bytes>),
    /// All bytes were read, and the answer has ended.
    Ended(AnswerHead, ResponseEnd),
    /// The request did not run and never will.
    Refused(Refusal),
    /// It may have run; its outcome is lost.
    Unknown(UnknownCause),
}

/// What came of asking for a cancellation.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Cancel {
    /// The request has not run and won't.
    Refused,
    /// It runs and its task has been told to end it.
    Stopping,
    /// It runs on, because it may not be repeated.
    RunsOn,
    /// It has ended already.
    Over,
}

#[derive(Debug)]
struct Inner {
    stage: Stage,
    stopping: bool,
    delivered: bool,
}

/// One request and its answer.
#[derive(Debug)]
pub struct Slot {
    pub(crate) id: RequestId,
    /// The model; tombstones have none.
    pub(crate) model: Option<ModelName>,
    pub(crate) repeatable: bool,
    inner: Mutex<Inner>,
    changed: Notify,
    kept: KeptBytes,
}

impl Slot {
    /// A slot of a new request.
    pub(crate) fn queued(
        id: RequestId,
        model: ModelName,
        repeatable: bool,
        kept: KeptBytes,
    ) -> Self {
        Self::new(id, Some(model), repeatable, Stage::Queued, kept)
    }

    /// A slot that keeps an id from ever running.
    pub(crate) fn tombstone(id: RequestId, kept: KeptBytes) -> Self {
        Self::new(id, None, true, Stage::Refused(Refusal::Cancelled), kept)
    }

    fn new(
        id: RequestId,
        model: Option<ModelName>,
        repeatable: bool,
        stage: Stage,
        kept: KeptBytes,
    ) -> Self {
        let inner = Mutex::new(Inner { stage, stopping: false, delivered: false });
        Self { id, model, repeatable, inner, changed: Notify::new(), kept }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves on if `step` gives a new stage for the present one; says whether it did.
    fn advance(&self, step: impl FnOnce(&Stage) -> Option<Stage>) -> bool {
        let mut inner = self.lock();
        let Some(next) = step(&inner.stage) else { return false };
        inner.stage = next;
        drop(inner);
        self.changed.notify_waiters();
        true
    }

    /// Takes a queued request to running; false if it was refused meanwhile.
    pub(crate) fn start(&self) -> bool {
        self.advance(|stage| matches!(stage, Stage::Queued).then_some(Stage::Running))
    }

    /// Refuses a request that waits; false if it has started or is over.
    pub(crate) fn refuse(&self, refusal: Refusal) -> bool {
        self.advance(|stage| matches!(stage, Stage::Queued).then_some(Stage::Refused(refusal)))
    }

    /// Records that the endpoint proved that it did not run the request.
    pub(crate) fn disprove(&self, refusal: Refusal) -> bool {
        self.advance(|stage| matches!(stage, Stage::Running).then_some(Stage::Refused(refusal)))
    }

    /// Lets a request wait again that the endpoint certainly did not run; false if it was cancelled meanwhile.
    pub(crate) fn requeue(&self) -> bool {
        let mut inner = self.lock();
        if inner.stopping || !matches!(inner.stage, Stage::Running) {
            return false;
        }
        inner.stage = Stage::Queued;
        true
    }

    /// Records the head of the answer.
    pub(crate) fn head(&self, head: AnswerHead) -> bool {
        let answer = Answer::new(head, self.kept.clone());
        self.advance(|stage| matches!(stage, Stage::Running).then_some(Stage::Answering(answer)))
    }

    /// Adds bytes to the answer.
    pub(crate) fn push(&self, bytes: Bytes) {
        let mut inner = self.lock();
        let Stage::Answering(answer) = &mut inner.stage else { return };
        answer.push(bytes);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Waits until the readers have come near enough to the end of what is here.
    pub(crate) async fn room(&self) {
        self.until(|inner| match &inner.stage {
            Stage::Answering(answer) if answer.is_ahead() => None,
            _ => Some(()),
        })
        .await;
    }

    /// Notes that a reader was given the bytes up to `upto`.
    pub(crate) fn taken(&self, upto: u64) {
        let mut inner = self.lock();
        let Stage::Answering(answer) = &mut inner.stage else { return };
        let was_ahead = answer.is_ahead();
        answer.taken(upto);
        let has_room = was_ahead && !answer.is_ahead();
        drop(inner);
        if has_room {
            self.changed.notify_waiters();
        }
    }

    /// Ends the request: whole if `failure` is `None`.
    pub(crate) fn end(&self, failure: Option<UnknownCause>) {
        let mut inner = self.lock();
        let stage = std::mem::replace(&mut inner.stage, Stage::Queued);
        inner.stage = match (stage, failure) {
            (Stage::Answering(answer), None) => {
                let length = answer.length();
                Stage::Answered(answer.joined(), ResponseEnd::Whole { length })
            }
            (Stage::Answering(answer), Some(cause)) => {
                Stage::Answered(answer.joined(), ResponseEnd::Failed(cause))
            }
            (Stage::Running, Some(cause)) => Stage::Unknown(cause),
            (other, _) => other,
        };
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Asks that the request be cancelled.
    pub(crate) fn cancel(&self) -> Cancel {
        if self.refuse(Refusal::Cancelled) {
            return Cancel::Refused;
        }
        let mut inner = self.lock();
        match inner.stage {
            Stage::Running | Stage::Answering(_) if !self.repeatable => Cancel::RunsOn,
            Stage::Running | Stage::Answering(_) => {
                inner.stopping = true;
                drop(inner);
                self.changed.notify_waiters();
                Cancel::Stopping
            }
            Stage::Queued | Stage::Answered(..) | Stage::Refused(_) | Stage::Unknown(_) => {
                Cancel::Over
            }
        }
    }

    /// Waits until `done` holds.
    async fn until<R>(&self, mut done: impl FnMut(&Inner) -> Option<R>) -> R {
        let mut changed = std::pin::pin!(self.changed.notified());
        loop {
            changed.as_mut().enable();
            if let Some(found) = done(&self.lock()) {
                return found;
            }
            changed.as_mut().await;
            changed.set(self.changed.notified());
        }
    }

    /// Waits until the request is no longer queued; true if it shall run.
    pub(crate) async fn turn(&self) -> bool {
        self.until(|inner| match inner.stage {
            Stage::Queued => None,
            Stage::Running => Some(true),
            _ => Some(false),
        })
        .await
    }

    /// Waits until somebody has asked for the cancellation of the running request.
    pub(crate) async fn stopped(&self) {
        self.until(|inner| inner.stopping.then_some(())).await;
    }

    /// Waits until the request is over.
    pub(crate) async fn over(&self) {
        self.until(|inner| inner.stage.is_over().then_some(())).await;
    }

    /// Waits for the head of the answer; gives what follows byte `from` by then, which may be nothing.
    pub(crate) async fn opened(&self, from: u64) -> Progress {
        self.until(|inner| match inner.stage.after(from) {
            Progress::Pending => None,
            found => Some(found),
        })
        .await
    }

    /// Waits for more after byte `from`, or the end.
    pub(crate) async fn next(&self, from: u64) -> Progress {
        self.until(|inner| match inner.stage.after(from) {
            Progress::Pending => None,
            Progress::Bytes(_, chunks) if chunks.is_empty() => None,
            found => Some(found),
        })
        .await
    }

    /// What follows byte `from` now.
    #[cfg(test)]
    pub(crate) fn now(&self, from: u64) -> Progress {
        self.lock().stage.after(from)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.lock().stage.is_over()
    }

    /// Why the request did not run, if it is known not to have.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        match &self.lock().stage {
            Stage::Refused(refusal) => Some(refusal.clone()),
            _ => None,
        }
    }

    /// The outcome in a few words, for the time line.
    pub(crate) fn summary(&self) -> String {
        match &self.lock().stage {
            Stage::Queued | Stage::Running | Stage::Answering(_) => "not over".to_owned(),
            Stage::Answered(_, ResponseEnd::Whole { length }) => format!("served, {length} bytes"),
            Stage::Answered(_, ResponseEnd::Failed(cause)) | Stage::Unknown(cause) => {
                format!("unknown: {cause}")
            }
            Stage::Refused(refusal) => format!("not run: {refusal}"),
        }
    }

    /// How many bytes of the answer are here; `None` before its head.
    pub(crate) fn length(&self) -> Option<u64> {
        match &self.lock().stage {
            Stage::Answering(answer) | Stage::Answered(answer, _) => Some(answer.length()),
            Stage::Queued | Stage::Running | Stage::Refused(_) | Stage::Unknown(_) => None,
        }
    }

    /// Notes that a reader was given the whole answer.
    pub(crate) fn delivered(&self) {
        self.lock().delivered = true;
    }

    /// Drops the bytes of an answer that has ended and was delivered; says how many.
    pub(crate) fn shrink(&self) -> u64 {
        let mut inner = self.lock();
        if !inner.delivered {
            return 0;
        }
        match &mut inner.stage {
            Stage::Answered(answer, _) => answer.forget(),
            _ => 0,
        }
    }
}

impl Stage {
    fn is_over(&self) -> bool {
        match self {
            Self::Queued | Self::Running | Self::Answering(_) => false,
            Self::Answered(..) | Self::Refused(_) | Self::Unknown(_) => true,
        }
    }

    fn after(&self, from: u64) -> Progress {
        match self {
            Self::Queued | Self::Running => Progress::Pending,
            Self::Refused(refusal) => Progress::Refused(refusal.clone()),
            Self::Unknown(cause) => Progress::Unknown(cause.clone()),
            Self::Answering(answer) => answer.after(from),
            Self::Answered(answer, _) if answer.length() > from => answer.after(from),
            Self::Answered(answer, end) => Progress::Ended(answer.head(), end.clone()),
        }
    }
}

#[cfg(test)]
mod tests;
