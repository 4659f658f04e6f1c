//! The tree itself: nodes with their own settings.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use units::{ModelName, NodePath, Revision, ServiceName, SettingName};

use crate::index::Index;
use crate::{ApplyError, Leaf, NodeKind, ResolveError, Settings};

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
    /// The edits that cleared settings, so that an edit based on older ones conflicts.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub cleared: BTreeMap<SettingName, Revision>,
}

impl Node {
    pub(crate) fn new(kind: NodeKind, revision: Revision) -> Self {
        Self { kind, revision, settings: BTreeMap::new(), cleared: BTreeMap::new() }
    }

    /// The edit that last set or cleared a setting here.
    pub(crate) fn changed(&self, setting: &SettingName) -> Option<Revision> {
        let set = self.settings.get(setting).map(|value| value.revision);
        set.or_else(|| self.cleared.get(setting).copied())
    }

    /// The newest edit of the node and all its settings.
    pub(crate) fn newest(&self) -> Revision {
        let set = self.settings.values().map(|value| value.revision);
        set.chain(self.cleared.values().copied()).fold(self.revision, Revision::max)
    }
}

/// The nodes by path; parents come before their children.
pub(crate) type Nodes = BTreeMap<NodePath, Node>;

/// All that a map has at or below a node, however deep; parents come before their children.
pub(crate) fn at_and_below<'a, T>(
    map: &'a BTreeMap<NodePath, T>,
    path: &NodePath,
) -> impl Iterator<Item = (&'a NodePath, &'a T)> + use<'a, T> {
    let prefix = format!("{}/", path.as_str().trim_end_matches('/'));
    let after = (Bound::Excluded(prefix.as_str()), Bound::Unbounded);
    let below = map.range::<str, _>(after);
    let below = below.take_while(move |(path, _)| path.as_str().starts_with(&prefix));
    map.get_key_value(path).into_iter().chain(below)
}

/// The tree; the default has only a root branch.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(try_from = "Stored")]
pub struct Tree {
    nodes: Nodes,
    #[serde(skip)]
    index: Arc<Index>,
}

#[derive(Deserialize)]
struct Stored {
    nodes: Nodes,
}

impl TryFrom<Stored> for Tree {
    type Error = ApplyError;

    fn try_from(stored: Stored) -> Result<Self, ApplyError> {
        Self::of(stored.nodes)
    }
}

/// The index follows from the nodes.
impl PartialEq for Tree {
    fn eq(&self, other: &Self) -> bool {
        self.nodes == other.nodes
    }
}

impl Default for Tree {
    fn default() -> Self {
        let root = Node::new(NodeKind::Branch, Revision(0));
        Self::of(Nodes::from([(NodePath::root(), root)])).expect("a root alone is a valid tree")
    }
}

impl Tree {
    pub(crate) fn of(nodes: Nodes) -> Result<Self, ApplyError> {
        let index = Arc::new(Index::new(&nodes)?);
        Ok(Self { nodes, index })
    }

    /// The nodes, to be changed, and the index that has to follow.
    pub(crate) fn parts(&mut self) -> (&mut Nodes, &mut Arc<Index>) {
        (&mut self.nodes, &mut self.index)
    }

    /// The nodes by path.
    pub fn nodes(&self) -> &BTreeMap<NodePath, Node> {
        &self.nodes
    }

    /// The settings in force at a node; those of the nearest node above if there is no such node.
    pub fn effective(&self, path: &NodePath) -> Settings {
        let above = std::iter::successors(Some(path.clone()), NodePath::parent);
        let known = above.filter_map(|path| self.index.settings(&path)).next();
        known.map(|settings| Settings::clone(settings)).unwrap_or_default()
    }

    /// All leaves that callers can ask for, by path: models, adapters and services.
    pub fn leaves(&self) -> &[Arc<Leaf>] {
        self.index.leaves()
    }

    /// The leaf of a model by name (no adapters).
    pub fn model(&self, name: &ModelName) -> Option<Arc<Leaf>> {
        self.index.model(name.as_str()).filter(|leaf| leaf.adapter.is_none()).cloned()
    }

    /// The leaf of a plain service by name.
    pub fn service(&self, name: &ServiceName) -> Option<Arc<Leaf>> {
        self.index.service(name.as_str()).cloned()
    }

    /// What a caller's `model` field stands for; the nearest name in the error if for none.
    pub fn resolve(&self, name: &str) -> Result<Arc<Leaf>, ResolveError> {
        self.index.model(name).cloned().ok_or_else(|| self.index.unknown_model(name))
    }

    /// The error for a service that is not there, with the nearest name.
    pub fn unknown_service(&self, name: &str) -> ResolveError {
        self.index.unknown_service(name)
    }
}

#[cfg(test)]
mod tests;
