//! What a run has seen: what callers were told, and what the stand-ins know to be true.

use std::time::Duration;

use tree::Class;
use units::{ModelName, RequestId, Revision};

/// How a caller's request ended, as the caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Ending {
    /// A whole answer.
    Served,
    /// A refusal that says "not run".
    NotRun,
    /// An answer that says the outcome is unknown.
    Unknown,
    /// The connection ended before the answer did.
    Cut,
    /// Nothing came.
    Silent,
}

/// What a caller sent and was told.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// When it should have been sent; latency counts from here.
    pub(crate) at: Duration,
    /// When its first token came.
    pub(crate) first: Option<Duration>,
    /// When its answer had ended.
    pub(crate) done: Duration,
    /// The longest it may take.
    pub(crate) deadline: Duration,
    /// Its class.
    pub(crate) class: Class,
    /// The model or service asked for.
    pub(crate) target: String,
    /// The entry it was sent to.
    pub(crate) entry: String,
    /// Its id, as the answer named it.
    pub(crate) request: Option<RequestId>,
    /// Its idempotency key, if it may not be repeated.
    pub(crate) key: Option<String>,
    /// The status of the answer; 0 if none came.
    pub(crate) status: u16,
    /// How it ended.
    pub(crate) ending: Ending,
    /// Whether a served answer is the one to this request.
    pub(crate) own: bool,
    /// The start of the answer, for people.
    pub(crate) text: String,
}

/// The runs of one request at one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Execution {
    /// The request.
    pub(crate) request: RequestId,
    /// The endpoint.
    pub(crate) endpoint: String,
    /// How many runs it began.
    pub(crate) runs: u32,
}

/// The replicas of one model at one moment.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaSample {
    /// When.
    pub(crate) at: Duration,
    /// The model with its version.
    pub(crate) artifact: ModelName,
    /// The endpoints whose engines hold it, loading and unloading included.
    pub(crate) loaded: Vec<String>,
    /// The endpoints that had a grant for it at some time while the inventories were read.
    pub(crate) granted: Vec<String>,
    /// How many grants for it there were after that.
    pub(crate) decided: usize,
}

/// The most accelerator memory that an engine held.
#[derive(Debug, Clone)]
pub(crate) struct MemoryMark {
    /// The endpoint.
    pub(crate) endpoint: String,
    /// What it has, in bytes.
    pub(crate) capacity: u64,
    /// The most it held, in bytes.
    pub(crate) high: u64,
}

/// A time in which something held for a process or endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Period {
    /// The process or endpoint.
    pub(crate) name: String,
    /// When it began.
    pub(crate) from: Duration,
    /// When it ended.
    pub(crate) to: Duration,
}

/// A planned stop of a process.
#[derive(Debug, Clone)]
pub(crate) struct Stop {
    /// The process and the time from the signal to its end.
    pub(crate) period: Period,
    /// Whether it ended with exit code 0.
    pub(crate) clean: bool,
}

/// A configuration that was accepted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Publish {
    /// When the operator was told so.
    pub(crate) at: Duration,
    /// Its revision.
    pub(crate) revision: Revision,
}

/// The configuration in force at a process at one moment.
#[derive(Debug, Clone)]
pub(crate) struct RevisionSample {
    /// When.
    pub(crate) at: Duration,
    /// The process.
    pub(crate) process: String,
    /// When it was last started.
    pub(crate) up: Duration,
    /// The revision that it says is in force.
    pub(crate) revision: Revision,
}

/// All that a run has seen.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Callers' requests.
    pub(crate) calls: Vec<Call>,
    /// Executions at endpoints.
    pub(crate) executions: Vec<Execution>,
    /// Replicas over time.
    pub(crate) replicas: Vec<ReplicaSample>,
    /// High-water marks of engines.
    pub(crate) memory: Vec<MemoryMark>,
    /// Times in which an endpoint was leaving.
    pub(crate) departures: Vec<Period>,
    /// Planned stops.
    pub(crate) stops: Vec<Stop>,
    /// Times in which a process was killed or paused without a plan.
    pub(crate) crashes: Vec<Period>,
    /// Accepted configurations.
    pub(crate) publishes: Vec<Publish>,
    /// Configurations in force.
    pub(crate) revisions: Vec<RevisionSample>,
}

impl Period {
    /// Whether any of the time from `from` to `to` lies within.
    pub(crate) fn overlaps(&self, from: Duration, to: Duration) -> bool {
        self.from <= to && from <= self.to
    }
}

impl Evidence {
    /// How often a request was run.
    pub(crate) fn runs_of(&self, request: &RequestId) -> u32 {
        let own = self.executions.iter().filter(|execution| execution.request == *request);
        own.map(|execution| execution.runs).sum()
    }

    /// Whether the entry that a call went to crashed while the call was open.
    pub(crate) fn entry_crashed(&self, call: &Call) -> bool {
        self.crashes
            .iter()
            .any(|crash| crash.name == call.entry && crash.overlaps(call.at, call.done))
    }
}
