//! `hyssopctl explain`.

use std::io::Write;

use tree::{Row, Tree};
use units::NodePath;

use crate::error::{CmdError, Exit};
use crate::session::Session;

/// Shows the settings in force at a node, or at the leaf of a name, with the source of each.
pub(crate) fn run(session: &Session, path: &str, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let (tree, revision) = session.tree();
    let path = find(&tree, path)?;
    let rows = tree
        .explain(&path)
        .ok_or_else(|| CmdError::Name(format!("there is no node {path} at revision {revision}")))?;
    writeln!(out, "{path} at revision {revision}")?;
    rows.iter().try_for_each(|row| show(row, out))?;
    Ok(Exit::Done)
}

fn find(tree: &Tree, text: &str) -> Result<NodePath, CmdError> {
    if text.starts_with('/') {
        return text
            .parse()
            .map_err(|error: units::ParseIdError| CmdError::Name(error.to_string()));
    }
    let service = text.parse().ok().and_then(|name| tree.service(&name));
    match service {
        Some(leaf) => Ok(leaf.path.clone()),
        None => match tree.resolve(text) {
            Ok(leaf) => Ok(leaf.path.clone()),
            Err(error) => Err(CmdError::Name(error.to_string())),
        },
    }
}

fn show(row: &Row, out: &mut dyn Write) -> Result<(), CmdError> {
    let source = match &row.from {
        Some(path) => format!("from {path}, revision {}", row.revision),
        None => "default".to_owned(),
    };
    writeln!(out, "  {} = {}  ({source})", row.setting, row.value)?;
    writeln!(out, "      {} Allowed: {}.", row.doc, row.range)?;
    Ok(())
}
