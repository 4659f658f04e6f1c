//! What callers can ask for, resolved once for each edit.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use thiserror::Error;
use units::{AdapterName, ModelName, NodePath};

use crate::node::{Node, Nodes};
use crate::{NodeKind, Settings, table};

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
    /// There is no plain service of that name.
    #[error("no service `{name}`{}", hint(.nearest))]
    UnknownService {
        /// What was asked for.
        name: String,
        /// The nearest name there is.
        nearest: Option<String>,
    },
}

fn hint(nearest: &Option<String>) -> String {
    nearest.as_ref().map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
}

/// How alike two names must be for one to be offered for the other.
const ALIKE: f64 = 0.6;
/// A longer name is not compared with all others.
const LONGEST_ASKED: usize = 200;

/// The settings in force at each node, and the leaves by the names that callers use.
#[derive(Debug, Default)]
pub(crate) struct Index {
    settings: BTreeMap<NodePath, Arc<Settings>>,
    leaves: Vec<Arc<Leaf>>,
    models: HashMap<String, Arc<Leaf>>,
    services: HashMap<String, Arc<Leaf>>,
}

impl Index {
    pub(crate) fn new(nodes: &Nodes) -> Self {
        let mut index = Self::default();
        for (path, node) in nodes {
            let settings = index.inherit(path, node);
            index.settings.insert(path.clone(), settings);
        }
        for (path, node) in nodes {
            index.add_leaf(path, node);
        }
        index
    }

    fn inherit(&self, path: &NodePath, node: &Node) -> Arc<Settings> {
        let above = path.parent().and_then(|parent| self.settings.get(&parent));
        let above = above.cloned().unwrap_or_default();
        if node.settings.is_empty() {
            return above;
        }
        let mut settings = Settings::clone(&above);
        for (name, value) in &node.settings {
            if let Some(setting) = table::setting(name.as_str()) {
                // Values were checked when they were set.
                let _ = setting.put(&mut settings, &value.value);
            }
        }
        Arc::new(settings)
    }

    fn add_leaf(&mut self, path: &NodePath, node: &Node) {
        let Some(leaf) = self.leaf(path, node).map(Arc::new) else { return };
        self.leaves.push(leaf.clone());
        match node.kind {
            NodeKind::Service => self.services.insert(leaf.model.to_string(), leaf),
            _ => self.models.insert(leaf.name(), leaf),
        };
    }

    /// The leaf of a node; `None` for branches and versions.
    fn leaf(&self, path: &NodePath, node: &Node) -> Option<Leaf> {
        let own = match node.kind {
            NodeKind::Branch | NodeKind::Version => return None,
            NodeKind::Model | NodeKind::Service => path.clone(),
            NodeKind::Adapter => path.parent()?,
        };
        let adapter = match node.kind {
            NodeKind::Adapter => Some(path.name().parse().ok()?),
            _ => None,
        };
        let model: ModelName = own.name().parse().ok()?;
        let version = &self.settings.get(&own)?.version;
        let serves = node.kind != NodeKind::Service && !version.is_empty();
        let mut settings = Settings::clone(self.settings.get(path)?);
        let mut artifact = model.clone();
        if serves {
            artifact = format!("{model}@{version}").parse().ok()?;
            let version = self.settings.get(&own.child(version).ok()?)?;
            settings.weights = version.weights;
            settings.kv_room = version.kv_room;
            settings.batch = version.batch;
        }
        Some(Leaf { path: path.clone(), kind: node.kind, model, adapter, artifact, settings })
    }

    pub(crate) fn settings(&self, path: &NodePath) -> Option<&Arc<Settings>> {
        self.settings.get(path)
    }

    pub(crate) fn leaves(&self) -> &[Arc<Leaf>] {
        &self.leaves
    }

    pub(crate) fn model(&self, name: &str) -> Option<&Arc<Leaf>> {
        self.models.get(name)
    }

    pub(crate) fn service(&self, name: &str) -> Option<&Arc<Leaf>> {
        self.services.get(name)
    }

    pub(crate) fn unknown_model(&self, name: &str) -> ResolveError {
        ResolveError::Unknown { name: cut(name), nearest: nearest(name, self.models.keys()) }
    }

    pub(crate) fn unknown_service(&self, name: &str) -> ResolveError {
        let nearest = nearest(name, self.services.keys());
        ResolveError::UnknownService { name: cut(name), nearest }
    }
}

impl Leaf {
    /// The name that callers use: `model`, `model:adapter` or the service's.
    pub fn name(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}:{adapter}", self.model),
            None => self.model.to_string(),
        }
    }
}

fn cut(name: &str) -> String {
    name.chars().take(LONGEST_ASKED).collect()
}

fn nearest<'a>(name: &str, names: impl Iterator<Item = &'a String>) -> Option<String> {
    if name.len() > LONGEST_ASKED {
        return None;
    }
    let scored = names.map(|known| (strsim::jaro_winkler(name, known), known));
    let alike = scored.filter(|(score, _)| *score >= ALIKE);
    // Of equals the first by name, so that all processes say the same.
    let best = alike.max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
    best.map(|(_, known)| known.clone())
}
