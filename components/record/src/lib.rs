//! Records of the log: what the processes agree on.
//!
//! A record is one JSON object. Its offset, which the log service gives it, is part of its meaning:
//! a claim's offset is the new planner epoch, an attach's offset the new incarnation, an edit's
//! offset the new revision.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tree::Edit;
use units::{
    Domain, EndpointId, Epoch, Incarnation, InstanceId, KeyHash, ModelName, Offset, ReplicaIndex,
    RequestId, ServiceName, Size,
};

/// The newest version of the record format that this code can apply.
pub const FORMAT_VERSION: u32 = 1;

/// For how many offsets the ids of records are remembered, and how long a record may be on its way.
pub const RECORD_WINDOW_OFFSETS: u64 = 4096;

/// How many cached checkpoints of an endpoint are kept; each process holds those of all endpoints.
pub const MAX_CACHED_CHECKPOINTS: usize = 32;

/// One record with its envelope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The oldest format version that can apply the record; a reader below it stops deciding anything.
    pub needs: u32,
    /// Unique for good, so that a repeated append has one effect.
    pub id: String,
    /// The writer.
    pub from: InstanceId,
    /// The writer's logical clock.
    pub tick: u64,
    /// The newest offset that the writer had applied when it made the record; a record that surfaces
    /// more than [`RECORD_WINDOW_OFFSETS`] offsets later is void.
    #[serde(default)]
    pub seen: Offset,
    /// What it says.
    pub body: Body,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Body {
    /// An operator's edit of the settings tree.
    Edit(Edit),
    /// A process takes the planner lease; valid only while `previous` is still the current epoch.
    Claim {
        /// The epoch that the claim replaces.
        previous: Epoch,
    },
    /// The planner shows that it lives.
    Renew {
        /// Its epoch.
        epoch: Epoch,
    },
    /// The planner gives its lease up.
    Resign {
        /// Its epoch.
        epoch: Epoch,
    },
    /// Decisions of the planner, applied in order, each valid or void by itself.
    Decide {
        /// The planner's epoch.
        epoch: Epoch,
        /// The decisions.
        decisions: Vec<Decision>,
    },
    /// An agent takes charge of its endpoint; the offset is its incarnation.
    Attach(Attach),
    /// An agent takes no new work and asks for its grants to be moved.
    Leave {
        /// Its endpoint.
        endpoint: EndpointId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// An agent has unloaded what these grants allowed and uses them no more.
    Release {
        /// Its endpoint.
        endpoint: EndpointId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The grants.
        grants: Vec<GrantId>,
    },
    /// One part of a snapshot of the folded state.
    Snapshot(SnapshotChunk),
}

/// One decision of the planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Decision {
    /// Replica `index` of a model may be loaded on an endpoint, from now until it is released.
    Grant {
        /// The model, as callers name it.
        model: ModelName,
        /// Which replica of it.
        index: ReplicaIndex,
        /// What the engine loads: the model's name with its version.
        artifact: ModelName,
        /// Where.
        endpoint: EndpointId,
        /// Why, in a few words.
        reason: String,
    },
    /// The agent shall drain and unload the replica, then release the grant.
    Revoke {
        /// The grant.
        grant: GrantId,
        /// Why, in a few words.
        reason: String,
    },
    /// The endpoint's instance is off the platform's list and its guard time has passed; its grants end.
    Gone {
        /// The endpoint.
        endpoint: EndpointId,
        /// The incarnation that was seen last; a newer attach makes the decision void.
        incarnation: Incarnation,
    },
}

/// Names a grant: the decision that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The offset of the record.
    pub offset: Offset,
    /// Which decision of the record, from 0.
    pub part: u32,
}

/// What an agent says of itself and its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The instance it runs on.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: Domain,
    /// The platform's service it belongs to.
    pub service: ServiceName,
    /// Where the agent takes requests.
    pub dispatch: SocketAddr,
    /// Where the agent takes control messages.
    pub control: SocketAddr,
    /// Where the agent's admin server is.
    pub admin: SocketAddr,
    /// The accelerator memory of the endpoint; nothing for plain services.
    pub memory: Size,
    /// Checkpoints that the endpoint has in a cache faster than the store, as it said at the attach, the
    /// fastest first; only the first [`MAX_CACHED_CHECKPOINTS`] count.
    #[serde(default)]
    pub cached: Vec<ModelName>,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub fenced: bool,
    /// The endpoint's incarnation that the agent saw before, 0 if it is no member; an attach that surfaces
    /// after a newer one is void.
    #[serde(default)]
    pub previous: Incarnation,
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The state is folded up to this offset.
    pub upto: Offset,
    /// Which part, from 0.
    pub part: u32,
    /// How many parts.
    pub parts: u32,
    /// The digest of the whole, in hexadecimal.
    pub digest: String,
    /// The part's bytes as text.
    pub data: String,
}

/// A record of the key stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum KeyRecord {
    /// A request claims a key; the first claim that is not withdrawn wins.
    Claim(KeyClaim),
    /// The entry that claimed says that the request has not run and never will.
    Withdraw {
        /// The key.
        key: KeyHash,
        /// The request.
        request: RequestId,
    },
}

/// A claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The digest of caller group, route and key.
    pub key: KeyHash,
    /// The request that may run.
    pub request: RequestId,
    /// The entry that claims.
    pub entry: InstanceId,
    /// The digest of the call's body, so that a reused key with another body is refused.
    pub digest: String,
}

impl Body {
    /// The format version that brought this kind of record; a record that needs less is malformed.
    pub fn format_version(&self) -> u32 {
        match self {
            Self::Edit(_)
            | Self::Claim { .. }
            | Self::Renew { .. }
            | Self::Resign { .. }
            | Self::Decide { .. }
            | Self::Attach(_)
            | Self::Leave { .. }
            | Self::Release { .. }
            | Self::Snapshot(_) => 1,
        }
    }
}

impl Record {
    /// A record of this format version by a writer that had applied the log up to `seen`.
    pub fn new(id: String, from: InstanceId, tick: u64, seen: Offset, body: Body) -> Self {
        Self { needs: body.format_version(), id, from, tick, seen, body }
    }
}
