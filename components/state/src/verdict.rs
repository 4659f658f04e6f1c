//! What became of a record.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use tree::ApplyError;
use units::{Epoch, Incarnation, InstanceId, Offset, Revision};

/// What became of one record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Its place in the log.
    pub offset: Offset,
    /// One verdict, or one for each decision of a `Decide`.
    pub verdicts: Vec<Verdict>,
}

impl Applied {
    pub(crate) fn void(offset: Offset, void: Void) -> Self {
        Self { offset, verdicts: vec![Verdict::Void(void)] }
    }

    /// Whether all of the record took effect.
    pub fn is_done(&self) -> bool {
        self.verdicts.iter().all(|verdict| *verdict == Verdict::Done)
    }
}

/// Whether a record or decision took effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It took effect.
    Done,
    /// It has no effect, for every process.
    Void(Void),
}

/// Why a record or decision is void.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case", tag = "void", content = "why")]
pub enum Void {
    /// The same record was applied before, at this offset.
    #[error("a repeat of the record at offset {first}")]
    Repeat {
        /// The first one.
        first: Offset,
    },
    /// The record was on its way for longer than ids are remembered.
    #[error("the writer had applied only offset {seen}; look again and write a new record")]
    Stale {
        /// What its writer had applied.
        seen: Offset,
    },
    /// The record lands before what its writer claims to have applied.
    #[error("the writer had applied offset {seen} of another log")]
    Ahead {
        /// What its writer had applied.
        seen: Offset,
    },
    /// The text is no record.
    #[error("the text is no record: {0}")]
    Malformed(String),
    /// The epoch is not the current one.
    #[error("epoch {named} is not the current epoch {current}")]
    Epoch {
        /// The epoch it names.
        named: Epoch,
        /// The current one.
        current: Epoch,
    },
    /// The incarnation is not the current one.
    #[error("the incarnation is not the current one{}", .current.map(|i| format!(", {i}")).unwrap_or_default())]
    Incarnation {
        /// The current one, if the endpoint is a member.
        current: Option<Incarnation>,
    },
    /// The holder of the epoch gave it up.
    #[error("the holder of epoch {epoch} gave it up")]
    Resigned {
        /// The epoch.
        epoch: Epoch,
    },
    /// The endpoint still belongs to another instance.
    #[error("the endpoint belongs to instance {current} until the planner declares that one gone")]
    Instance {
        /// The instance.
        current: InstanceId,
    },
    /// The edit lost a race or would make an invalid tree.
    #[error("{0}")]
    Edit(ApplyError),
    /// The replica is granted already.
    #[error("the replica is granted already")]
    Taken,
    /// The endpoint holds another replica of the model.
    #[error("the endpoint holds a replica of the model")]
    Twice,
    /// The endpoint is no member, or is leaving.
    #[error("the endpoint is no member or is leaving")]
    NoEndpoint,
    /// The endpoint is of another service or too small.
    #[error("the endpoint cannot host the model")]
    Unfit,
    /// The tree has no such model, or its bound is reached, or it has another version in force.
    #[error("the tree allows no such replica: {0}")]
    Bound(String),
    /// There is no such grant, or it is not in the needed state.
    #[error("no such grant")]
    NoGrant,
    /// The snapshot was not needed.
    #[error("the snapshot is older than what is folded")]
    Old,
    /// The record needs a newer program.
    #[error("the record needs format {needs}; upgrade this program by revision {at}")]
    Format {
        /// The format it needs.
        needs: u32,
        /// Where it stands.
        at: Revision,
    },
}
