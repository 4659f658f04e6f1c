//! Applying an edit, whole or not at all.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{NodePath, Revision, SettingName};

use crate::check;
use crate::node::{Node, Nodes, Value, below};
use crate::{Change, Edit, NodeKind, Settings, Tree, table};

/// The most changes that one edit may have.
pub const MAX_CHANGES: usize = 4096;
/// The most bytes that all values of one edit may have as text.
pub const MAX_EDIT: usize = 512 << 10;
/// The most bytes that one value may have as text.
pub const MAX_VALUE: usize = 16 << 10;
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
        let mut draft = Draft { nodes: self.nodes().clone(), base: edit.base, at };
        edit.changes.iter().try_for_each(|change| draft.change(change))?;
        check::nodes(&draft.nodes)?;
        *self = Self::of(draft.nodes);
        Ok(())
    }

    /// The tree with changes made whatever their base; what is so already is left as it is.
    pub fn overlay(&self, changes: &[Change]) -> Result<Self, ApplyError> {
        let (base, at) = (Revision(u64::MAX), Revision(0));
        let mut draft = Draft { nodes: self.nodes().clone(), base, at };
        for change in changes {
            if !draft.has(change) {
                draft.change(change)?;
            }
        }
        check::nodes(&draft.nodes)?;
        Ok(Self::of(draft.nodes))
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
    if edit.changes.is_empty() {
        return invalid("the edit changes nothing".to_owned());
    }
    if edit.changes.len() > MAX_CHANGES {
        let count = edit.changes.len();
        return invalid(format!("{count} changes; publish at most {MAX_CHANGES} at a time"));
    }
    let mut total = 0;
    for change in &edit.changes {
        let Change::Set { path, setting, value } = change else { continue };
        let size = value.to_string().len();
        total += size;
        if size > MAX_VALUE {
            let cause =
                format!("a value of {size} bytes for `{setting}`; at most {MAX_VALUE} are allowed");
            return Err(ApplyError::invalid(path, cause));
        }
    }
    if total > MAX_EDIT {
        return invalid(format!("values of {total} bytes; publish at most {MAX_EDIT} at a time"));
    }
    Ok(())
}

/// The nodes while an edit is being applied.
struct Draft {
    nodes: Nodes,
    base: Revision,
    at: Revision,
}

impl Draft {
    /// Whether a change would change nothing.
    fn has(&self, change: &Change) -> bool {
        let node = self.nodes.get(change.path());
        match change {
            Change::Add { kind, .. } => node.is_some_and(|node| node.kind == *kind),
            Change::Remove { .. } => node.is_none(),
            Change::Clear { setting, .. } => {
                node.is_some_and(|node| !node.settings.contains_key(setting))
            }
            Change::Set { .. } => false,
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

    fn node(&mut self, path: &NodePath) -> Result<&mut Node, ApplyError> {
        let Some(node) = self.nodes.get(path) else {
            let cause = "there is no such node; add it first, or it was removed";
            return Err(ApplyError::invalid(path, cause));
        };
        self.seen(path, "node", node.revision)?;
        self.nodes.get_mut(path).ok_or_else(|| ApplyError::invalid(path, "there is no such node"))
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
        let mut gone = vec![path.clone()];
        gone.extend(below(&self.nodes, path).map(|(path, _)| path.clone()));
        for path in &gone {
            let newest = self.nodes.get(path).map_or(Revision(0), Node::newest);
            self.seen(path, "node", newest)?;
        }
        for path in &gone {
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
        let node = self.node(path)?;
        node.settings.insert(name.clone(), value);
        node.cleared.remove(name);
        Ok(())
    }

    fn clear(&mut self, path: &NodePath, name: &SettingName) -> Result<(), ApplyError> {
        self.touch(path, name)?;
        let at = self.at;
        let node = self.node(path)?;
        if node.settings.remove(name).is_none() {
            let cause = format!("`{name}` is not set here, so it can't be cleared");
            return Err(ApplyError::invalid(path, cause));
        }
        if table::setting(name.as_str()).is_some() {
            node.cleared.insert(name.clone(), at);
        }
        Ok(())
    }

    /// Checks that the edit's author had seen the setting's last change.
    fn touch(&mut self, path: &NodePath, name: &SettingName) -> Result<NodeKind, ApplyError> {
        let node = self.node(path)?;
        let (kind, changed) = (node.kind, node.changed(name));
        self.seen(path, name.as_str(), changed.unwrap_or_default())?;
        Ok(kind)
    }
}

#[cfg(test)]
mod tests;
