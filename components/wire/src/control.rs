//! Control messages between processes; all idempotent, so they may be repeated or lost.

use serde::{Deserialize, Serialize};
use timeline::Tick;
use units::{InstanceId, ModelName, Offset, ReplicaIndex};

/// A control message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "control")]
pub enum Control {
    /// Compares positions in the log.
    Heartbeat {
        /// The sender.
        from: InstanceId,
        /// The newest offset it has applied.
        applied: Offset,
        /// Its logical clock.
        tick: Tick,
    },
    /// Asks for records that the sender misses.
    Fetch {
        /// The newest offset it has, to compare, or the first that it misses.
        from: Offset,
    },
    /// Asks for the whole folded state, when the log no longer has what the sender needs.
    FetchState,
    /// Gives records to a peer that misses them; answered by the peer's position.
    Offer {
        /// Offsets and the records' text, in order, with no gap; first the newest one that the peer has.
        records: Vec<(Offset, String)>,
    },
    /// Gives the folded state to a peer that has none; answered by the peer's position.
    OfferState {
        /// The newest offset in it.
        upto: Offset,
        /// The snapshot's text.
        data: String,
    },
    /// Wakes a replica before requests reach it.
    Wake {
        /// The model.
        model: ModelName,
        /// Which replica.
        index: ReplicaIndex,
        /// The sender's logical clock.
        tick: Tick,
    },
    /// Tells an agent that the platform's list shows its instance as leaving.
    Leaving {
        /// The instance; another that has taken its address over is not meant.
        instance: InstanceId,
    },
    /// Asks an entry for the demand that it has seen since it was asked last.
    FetchDemand,
}

/// Demand for one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: ModelName,
    /// Requests that came.
    pub requests: u32,
    /// Requests that were refused for lack of capacity.
    pub refused: u32,
}

/// The answer to a control message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// To a heartbeat, an offer or a wake.
    Position {
        /// The newest offset the answerer has applied.
        applied: Offset,
        /// Its logical clock.
        tick: Tick,
        /// Who answers: an address may have passed to another instance.
        #[serde(default)]
        from: Option<InstanceId>,
    },
    /// To a fetch: records with their offsets, in order, with no gap; empty if it does not keep them.
    Records {
        /// Offsets and the records' text.
        records: Vec<(Offset, String)>,
    },
    /// To a fetch of the state: a snapshot's text, folded up to `upto`.
    State {
        /// The newest offset in it.
        upto: Offset,
        /// The snapshot's text.
        data: String,
    },
    /// To a fetch of demand.
    Demand {
        /// Requests since the last fetch, by model.
        demand: Vec<Demand>,
    },
    /// The message was not understood.
    Unknown,
}
