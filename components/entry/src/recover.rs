//! What is done when a stream is lost or the deadline nears: ask on a new connection, cancel, and learn
//! whether the request ran.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use timeline::Kind;
use tokio::time::Instant;
use wire::{Outcome, RESUME_PATH, Refusal, Resume, UnknownCause};

use crate::attempt::post;
use crate::candidate::{Candidate, in_charge};
use crate::core::Core;
use crate::flight::{Flight, Placed};
use crate::link::Line;
use crate::relay::Relayed;

/// How long an agent that can't be reached is asked for a request that must not run twice.
const PATIENCE: Duration = Duration::from_secs(5);
/// The first pause between two tries; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The shortest wait for the answer to a cancel before another connection is tried.
const CANCEL_LEAST: Duration = Duration::from_millis(5);
/// How long a cancel that nobody waits for is tried.
const CANCEL_LATER: Duration = Duration::from_secs(1);
/// The longest refusal that an agent sends.
const REFUSAL_LIMIT: usize = 64 << 10;

/// An agent's answer with the connection it comes on.
pub(crate) struct Reply {
    pub(crate) line: Line,
    pub(crate) response: Response<Incoming>,
}

/// What a cancel has shown.
enum Proof {
    /// The request did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
    /// It had been answered already.
    Answered(Box<Reply>),
}

impl Flight {
    /// Asks the agent on a new connection for the rest of the answer.
    pub(crate) async fn recover(
        &mut self,
        placed: &Placed,
        mut broken: u64,
    ) -> Result<Reply, UnknownCause> {
        let give_up = Instant::now() + PATIENCE;
        let mut pause = FIRST_PAUSE;
        loop {
            self.note(Kind::Resumed, &placed.target);
            metrics::counter!("entry_resumes").increment(1);
            let resume = resume_for(&self.core, placed, self.received.bytes, false);
            match ask(&self.core, placed, &resume, broken, None).await {
                Ok(reply) => return Ok(reply),
                Err(generation) => broken = generation,
            }
            self.note_failure(&placed.target);
            if self.should_give_up(placed) || Instant::now() >= give_up {
                return Err(UnknownCause::AgentGone);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Whether an agent that can't be reached need not be asked again: it is gone, or the request can run elsewhere.
    fn should_give_up(&self, placed: &Placed) -> bool {
        let Candidate { endpoint, incarnation, .. } = &placed.target;
        let here = self.core.journal.read(|state| in_charge(state, endpoint, *incarnation));
        let free = self.call.repeatable && !self.received.begun;
        !here || free && self.has_other(endpoint)
    }

    /// Ends a request that has no outcome yet: cancels it and waits for proofs until `until`.
    pub(crate) async fn settle(&mut self, refusal: Refusal, until: Instant) -> Outcome<()> {
        if self.received.begun {
            self.cancel_later();
            return Outcome::Unknown(UnknownCause::Deadline);
        }
        let settled = tokio::time::timeout_at(until, self.settle_all(refusal, until));
        settled.await.unwrap_or(Outcome::Unknown(UnknownCause::Deadline))
    }

    /// Cancels the request wherever it may be.
    pub(crate) async fn cancel_all(&self, until: Instant) {
        let cancels = self.placed.iter().map(|placed| cancel(&self.core, placed, until));
        let _ = tokio::time::timeout_at(until, join_all(cancels)).await;
    }

    async fn settle_all(&mut self, refusal: Refusal, until: Instant) -> Outcome<()> {
        let placed = std::mem::take(&mut self.placed);
        let cancels = placed.iter().map(|placed| cancel(&self.core, placed, until));
        let proofs = join_all(cancels).await;
        let mut outcome = Outcome::NotRun(refusal);
        for (placed, proof) in placed.iter().zip(proofs) {
            match proof {
                Proof::NotRun => continue,
                Proof::Unknown => {}
                Proof::Answered(reply) => {
                    if self.finish_answer(placed, *reply).await {
                        return Outcome::Served(());
                    }
                }
            }
            outcome = Outcome::Unknown(UnknownCause::Deadline);
        }
        outcome
    }

    /// Passes on an answer that was there when the request was cancelled.
    async fn finish_answer(&mut self, placed: &Placed, reply: Reply) -> bool {
        self.received.restart();
        matches!(self.relay(&placed.target, reply.response).await, Relayed::Whole)
    }

    /// Frees what a repeatable request holds, without waiting for it.
    fn cancel_later(&self) {
        if !self.call.repeatable {
            return;
        }
        let until = Instant::now() + CANCEL_LATER;
        for placed in self.placed.clone() {
            let core = self.core.clone();
            tokio::spawn(async move {
                let _ = tokio::time::timeout_at(until, cancel(&core, &placed, until)).await;
            });
        }
    }
}

/// Cancels a request at an agent; each try that finds no answer is followed by one on a newer connection.
async fn cancel(core: &Core, placed: &Placed, until: Instant) -> Proof {
    let mut broken = 0;
    loop {
        let resume = resume_for(core, placed, 0, true);
        let left = until.saturating_duration_since(Instant::now());
        let limit = (left / 3).max(CANCEL_LEAST);
        match ask(core, placed, &resume, broken, Some(limit)).await {
            Ok(reply) => return read_proof(reply).await,
            Err(generation) => broken = generation,
        }
        tokio::time::sleep(CANCEL_LEAST).await;
    }
}

async fn read_proof(reply: Reply) -> Proof {
    match reply.response.status() {
        StatusCode::GONE => Proof::Unknown,
        StatusCode::CONFLICT => {
            let bytes = web::read(reply.response.into_body(), REFUSAL_LIMIT).await;
            let refused =
                bytes.is_ok_and(|bytes| serde_json::from_slice::<Refusal>(&bytes).is_ok());
            if refused { Proof::NotRun } else { Proof::Unknown }
        }
        _ => Proof::Answered(Box::new(reply)),
    }
}

/// Asks an agent on a connection newer than the broken one; an error names the newest one that failed.
async fn ask(
    core: &Core,
    placed: &Placed,
    resume: &Resume,
    broken: u64,
    limit: Option<Duration>,
) -> Result<Reply, u64> {
    let mut line = match core.links.line(placed.target.addr, Some(broken)).await {
        Ok(line) => line,
        Err(error) => {
            log::debug!("entry: {error}");
            return Err(broken);
        }
    };
    let mut request = post(&placed.target, RESUME_PATH, Bytes::new());
    resume.write(request.headers_mut());
    let sent = match limit {
        None => line.send(request).await.ok(),
        Some(limit) => {
            let sent = tokio::time::timeout(limit, line.send(request)).await;
            sent.ok().and_then(Result::ok)
        }
    };
    match sent {
        Some(response) => Ok(Reply { line, response }),
        None => Err(line.generation),
    }
}

fn resume_for(core: &Core, placed: &Placed, from: u64, cancel: bool) -> Resume {
    Resume {
        request: placed.id.clone(),
        incarnation: placed.target.incarnation,
        from,
        cancel,
        tick: core.recorder.clock().tick(),
    }
}
