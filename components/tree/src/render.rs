//! Writing the tree as a settings file.

use std::fmt::Write;

use units::{NodePath, Revision};

use crate::node::{Node, at_and_below};
use crate::{NodeKind, Tree, table};

/// The longest line that holds a whole node.
const LINE: usize = 100;

impl Tree {
    /// The tree as JSON with comments, with the revision that it was pulled at.
    pub fn render(&self, revision: Option<Revision>) -> String {
        let mut text = String::from("{\n");
        if let Some(revision) = revision {
            let _ =
                writeln!(text, "  // Leave the revision as it is: a publish is compared with it.");
            let _ = writeln!(text, "  \"revision\": {revision},");
        }
        if let Some(root) = self.nodes().get(&NodePath::root()) {
            self.body(&NodePath::root(), root, 1, &mut text);
        }
        text.push_str("}\n");
        text
    }

    /// The nodes right below one.
    fn below<'a>(&'a self, path: &'a NodePath) -> impl Iterator<Item = (&'a NodePath, &'a Node)> {
        let all = at_and_below(self.nodes(), path);
        all.filter(move |(child, _)| child.parent().as_ref() == Some(path))
    }

    fn node(&self, path: &NodePath, node: &Node, depth: usize, text: &mut String) {
        let pad = "  ".repeat(depth);
        let name = quoted(path.name());
        if self.below(path).next().is_none() {
            let line = format!("{pad}{name}: {},", leaf(node));
            if line.len() <= LINE {
                let _ = writeln!(text, "{line}");
                return;
            }
        }
        let _ = writeln!(text, "{pad}{name}: {{");
        self.body(path, node, depth + 1, text);
        let _ = writeln!(text, "{pad}}},");
    }

    fn body(&self, path: &NodePath, node: &Node, depth: usize, text: &mut String) {
        let pad = "  ".repeat(depth);
        if node.kind != NodeKind::Branch {
            let _ = writeln!(text, "{pad}\"kind\": \"{}\",", node.kind);
        }
        if !node.settings.is_empty() {
            let _ = writeln!(text, "{pad}\"settings\": {{");
            for (name, value) in settings(node) {
                let _ = writeln!(text, "{pad}  {}: {value},", quoted(name));
            }
            let _ = writeln!(text, "{pad}}},");
        }
        let mut children = self.below(path).peekable();
        if children.peek().is_none() {
            return;
        }
        let _ = writeln!(text, "{pad}\"children\": {{");
        for (path, node) in children {
            self.node(path, node, depth + 1, text);
        }
        let _ = writeln!(text, "{pad}}},");
    }
}

/// A node without children on one line.
fn leaf(node: &Node) -> String {
    let kind = (node.kind != NodeKind::Branch).then(|| format!("\"kind\": \"{}\"", node.kind));
    let own: Vec<String> =
        settings(node).map(|(name, value)| format!("{}: {value}", quoted(name))).collect();
    let own = (!own.is_empty()).then(|| format!("\"settings\": {{ {} }}", own.join(", ")));
    let parts: Vec<String> = kind.into_iter().chain(own).collect();
    if parts.is_empty() { "{}".to_owned() } else { format!("{{ {} }}", parts.join(", ")) }
}

/// A node's own settings in the order of the reference page.
fn settings(node: &Node) -> impl Iterator<Item = (&'static str, &serde_json::Value)> {
    let names = table::table().iter().map(|setting| setting.name);
    names.filter_map(|name| Some((name, &node.settings.get(name)?.value)))
}

fn quoted(text: &str) -> serde_json::Value {
    serde_json::Value::from(text)
}

#[cfg(test)]
mod tests;
