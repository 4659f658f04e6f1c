//! Control messages between processes. All of them are idempotent, so they may be sent again or get lost.

use serde::{Deserialize, Serialize};
use timeline::Tick;
use units::{InstanceId, ModelName, Offset, ReplicaIndex};

/// A control message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "control")]
pub enum Control {
    /// Reports the sender's position in the log; the answer has the receiver's.
    Heartbeat {
        /// The sender.
        from: InstanceId,
        /// The newest offset that the sender has applied.
        applied: Offset,
        /// The sender's logical clock.
        tick: Tick,
    },
    /// Asks for records that the sender lacks.
    Fetch {
        /// The newest offset that the sender has, for comparison, or the first that it lacks.
        from: Offset,
    },
    /// Asks for the complete state, if the log no longer has the records that the sender needs.
    FetchState,
    /// Sends records to a peer that lacks them; the answer is the peer's position.
    Offer {
        /// Offsets and texts of the records, in order and without a gap; the first is the newest one that the peer has.
        records: Vec<(Offset, String)>,
    },
    /// Sends the complete state to a peer that has none; the answer is the peer's position.
    OfferState {
        /// The newest offset that the state includes.
        upto: Offset,
        /// The text of the snapshot.
        data: String,
    },
    /// Activates a replica before requests reach it.
    Wake {
        /// The model.
        model: ModelName,
        /// The index of the replica.
        index: ReplicaIndex,
        /// The sender's logical clock.
        tick: Tick,
    },
    /// Tells an agent that the platform's list marks its instance as leaving.
    Leaving {
        /// The instance. Another instance that has since taken over its address ignores the message.
        instance: InstanceId,
    },
    /// Asks an entry for the demand since the previous such message.
    FetchDemand,
}

/// The demand for one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: ModelName,
    /// The number of requests received.
    pub requests: u32,
    /// The number of requests refused for lack of capacity.
    pub refused: u32,
}

/// The answer to a control message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The answer to a heartbeat, an offer or a wake: the position in the log.
    Position {
        /// The newest offset that the answering process has applied.
        applied: Offset,
        /// The logical clock of the answering process.
        tick: Tick,
        /// The answering instance: another one may have taken over the address.
        #[serde(default)]
        from: Option<InstanceId>,
    },
    /// The answer to a fetch: records in order and without a gap; empty if the answering process does not keep them.
    Records {
        /// Offsets and texts of the records.
        records: Vec<(Offset, String)>,
    },
    /// The answer to a fetch of the state: a snapshot that includes the records up to `upto`.
    State {
        /// The newest offset that the state includes.
        upto: Offset,
        /// The text of the snapshot.
        data: String,
    },
    /// The answer to a fetch of demand.
    Demand {
        /// The demand since the previous fetch, by model.
        demand: Vec<Demand>,
    },
    /// The message was not understood.
    Unknown,
}
