//! Applying an edit, whole or not at all.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{NodePath, Revision, SettingName};

use crate::check;
use crate::node::{Node, Nodes, Value, at_and_below};
use crate::{Change, Edit, NodeKind, Settings, Tree};

/// The most changes that one edit may have.
pub const MAX_CHANGES: usize = 4096;
/// The most bytes that the paths, names and values of one edit may have.
pub const MAX_EDIT: usize = 512 << 10;
/// The most bytes that the path, name and value of one change may have.
pub const MAX_CHANGE: usize = 16 << 10;
/// The most bytes that an author's name may have.
const MAX_AUTHOR: usize = 200;
/// The most nodes that a tree may have.
pub const MAX_NODES: usize = 20_000;

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

impl ApplyError {
    pub(crate) fn invalid(path: &NodePath, cause: impl Into<String>) -> Self {
        Self::Invalid { path: path.clone(), cause: cause.into() }
    }
}

impl Tree {
    /// Applies an edit whole or not at all; `at` becomes the revision of all it changes.
    ///
    /// An edit conflicts if anything it touches was changed by an edit that its author had not seen,
    /// even if to the same value. Edits of different settings do not conflict.
    pub fn apply(&mut self, edit: &Edit, at: Revision) -> Result<(), ApplyError> {
        limits(edit, at)?;
        self.change(&edit.changes, edit.base, at, |_, _| true)
    }

    /// The tree with changes made whatever their base; what is so already is left as it is.
    pub fn overlay(&self, changes: &[Change]) -> Result<Self, ApplyError> {
        let mut tree = self.clone();
        tree.change(changes, Revision(u64::MAX), Revision(0), |nodes, change| !has(nodes, change))?;
        Ok(tree)
    }

    /// Makes those changes that are wanted, all of them or none.
    fn change(
        &mut self,
        changes: &[Change],
        base: Revision,
        at: Revision,
        wanted: impl Fn(&Nodes, &Change) -> bool,
    ) -> Result<(), ApplyError> {
        let (nodes, index) = self.parts();
        let mut draft = Draft { nodes, before: BTreeMap::new(), base, at };
        let made = changes.iter().try_for_each(|change| {
            if wanted(draft.nodes, change) { draft.change(change) } else { Ok(()) }
        });
        let touched = draft.before.keys().cloned().collect();
        let update = made.and_then(|()| index.update(draft.nodes, &touched));
        match update {
            Ok(update) => {
                Arc::make_mut(index).commit(update);
                Ok(())
            }
            Err(error) => {
                draft.undo();
                Err(error)
            }
        }
    }
}

fn limits(edit: &Edit, at: Revision) -> Result<(), ApplyError> {
    let root = NodePath::root();
    let invalid = |cause: String| Err(ApplyError::invalid(&root, cause));
    if edit.base >= at {
        return invalid(format!(
            "the edit is based on revision {}, which is not before {at}",
            edit.base
        ));
    }
    if edit.author.len() > MAX_AUTHOR {
        return invalid(format!(
            "an author's name of {} bytes; at most {MAX_AUTHOR}",
            edit.author.len()
        ));
    }
    if edit.changes.is_empty() {
        return invalid("the edit changes nothing".to_owned());
    }
    if edit.changes.len() > MAX_CHANGES {
        let count = edit.changes.len();
        return invalid(format!("{count} changes; publish at most {MAX_CHANGES} at a time"));
    }
    let mut total = 0;
    for change in &edit.changes {
        let size = size(change);
        total += size;
        if size > MAX_CHANGE {
            let cause = format!("a change of {size} bytes; at most {MAX_CHANGE} are allowed");
            return Err(ApplyError::invalid(change.path(), cause));
        }
    }
    if total > MAX_EDIT {
        return invalid(format!("changes of {total} bytes; publish at most {MAX_EDIT} at a time"));
    }
    Ok(())
}

/// About how many bytes a change has as text.
fn size(change: &Change) -> usize {
    let path = change.path().as_str().len();
    match change {
        Change::Add { .. } | Change::Remove { .. } => path,
        Change::Clear { setting, .. } => path + setting.as_str().len(),
        Change::Set { setting, value, .. } => {
            path + setting.as_str().len() + value.to_string().len()
        }
    }
}

/// Whether a change would change nothing.
fn has(nodes: &Nodes, change: &Change) -> bool {
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
struct Draft<'a> {
    nodes: &'a mut Nodes,
    /// What the changed nodes were before.
    before: BTreeMap<NodePath, Option<Node>>,
    base: Revision,
    at: Revision,
}

impl Draft<'_> {
    /// Remembers a node that is about to change.
    fn remember(&mut self, path: &NodePath) {
        let now = self.nodes.get(path);
        self.before.entry(path.clone()).or_insert_with(|| now.cloned());
    }

    fn undo(self) {
        for (path, node) in self.before {
            match node {
                Some(node) => self.nodes.insert(path, node),
                None => self.nodes.remove(&path),
            };
        }
    }

    fn change(&mut self, change: &Change) -> Result<(), ApplyError> {
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

#[cfg(test)]
mod tests;
