//! Edits of the tree, as they are published on the log.

use std::fmt;

use serde::{Deserialize, Serialize};
use units::{EditId, NodePath, Revision, SettingName};

use crate::NodeKind;

/// One published edit; it is in force whole or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Unique for good, so that a repeated append has one effect.
    pub id: EditId,
    /// Who published it.
    pub author: String,
    /// The newest revision its author had seen; a setting that has changed since makes the edit void.
    pub base: Revision,
    /// What it changes.
    pub changes: Vec<Change>,
}

/// One change of one node or setting.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Change {
    /// Adds a node below one that exists.
    Add {
        /// The new node.
        path: NodePath,
        /// What it is.
        kind: NodeKind,
    },
    /// Removes a node with all below it.
    Remove {
        /// The node.
        path: NodePath,
    },
    /// Sets a setting of a node.
    Set {
        /// The node.
        path: NodePath,
        /// The setting.
        setting: SettingName,
        /// Its value, as in the settings file.
        value: serde_json::Value,
    },
    /// Clears a setting, so that the node inherits it.
    Clear {
        /// The node.
        path: NodePath,
        /// The setting.
        setting: SettingName,
    },
}

impl Change {
    /// The node that it changes.
    pub fn path(&self) -> &NodePath {
        match self {
            Self::Add { path, .. }
            | Self::Remove { path }
            | Self::Set { path, .. }
            | Self::Clear { path, .. } => path,
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Add { path, kind } => write!(f, "add {kind} {path}"),
            Self::Remove { path } => write!(f, "remove {path} with all below it"),
            Self::Set { path, setting, value } => write!(f, "set {path} {setting} = {value}"),
            Self::Clear { path, setting } => write!(f, "clear {path} {setting}"),
        }
    }
}
