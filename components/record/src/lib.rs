//! Records of the shared log, from which all processes compute the same state.
//!
//! A record is one JSON object. Its offset, which the log service assigns, is part of its meaning: the offset of a
//! claim is the new planner epoch, that of an attach the new incarnation, that of an edit the new revision.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tree::Edit;
use units::{
    Domain, EndpointId, Epoch, Incarnation, InstanceId, KeyHash, ModelName, Offset, ReplicaIndex,
    RequestId, ServiceName, Size,
};

/// The newest version of the record format that this code can apply.
pub const FORMAT_VERSION: u32 = 1;

/// For how many offsets the ids of applied records are remembered. A record that appears in the log more than this many
/// offsets after the newest one that its writer had applied is void, so every repeated record is recognized.
pub const RECORD_WINDOW_OFFSETS: u64 = 4096;

/// How many cached checkpoints are kept per endpoint; every process keeps those of all endpoints in memory.
pub const MAX_CACHED_CHECKPOINTS: usize = 32;

/// One record with its envelope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The oldest format version that can apply the record; a reader with an older version stops making decisions.
    pub needs: u32,
    /// Unique forever, so that a repeated append takes effect only once.
    pub id: String,
    /// The instance that wrote the record.
    pub from: InstanceId,
    /// The writer's logical clock.
    pub tick: u64,
    /// The newest offset that the writer had applied when it created the record; a record that appears in the log
    /// more than [`RECORD_WINDOW_OFFSETS`] offsets later is void.
    #[serde(default)]
    pub seen: Offset,
    /// The content of the record.
    pub body: Body,
}

/// The content of a record, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Body {
    /// An operator's edit of the settings tree.
    Edit(Edit),
    /// A process acquires the planner lease; valid only while `previous` is still the current epoch.
    Claim {
        /// The epoch that the claim replaces.
        previous: Epoch,
    },
    /// The planner renews its lease.
    Renew {
        /// The planner's epoch.
        epoch: Epoch,
    },
    /// The planner releases its lease.
    Resign {
        /// The planner's epoch.
        epoch: Epoch,
    },
    /// Decisions of the planner, applied in order; each is valid or void independently of the others.
    Decide {
        /// The planner's epoch.
        epoch: Epoch,
        /// The decisions.
        decisions: Vec<Decision>,
    },
    /// An agent takes control of its endpoint; the record's offset becomes the incarnation.
    Attach(Attach),
    /// An agent accepts no new work and asks for its grants to be moved to other endpoints.
    Leave {
        /// The agent's endpoint.
        endpoint: EndpointId,
        /// The agent's incarnation.
        incarnation: Incarnation,
    },
    /// An agent has unloaded the replicas of these grants and no longer uses the grants.
    Release {
        /// The agent's endpoint.
        endpoint: EndpointId,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// The grants that are released.
        grants: Vec<GrantId>,
    },
    /// One part of a snapshot of the state.
    Snapshot(SnapshotChunk),
}

/// One decision of the planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Decision {
    /// Replica `index` of a model may be loaded on an endpoint, from now until the grant is released.
    Grant {
        /// The model, as callers name it.
        model: ModelName,
        /// The index of the replica.
        index: ReplicaIndex,
        /// What the engine loads: the model's name with its version.
        artifact: ModelName,
        /// The endpoint that may load the replica.
        endpoint: EndpointId,
        /// The reason, in a few words.
        reason: String,
    },
    /// The agent must drain and unload the replica, then release the grant.
    Revoke {
        /// The grant that is revoked.
        grant: GrantId,
        /// The reason, in a few words.
        reason: String,
    },
    /// The endpoint's instance is no longer on the platform's list and its guard time has passed, so its grants end.
    Gone {
        /// The endpoint.
        endpoint: EndpointId,
        /// The last known incarnation; a newer attach makes the decision void.
        incarnation: Incarnation,
    },
}

/// Identifies a grant by the decision that created it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The offset of the record with the decision.
    pub offset: Offset,
    /// The index of the decision in the record, from 0.
    pub part: u32,
}

/// What an agent announces about itself and its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The instance that the endpoint runs on.
    pub instance: InstanceId,
    /// The failure domain of the instance.
    pub domain: Domain,
    /// The platform's service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address at which the agent accepts requests.
    pub dispatch: SocketAddr,
    /// The address at which the agent accepts control messages.
    pub control: SocketAddr,
    /// The address of the agent's admin server.
    pub admin: SocketAddr,
    /// The accelerator memory of the endpoint; zero for plain services.
    pub memory: Size,
    /// The checkpoints that, at the time of the attach, the endpoint has in a cache faster than the store, those in
    /// the fastest cache first; only the first [`MAX_CACHED_CHECKPOINTS`] count.
    #[serde(default)]
    pub cached: Vec<ModelName>,
    /// Whether the endpoint rejects orders with an outdated fencing number.
    pub fenced: bool,
    /// The endpoint's previous incarnation as far as the agent knows, 0 if the endpoint is not a member; an attach that
    /// appears in the log after a newer one is void.
    #[serde(default)]
    pub previous: Incarnation,
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The offset of the newest record that the state includes.
    pub upto: Offset,
    /// The index of the part, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The digest of the whole snapshot, in hexadecimal.
    pub digest: String,
    /// The bytes of the part, encoded as text.
    pub data: String,
}

/// A record of the key stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum KeyRecord {
    /// A request claims a key; the first claim that is not withdrawn wins.
    Claim(KeyClaim),
    /// The entry that claimed the key states that the request has not run and never will.
    Withdraw {
        /// The idempotency key.
        key: KeyHash,
        /// The request that claimed the key.
        request: RequestId,
    },
}

/// A claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The digest of the caller's group, the route and the key.
    pub key: KeyHash,
    /// The request that may run if the claim wins.
    pub request: RequestId,
    /// The entry that claims the key.
    pub entry: InstanceId,
    /// The digest of the request body, so that reuse of the key with a different body is refused.
    pub digest: String,
}

impl Body {
    /// The format version that introduced this kind of record; a record that states an older one is malformed.
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
    /// Creates a record of the current format version by a writer that had applied the log up to `seen`.
    pub fn new(id: String, from: InstanceId, tick: u64, seen: Offset, body: Body) -> Self {
        Self { needs: body.format_version(), id, from, tick, seen, body }
    }
}
