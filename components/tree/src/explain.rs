//! Where the settings in force at a node come from.

use units::{NodePath, Revision};

use crate::{Range, Tree, table};

/// One setting in force at a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The setting.
    pub setting: &'static str,
    /// Its value in force.
    pub value: serde_json::Value,
    /// Its unit and range.
    pub range: Range,
    /// The node that sets it, or nothing for a default.
    pub from: Option<NodePath>,
    /// The edit that set it, or 0 for a default.
    pub revision: Revision,
    /// What it does.
    pub doc: &'static str,
}

impl Tree {
    /// The settings in force at a node, each with its source; nothing if there is no such node.
    pub fn explain(&self, path: &NodePath) -> Option<Vec<Row>> {
        self.nodes().get(path)?;
        let above: Vec<NodePath> =
            std::iter::successors(Some(path.clone()), NodePath::parent).collect();
        let settings = self.effective(path);
        let row = |setting: &'static table::Setting| {
            let source = above.iter().find_map(|path| {
                let value = self.nodes().get(path)?.settings.get(setting.name)?;
                Some((path.clone(), value.revision))
            });
            let (from, revision) =
                source.map_or((None, Revision(0)), |(path, revision)| (Some(path), revision));
            let value = setting.value(&settings);
            let range = setting.range;
            Row { setting: setting.name, value, range, from, revision, doc: setting.doc }
        };
        Some(table::table().iter().map(row).collect())
    }
}

#[cfg(test)]
mod tests;
