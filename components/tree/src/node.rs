//! The tree itself: nodes, their own settings and what they inherit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{AdapterName, ModelName, NodePath, Revision, ServiceName, SettingName};

use crate::{Edit, NodeKind, Settings};

/// A setting's value with the edit that it came from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Value {
    /// The value, as in the settings file.
    pub value: serde_json::Value,
    /// The edit that set it.
    pub revision: Revision,
}

/// One node with its own settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// What it is.
    pub kind: NodeKind,
    /// The edit that added it.
    pub revision: Revision,
    /// The settings that it does not inherit.
    pub settings: BTreeMap<SettingName, Value>,
}

/// The tree; the default has only a root branch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    nodes: BTreeMap<NodePath, Node>,
}

/// A leaf that callers can ask for.
#[derive(Debug, Clone, PartialEq)]
pub struct Leaf {
    /// Its place in the tree.
    pub path: NodePath,
    /// Its kind: a model, adapter or service.
    pub kind: NodeKind,
    /// The model's name (of an adapter: its model's), or the service's.
    pub model: ModelName,
    /// The adapter, if it is one.
    pub adapter: Option<AdapterName>,
    /// What the engine loads: the model's name with the version in force, as `page-text@v2`.
    pub artifact: ModelName,
    /// The settings in force there.
    pub settings: Settings,
}

/// What a caller asked for, split: `model` or `model:adapter`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelRef {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
}

/// Why a caller's name stands for no leaf.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResolveError {
    /// There is none of that name.
    #[error("no model `{name}`{}", hint(.nearest))]
    Unknown {
        /// What was asked for.
        name: String,
        /// The nearest name there is.
        nearest: Option<String>,
    },
}

fn hint(nearest: &Option<String>) -> String {
    nearest.as_ref().map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
}

/// Why an edit is void; the tree is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum ApplyError {
    /// Another edit changed the same thing first.
    #[error(
        "{path} {what} was changed by revision {winner} after revision {base}; pull, look and publish again"
    )]
    Conflict {
        /// The node.
        path: NodePath,
        /// The setting, or `node`.
        what: String,
        /// The edit that won.
        winner: Revision,
        /// What this edit was based on.
        base: Revision,
    },
    /// The tree that would result is not valid.
    #[error("{path}: {cause}")]
    Invalid {
        /// The node.
        path: NodePath,
        /// What is wrong and what would be right.
        cause: String,
    },
}

impl Default for Tree {
    fn default() -> Self {
        let root =
            Node { kind: NodeKind::Branch, revision: Revision(0), settings: BTreeMap::new() };
        Self { nodes: BTreeMap::from([(NodePath::root(), root)]) }
    }
}

impl Tree {
    /// The nodes by path.
    pub fn nodes(&self) -> &BTreeMap<NodePath, Node> {
        &self.nodes
    }

    /// Applies an edit whole or not at all; `at` becomes the revision of all it changes.
    pub fn apply(&mut self, _edit: &Edit, _at: Revision) -> Result<(), ApplyError> {
        Ok(())
    }

    /// The settings in force at a node.
    pub fn effective(&self, _path: &NodePath) -> Settings {
        Settings::default()
    }

    /// All leaves that callers can ask for: models, adapters and services.
    pub fn leaves(&self) -> Vec<Leaf> {
        Vec::new()
    }

    /// The leaf of a model by name (no adapters).
    pub fn model(&self, _name: &ModelName) -> Option<Leaf> {
        None
    }

    /// The leaf of a plain service by name.
    pub fn service(&self, _name: &ServiceName) -> Option<Leaf> {
        None
    }

    /// What a caller's `model` field stands for; the nearest name in the error if for none.
    pub fn resolve(&self, name: &str) -> Result<Leaf, ResolveError> {
        Err(ResolveError::Unknown { name: name.to_owned(), nearest: None })
    }
}
