//! Applying an edit, whole or not at all.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use units::{NodePath, Revision};

use crate::draft::{Draft, has};
use crate::node::Nodes;
use crate::{Change, Edit, Tree};

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
        let mut draft = Draft::new(nodes, base, at);
        let made = changes.iter().try_for_each(|change| {
            if wanted(draft.nodes, change) { draft.change(change) } else { Ok(()) }
        });
        let touched = draft.touched();
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

#[cfg(test)]
mod tests;
