//! `hyssopctl pull`.

use std::io::Write;
use std::path::Path;

use tree::Tree;
use units::Revision;

use crate::error::{CmdError, Exit};
use crate::files::{self, Working};
use crate::session::Session;

/// Writes the tree in force to a file; changes in the file that are not published stay in it.
pub(crate) fn run(
    session: &Session,
    file: &Path,
    force: bool,
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let (tree, revision) = session.tree();
    let base = tree.render(Some(revision));
    if force || !file.exists() {
        files::write_working(file, &base, &base)?;
        writeln!(out, "{}: revision {revision}", file.display())?;
        return Ok(Exit::Done);
    }
    let working = files::read_working(file, revision)?;
    let merged = merge(file, &working, &tree)?;
    let mine = tree::diff(&tree, &merged);
    let text = text(file, &working, &merged, revision);
    files::write_working(file, &text, &base)?;
    writeln!(out, "{}: revision {revision}", file.display())?;
    if !mine.is_empty() {
        writeln!(out, "your changes that are not published:")?;
        mine.iter().try_for_each(|change| writeln!(out, "  {change}"))?;
    }
    Ok(Exit::Done)
}

/// The tree in force with the changes that the operator made since the last pull.
fn merge(file: &Path, working: &Working, tree: &Tree) -> Result<Tree, CmdError> {
    let Some(base) = &working.base else {
        return Err(CmdError::NotPulled { file: file.to_owned() });
    };
    let mine = tree::diff(&base.tree, &working.file.tree);
    tree.overlay(&mine).map_err(|cause| CmdError::Unpublished { file: file.to_owned(), cause })
}

/// The operator's own text with what others changed, and with its comments; else the tree written anew.
fn text(file: &Path, working: &Working, merged: &Tree, revision: Revision) -> String {
    let changes = tree::diff(&working.file.tree, merged);
    let kept = tree::rewrite(&working.text, &changes);
    let same = |text: &String| {
        let parsed = tree::parse(file, text);
        parsed.is_ok_and(|parsed| tree::diff(&parsed.tree, merged).is_empty())
    };
    match kept.filter(same) {
        Some(text) => tree::with_revision(&text, revision),
        None => merged.render(Some(revision)),
    }
}
