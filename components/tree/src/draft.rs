//! The nodes while an edit is being applied.

use std::collections::{BTreeMap, BTreeSet};

use units::{NodePath, Revision, SettingName};

use crate::node::{Node, Nodes, Value, at_and_below};
use crate::{ApplyError, Change, NodeKind, Settings, check};

/// Whether a change would change nothing.
pub(crate) fn has(nodes: &Nodes, change: &Change) -> bool {
    let node = nodes.get(change.path());
    match change {
        Change::Add { kind, .. } => node.is_some_and(|node| node.kind == *kind),
        Change::Remove { .. } => node.is_none(),
        Change::Clear { setting, .. } => {
            node.is_some_and(|node| !node.settings.contains_key(setting))
        }
        Change::Set { .. } => false,
    }
}

/// The nodes while an edit is being applied.
pub(crate) struct Draft<'a> {
    pub(crate) nodes: &'a mut Nodes,
    /// What the changed nodes were before.
    before: BTreeMap<NodePath, Option<Node>>,
    base: Revision,
    at: Revision,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(nodes: &'a mut Nodes, base: Revision, at: Revision) -> Self {
        Self { nodes, before: BTreeMap::new(), base, at }
    }

    /// The nodes that have changed.
    pub(crate) fn touched(&self) -> BTreeSet<NodePath> {
        self.before.keys().cloned().collect()
    }

    /// Remembers a node that is about to change.
    fn remember(&mut self, path: &NodePath) {
        let now = self.nodes.get(path);
        self.before.entry(path.clone()).or_insert_with(|| now.cloned());
    }

    /// Puts all changed nodes back.
    pub(crate) fn undo(self) {
        for (path, node) in self.before {
            match node {
                Some(node) => self.nodes.insert(path, node),
                None => self.nodes.remove(&path),
            };
        }
    }

    /// Makes one change.
    pub(crate) fn change(&mut self, change: &Change) -> Result<(), ApplyError> {
        match change {
            Change::Add { path, kind } => self.add(path, *kind),
            Change::Remove { path } => self.remove(path),
            Change::Set { path, setting, value } => self.set(path, setting, value),
            Change::Clear { path, setting } => self.clear(path, setting),
        }
    }

    /// Errors if something was changed by an edit that this one's author had not seen.
    fn seen(&self, path: &NodePath, what: &str, changed: Revision) -> Result<(), ApplyError> {
        if changed <= self.base || changed == self.at {
            return Ok(());
        }
        let (what, base) = (what.to_owned(), self.base);
        Err(ApplyError::Conflict { path: path.clone(), what, winner: changed, base })
    }

    /// A node that must be there and that the edit's author must have seen.
    fn node(&self, path: &NodePath) -> Result<&Node, ApplyError> {
        let node = self.nodes.get(path).ok_or_else(|| missing(path))?;
        self.seen(path, "node", node.revision)?;
        Ok(node)
    }

    /// A node that is about to change.
    fn node_mut(&mut self, path: &NodePath) -> Result<&mut Node, ApplyError> {
        self.remember(path);
        self.nodes.get_mut(path).ok_or_else(|| missing(path))
    }

    fn add(&mut self, path: &NodePath, kind: NodeKind) -> Result<(), ApplyError> {
        check::path(path)?;
        if let Some(node) = self.nodes.get(path) {
            self.seen(path, "node", node.revision)?;
            return Err(ApplyError::invalid(
                path,
                "the node is there already; choose another name",
            ));
        }
        if let Some(parent) = path.parent() {
            self.node(&parent)?;
        }
        self.remember(path);
        self.nodes.insert(path.clone(), Node::new(kind, self.at));
        Ok(())
    }

    fn remove(&mut self, path: &NodePath) -> Result<(), ApplyError> {
        if path.parent().is_none() {
            return Err(ApplyError::invalid(
                path,
                "the root can't be removed; remove what is below it",
            ));
        }
        self.node(path)?;
        let mut gone = Vec::new();
        for (path, node) in at_and_below(self.nodes, path) {
            self.seen(path, "node", node.newest())?;
            gone.push(path.clone());
        }
        for path in &gone {
            self.remember(path);
            self.nodes.remove(path);
        }
        Ok(())
    }

    fn set(
        &mut self,
        path: &NodePath,
        name: &SettingName,
        value: &serde_json::Value,
    ) -> Result<(), ApplyError> {
        let kind = self.touch(path, name)?;
        check::value(path, kind, name.as_str(), value, &mut Settings::default())?;
        let value = Value { value: value.clone(), revision: self.at };
        let node = self.node_mut(path)?;
        node.settings.insert(name.clone(), value);
        node.cleared.remove(name);
        Ok(())
    }

    fn clear(&mut self, path: &NodePath, name: &SettingName) -> Result<(), ApplyError> {
        self.touch(path, name)?;
        let at = self.at;
        let node = self.node_mut(path)?;
        if node.settings.remove(name).is_none() {
            let cause = format!("`{name}` is not set here, so it can't be cleared");
            return Err(ApplyError::invalid(path, cause));
        }
        node.cleared.insert(name.clone(), at);
        Ok(())
    }

    /// Checks that the edit's author had seen the setting's last change.
    fn touch(&self, path: &NodePath, name: &SettingName) -> Result<NodeKind, ApplyError> {
        let node = self.node(path)?;
        let (kind, changed) = (node.kind, node.changed(name));
        self.seen(path, name.as_str(), changed.unwrap_or_default())?;
        Ok(kind)
    }
}

fn missing(path: &NodePath) -> ApplyError {
    ApplyError::invalid(path, "there is no such node; add it first, or it was removed")
}
