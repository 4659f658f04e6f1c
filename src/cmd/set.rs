//! `hyssopctl set`.

use std::io::Write;

use tree::Change;
use units::NodePath;

use crate::cli::Assignment;
use crate::cmd::publish;
use crate::error::{CmdError, Exit};
use crate::session::Session;

/// Publishes settings of one node, based on the tree in force now.
pub(crate) async fn run(
    session: &Session,
    path: &NodePath,
    values: &[Assignment],
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let (tree, revision) = session.tree();
    let wanted: Vec<Change> = values.iter().map(|value| change(path, value)).collect();
    let merged = tree.overlay(&wanted).map_err(CmdError::Rejected)?;
    let changes = tree::diff(&tree, &merged);
    if changes.is_empty() {
        writeln!(out, "no change: revision {revision} has all of it; nothing was published")?;
        return Ok(Exit::Done);
    }
    let accepted = publish::send(session, &tree, changes, revision, out).await?;
    publish::in_force(session, accepted, out).await
}

fn change(path: &NodePath, value: &Assignment) -> Change {
    let (path, setting) = (path.clone(), value.setting.clone());
    match &value.value {
        Some(value) => Change::Set { path, setting, value: value.clone() },
        None => Change::Clear { path, setting },
    }
}
