//! How a request ends.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{Incarnation, Span};

/// How a request ended; the three never mix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The endpoint ran it and the whole answer is here.
    Served(T),
    /// It certainly did not run and never will.
    NotRun(Refusal),
    /// It may have run; nothing more can be learned in time.
    Unknown(UnknownCause),
}

/// Why a request was not run; each is a proof that it did not and will not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case", tag = "refusal")]
pub enum Refusal {
    /// The request was never sent to an endpoint before its deadline.
    #[error("no endpoint could take the request before its deadline")]
    Late,
    /// The estimated wait is longer than the time left.
    #[error("the wait would be about {wait}, longer than the deadline allows")]
    Hopeless {
        /// The estimate.
        wait: Span,
    },
    /// The queue is full.
    #[error("the queue is full")]
    Full {
        /// When to come back.
        retry: Span,
    },
    /// The agent is leaving.
    #[error("the endpoint is leaving")]
    Leaving,
    /// The dispatch named another incarnation of the agent.
    #[error("the agent is incarnation {current}")]
    Incarnation {
        /// The incarnation that answers.
        current: Incarnation,
    },
    /// The agent holds no grant for the model.
    #[error("the endpoint has no grant for the model")]
    NoGrant,
    /// The model could not be loaded.
    #[error("the model could not be loaded: {cause}")]
    LoadFailed {
        /// What the engine said.
        cause: String,
    },
    /// The request was cancelled while it waited, or its id is barred from running.
    #[error("the request was cancelled before it ran")]
    Cancelled,
    /// No endpoint is known that may serve the model.
    #[error("no endpoint serves it now")]
    NoEndpoint {
        /// When to come back.
        retry: Span,
    },
    /// The log can't be written, so the idempotency key can't be claimed.
    #[error("the idempotency key can't be claimed now")]
    NoClaim {
        /// When to come back.
        retry: Span,
    },
    /// Another request holds the idempotency key.
    #[error("another request has used the idempotency key")]
    KeyTaken,
    /// The endpoint itself refused before running it.
    #[error("the endpoint refused the request: {cause}")]
    Endpoint {
        /// What it said.
        cause: String,
    },
    /// The process ends before the request could start.
    #[error("the process is shutting down")]
    Shutdown,
}

/// Why an outcome is not known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case", tag = "unknown")]
pub enum UnknownCause {
    /// The deadline came while it may have been running.
    #[error("the deadline came while the request may have been running")]
    Deadline,
    /// The agent that had it is gone.
    #[error("the agent that had the request is gone")]
    AgentGone,
    /// The endpoint failed while running it.
    #[error("the endpoint failed while running the request: {cause}")]
    Endpoint {
        /// What was seen.
        cause: String,
    },
    /// Its answer is no longer kept.
    #[error("the request ran, but its answer is no longer kept")]
    AnswerDropped,
}
