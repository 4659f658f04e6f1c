//! The changes from one tree to another.

use std::collections::BTreeSet;

use units::{NodePath, SettingName};

use crate::node::{Node, Nodes};
use crate::{Change, Tree, table};

/// The changes that make the first tree like the second, whatever their revisions.
///
/// Values that mean the same, such as `60m` and `1h`, are no change.
pub fn diff(from: &Tree, to: &Tree) -> Vec<Change> {
    let (from, to) = (from.nodes(), to.nodes());
    let mut changes = removed(from, to);
    for (path, node) in to {
        match from.get(path).filter(|old| old.kind == node.kind && !replaced(from, to, path)) {
            Some(old) => settings(path, old, node, &mut changes),
            None => added(path, node, &mut changes),
        }
    }
    changes
}

/// Whether a node above has become of another kind, so that all below it is removed and added again.
fn replaced(from: &Nodes, to: &Nodes, path: &NodePath) -> bool {
    above(path)
        .any(|path| from.get(&path).map(|node| node.kind) != to.get(&path).map(|node| node.kind))
}

/// The nodes to remove; what is below another of them goes with it.
fn removed(from: &Nodes, to: &Nodes) -> Vec<Change> {
    let gone = |path: &NodePath, node: &Node| to.get(path).is_none_or(|new| new.kind != node.kind);
    let mut paths: BTreeSet<&NodePath> = BTreeSet::new();
    for (path, node) in from {
        let covered = above(path).any(|above| paths.contains(&above));
        if !covered && gone(path, node) {
            paths.insert(path);
        }
    }
    paths.into_iter().map(|path| Change::Remove { path: path.clone() }).collect()
}

/// The paths of the nodes above one.
fn above(path: &NodePath) -> impl Iterator<Item = NodePath> {
    std::iter::successors(path.parent(), NodePath::parent)
}

fn added(path: &NodePath, node: &Node, changes: &mut Vec<Change>) {
    changes.push(Change::Add { path: path.clone(), kind: node.kind });
    for (setting, value) in &node.settings {
        changes.push(set(path, setting, &value.value));
    }
}

fn settings(path: &NodePath, old: &Node, new: &Node, changes: &mut Vec<Change>) {
    for setting in old.settings.keys().filter(|name| !new.settings.contains_key(*name)) {
        changes.push(Change::Clear { path: path.clone(), setting: setting.clone() });
    }
    for (setting, value) in &new.settings {
        let before = old.settings.get(setting).map(|value| usual(setting, &value.value));
        if before != Some(usual(setting, &value.value)) {
            changes.push(set(path, setting, &value.value));
        }
    }
}

fn set(path: &NodePath, setting: &SettingName, value: &serde_json::Value) -> Change {
    Change::Set { path: path.clone(), setting: setting.clone(), value: value.clone() }
}

fn usual(name: &SettingName, value: &serde_json::Value) -> serde_json::Value {
    table::setting(name.as_str()).map_or_else(|| value.clone(), |setting| setting.usual(value))
}

#[cfg(test)]
mod tests;
