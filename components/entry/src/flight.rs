//! One request under way: from candidate to candidate until it has an outcome, and settled by its deadline.

use std::sync::Arc;
use std::time::Duration;

use process::ShutdownPhase;
use record::KeyClaim;
use timeline::Kind;
use tokio::sync::mpsc;
use tokio::time::Instant;
use units::{EndpointId, RequestId, Span};
use wire::{Outcome, Refusal};

use crate::answer::Message;
use crate::attempt::Step;
use crate::call::Call;
use crate::candidate::Candidate;
use crate::core::Core;
use crate::keys;
use crate::prefix::Prefix;
use crate::relay::Received;
use crate::route::Learned;

/// The most dispatches of one request.
const ATTEMPTS: u32 = 6;
/// How long a request waits for an endpoint to appear where none may serve it.
const PATIENCE: Duration = Duration::from_secs(2);
/// The pause before endpoints whose agents lag behind the log are tried again.
const LAG_PAUSE: Duration = Duration::from_millis(100);
/// How long a forced shutdown waits for proofs.
const FORCE_LIMIT: Duration = Duration::from_millis(500);
/// The part of the time allowed that is kept to settle a request, as a divisor.
const RESERVE_PART: u32 = 10;
const RESERVE_LEAST: Duration = Duration::from_millis(20);
const RESERVE_MOST: Duration = Duration::from_millis(400);
/// When a caller that no endpoint could serve should come back.
const RETRY: Span = Span::secs(2);

/// An agent that may have the request.
#[derive(Debug, Clone)]
pub(crate) struct Placed {
    pub(crate) target: Candidate,
    /// The id under which the agent has it.
    pub(crate) id: RequestId,
}

/// One request under way.
pub(crate) struct Flight {
    pub(crate) core: Arc<Core>,
    pub(crate) call: Call,
    pub(crate) messages: mpsc::Sender<Message>,
    /// When the request is settled if it has no outcome yet.
    pub(crate) cutoff: Instant,
    /// The agents that may have it.
    pub(crate) placed: Vec<Placed>,
    /// What has come of the answer.
    pub(crate) received: Received,
    claim: Option<KeyClaim>,
    /// What it has learned of its candidates.
    pub(crate) learned: Learned,
    attempts: u32,
}

impl Flight {
    pub(crate) fn new(core: Arc<Core>, call: Call, messages: mpsc::Sender<Message>) -> Self {
        let allowed = call.allowed();
        let reserve = (allowed / RESERVE_PART).clamp(RESERVE_LEAST, RESERVE_MOST).min(allowed / 2);
        let prefix =
            call.model().filter(|_| core.affinity).and_then(|model| Prefix::of(&model, &call.body));
        Self {
            cutoff: call.deadline - reserve,
            core,
            call,
            messages,
            placed: Vec::new(),
            received: Received::default(),
            claim: None,
            learned: Learned::new(prefix),
            attempts: 0,
        }
    }

    /// Carries the request to its outcome and tells the caller.
    pub(crate) async fn run(mut self) {
        let caller = self.messages.clone();
        let shutdown = self.core.shutdown.clone();
        let cutoff = tokio::time::sleep_until(self.cutoff);
        let outcome = tokio::select! {
            biased;
            outcome = self.drive() => outcome,
            () = caller.closed() => return self.hang_up().await,
            () = shutdown.reached(ShutdownPhase::Force) => {
                let until = self.call.deadline.min(Instant::now() + FORCE_LIMIT);
                self.settle(Refusal::Shutdown, until).await
            }
            () = cutoff => {
                let until = self.call.deadline - (self.call.deadline - self.cutoff) / 4;
                self.settle(Refusal::Late, until).await
            }
        };
        drop(caller);
        self.finish(outcome).await;
    }

    async fn finish(self, outcome: Outcome<()>) {
        self.core.note_end(&self.call, &outcome);
        if matches!(outcome, Outcome::NotRun(_)) {
            self.withdraw_claim();
        }
        // A caller that does not read until its deadline gets a cut answer.
        let _ =
            tokio::time::timeout_at(self.call.deadline, self.messages.send(Message::End(outcome)))
                .await;
    }

    async fn drive(&mut self) -> Outcome<()> {
        match keys::claim(&self.call, &self.core.instance, &self.core.keys).await {
            Ok(claim) => self.claim = claim,
            Err(refusal) => return Outcome::NotRun(refusal),
        }
        self.core.budget.first();
        let mut last = Refusal::NoEndpoint { retry: RETRY };
        let mut cause = None;
        let patience = Instant::now() + PATIENCE;
        loop {
            let Some(target) = self.next_target() else {
                if is_lag(&last) && Instant::now() < patience {
                    self.await_change().await;
                    continue;
                }
                break;
            };
            if self.attempts == ATTEMPTS || self.attempts > 0 && !self.core.budget.retry() {
                break;
            }
            if self.attempts > 0 {
                metrics::counter!("entry_retries").increment(1);
            }
            self.attempts += 1;
            match self.attempt(&target).await {
                Step::Ended(outcome) => return outcome,
                Step::NotRun(refusal) => {
                    self.learn(&target, &refusal);
                    last = refusal;
                    if last == Refusal::Late {
                        break;
                    }
                }
                Step::Lost(lost) => {
                    self.learned.tried.push((target.endpoint, target.incarnation));
                    cause = Some(lost);
                }
            }
        }
        match cause {
            Some(cause) if !self.placed.is_empty() => Outcome::Unknown(cause),
            _ => Outcome::NotRun(last),
        }
    }

    /// The id under which an agent gets the request: another one where the agent has barred the first.
    pub(crate) fn id_for(&self, endpoint: &EndpointId) -> RequestId {
        let barred = self.learned.barred.iter().filter(|other| *other == endpoint).count();
        if barred == 0 {
            return self.call.request.clone();
        }
        let text = format!("{}.{barred}", self.call.request);
        text.parse().expect("a request id with a short suffix is one")
    }

    /// Waits for news from the log, or a moment for agents to catch up with it; then all may be tried again.
    async fn await_change(&mut self) {
        let mut changes = self.core.journal.changes();
        changes.mark_unchanged();
        let _ = tokio::time::timeout(LAG_PAUSE, changes.changed()).await;
        self.learned.forget();
    }

    /// Lets another request use the key, since this one has not run and never will.
    fn withdraw_claim(&self) {
        if let Some(claim) = &self.claim {
            self.core.keys.withdraw(claim);
        }
    }

    /// Frees what the request holds at agents, since nobody waits for it.
    async fn hang_up(self) {
        let event = self.core.recorder.event(Kind::Cancelled).request(&self.call.request);
        self.core.recorder.record(event.note("the caller hung up"));
        metrics::counter!("entry_hang_ups").increment(1);
        if self.placed.is_empty() {
            self.withdraw_claim();
        }
        if self.call.repeatable {
            self.cancel_all(Instant::now() + FORCE_LIMIT).await;
        }
    }
}

/// Whether the refusal may only mean that an entry or agent has not read the log yet.
fn is_lag(refusal: &Refusal) -> bool {
    match refusal {
        Refusal::NoEndpoint { .. }
        | Refusal::NoGrant
        | Refusal::Leaving
        | Refusal::Incarnation { .. }
        | Refusal::Shutdown => true,
        Refusal::Late
        | Refusal::Hopeless { .. }
        | Refusal::Full { .. }
        | Refusal::LoadFailed { .. }
        | Refusal::Cancelled
        | Refusal::NoClaim { .. }
        | Refusal::KeyTaken
        | Refusal::Endpoint { .. } => false,
    }
}
