//! The outcomes of requests.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{Incarnation, Span};

/// The outcome of a request; exactly one of the three applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The endpoint ran the request, and the complete answer has arrived.
    Served(T),
    /// The request certainly did not run and never will.
    NotRun(Refusal),
    /// The request may have run; whether it did can't be determined in time.
    Unknown(UnknownCause),
}

/// Why a request was not run; each refusal guarantees that it has not run and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case", tag = "refusal")]
pub enum Refusal {
    /// The request was never sent to an endpoint before its deadline.
    #[error("no endpoint could take the request before its deadline")]
    Late,
    /// The estimated wait is longer than the time left.
    #[error("the wait would be about {wait}, longer than the deadline allows")]
    Hopeless {
        /// The estimated wait.
        wait: Span,
    },
    /// The queue is full.
    #[error("the queue is full")]
    Full {
        /// When the caller should retry.
        retry: Span,
    },
    /// The agent accepts no new work: it is leaving, or it has no valid lease on its endpoint.
    #[error("the endpoint is leaving")]
    Leaving,
    /// The dispatch named another incarnation of the agent.
    #[error("the agent is incarnation {current}")]
    Incarnation {
        /// The current incarnation of the agent.
        current: Incarnation,
    },
    /// The agent holds no grant for the model.
    #[error("the endpoint has no grant for the model")]
    NoGrant,
    /// The model could not be loaded.
    #[error("the model could not be loaded: {cause}")]
    LoadFailed {
        /// The error that the engine reported.
        cause: String,
    },
    /// The request was cancelled while it waited, or its id is blocked from running.
    #[error("the request was cancelled before it ran")]
    Cancelled,
    /// No known endpoint may serve the model.
    #[error("no endpoint serves it now")]
    NoEndpoint {
        /// When the caller should retry.
        retry: Span,
    },
    /// The log can't be written, so the idempotency key can't be claimed.
    #[error("the idempotency key can't be claimed now")]
    NoClaim {
        /// When the caller should retry.
        retry: Span,
    },
    /// Another request holds the idempotency key.
    #[error("another request has used the idempotency key")]
    KeyTaken,
    /// The endpoint itself refused the request before running it.
    #[error("the endpoint refused the request: {cause}")]
    Endpoint {
        /// The error that the endpoint reported.
        cause: String,
    },
    /// The process shut down before the request could start.
    #[error("the process is shutting down")]
    Shutdown,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case", tag = "unknown")]
pub enum UnknownCause {
    /// The deadline passed while the request may have been running.
    #[error("the deadline came while the request may have been running")]
    Deadline,
    /// The agent that had the request is gone.
    #[error("the agent that had the request is gone")]
    AgentGone,
    /// The endpoint failed while running the request.
    #[error("the endpoint failed while running the request: {cause}")]
    Endpoint {
        /// The failure that was observed.
        cause: String,
    },
    /// The request ran, but its answer is no longer kept.
    #[error("the request ran, but its answer is no longer kept")]
    AnswerDropped,
}
