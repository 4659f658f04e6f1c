//! What is in force at each node and what callers can ask for, kept up to date edit by edit.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use units::{ModelName, NodePath};

use crate::leaf::{cut, nearest};
use crate::node::{Node, Nodes, at_and_below};
use crate::{ApplyError, Leaf, NodeKind, ResolveError, Settings, check, table};

/// The settings in force at each node, and the leaves by the names that callers use.
#[derive(Debug, Clone, Default)]
pub(crate) struct Index {
    settings: BTreeMap<NodePath, Arc<Settings>>,
    /// By path.
    leaves: Vec<Arc<Leaf>>,
    models: HashMap<String, Arc<Leaf>>,
    services: HashMap<String, Arc<Leaf>>,
}

/// What an edit makes of some subtrees; checked, but not in force yet.
#[derive(Debug, Default)]
pub(crate) struct Update {
    /// The subtrees, none within another.
    roots: Vec<NodePath>,
    settings: BTreeMap<NodePath, Arc<Settings>>,
    leaves: BTreeMap<(bool, String), Arc<Leaf>>,
}

impl Index {
    /// The index of all nodes; an error if they make no valid tree.
    pub(crate) fn new(nodes: &Nodes) -> Result<Self, ApplyError> {
        let mut index = Self::default();
        let update = index.update(nodes, &BTreeSet::from([NodePath::root()]))?;
        index.commit(update);
        Ok(index)
    }

    /// Works out what becomes of the subtrees at some nodes; an error if the tree is not valid.
    pub(crate) fn update(
        &self,
        nodes: &Nodes,
        touched: &BTreeSet<NodePath>,
    ) -> Result<Update, ApplyError> {
        check::size(nodes)?;
        let mut update = Update { roots: self.roots(nodes, touched), ..Update::default() };
        for root in update.roots.clone() {
            for (path, node) in at_and_below(nodes, &root) {
                check::place(nodes, path, node)?;
                let settings = self.inherit(&update, path, node);
                check::bounds(nodes, path, node, &settings)?;
                update.settings.insert(path.clone(), settings);
            }
        }
        for root in update.roots.clone() {
            for (path, node) in at_and_below(nodes, &root) {
                self.add_leaf(&mut update, path, node)?;
            }
        }
        Ok(update)
    }

    /// Puts an update in force.
    pub(crate) fn commit(&mut self, update: Update) {
        let Update { roots, settings, leaves } = update;
        for root in &roots {
            let old = at_and_below(&self.settings, root).map(|(path, _)| path.clone());
            for path in old.collect::<Vec<_>>() {
                self.settings.remove(&path);
            }
        }
        let within = |leaf: &Arc<Leaf>| roots.iter().any(|root| is_within(&leaf.path, root));
        for leaf in self.leaves.extract_if(.., |leaf| within(leaf)) {
            match leaf.kind {
                NodeKind::Service => self.services.remove(&leaf.name()),
                _ => self.models.remove(&leaf.name()),
            };
        }
        self.settings.extend(settings);
        for ((service, name), leaf) in leaves {
            self.leaves.push(leaf.clone());
            let names = if service { &mut self.services } else { &mut self.models };
            names.insert(name, leaf);
        }
        // Nearly sorted, which the sort makes use of.
        self.leaves.sort_by(|a, b| a.path.cmp(&b.path));
    }

    /// The subtrees that changes of some nodes can concern, none within another.
    ///
    /// What is below a model concerns the model too: it names its version.
    fn roots(&self, nodes: &Nodes, touched: &BTreeSet<NodePath>) -> Vec<NodePath> {
        let root = |path: &NodePath| {
            let parent = path.parent();
            let above = parent.as_ref().and_then(|parent| nodes.get(parent));
            match (above, parent) {
                (Some(node), Some(parent)) if node.kind == NodeKind::Model => parent,
                _ => path.clone(),
            }
        };
        let all: BTreeSet<NodePath> = touched.iter().map(root).collect();
        let covered = |path: &NodePath| {
            std::iter::successors(path.parent(), NodePath::parent).any(|above| all.contains(&above))
        };
        all.iter().filter(|path| !covered(path)).cloned().collect()
    }

    fn inherit(&self, update: &Update, path: &NodePath, node: &Node) -> Arc<Settings> {
        let above = path.parent();
        let above = above.and_then(|parent| {
            update.settings.get(&parent).or_else(|| self.settings.get(&parent)).cloned()
        });
        let above = above.unwrap_or_default();
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

    fn add_leaf(
        &self,
        update: &mut Update,
        path: &NodePath,
        node: &Node,
    ) -> Result<(), ApplyError> {
        let Some(leaf) = update.leaf(path, node) else { return Ok(()) };
        let (service, name) = (leaf.kind == NodeKind::Service, leaf.name());
        let known = if service { self.services.get(&name) } else { self.models.get(&name) };
        let stays =
            |leaf: &&Arc<Leaf>| !update.roots.iter().any(|root| is_within(&leaf.path, root));
        if let Some(first) = known.filter(stays) {
            return Err(same_name(&leaf, first));
        }
        let key = (service, name);
        if let Some(first) = update.leaves.get(&key) {
            return Err(same_name(&leaf, first));
        }
        update.leaves.insert(key, Arc::new(leaf));
        Ok(())
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

impl Update {
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
        let mut settings = Settings::clone(self.settings.get(path)?);
        let mut artifact = model.clone();
        if node.kind != NodeKind::Service && !version.is_empty() {
            artifact = format!("{model}@{version}").parse().ok()?;
            let version = self.settings.get(&own.child(version).ok()?)?;
            settings.weights = version.weights;
            settings.kv_room = version.kv_room;
            settings.batch = version.batch;
        }
        Some(Leaf { path: path.clone(), kind: node.kind, model, adapter, artifact, settings })
    }
}

fn is_within(path: &NodePath, root: &NodePath) -> bool {
    let rest = path.as_str().strip_prefix(root.as_str().trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn same_name(leaf: &Leaf, first: &Leaf) -> ApplyError {
    let cause = format!("{} is a {} of the same name; rename one", first.path, first.kind);
    ApplyError::invalid(&leaf.path, cause)
}
