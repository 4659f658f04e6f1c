//! `hyssopctl diff`.

use std::io::Write;
use std::path::Path;

use crate::cmd::publish::{self, Plan};
use crate::error::{CmdError, Exit};
use crate::files;
use crate::session::Session;

/// Shows what a publish of a file would change, and whether it would be accepted now.
pub(crate) fn run(
    session: &Session,
    file: &Path,
    replace: bool,
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let (tree, revision) = session.tree();
    let working = files::read_working(file, revision)?;
    let Plan { changes, base } = publish::plan(file, &working, &tree, revision, replace)?;
    publish::show(&tree, &changes, out)?;
    if changes.is_empty() {
        writeln!(out, "no change against revision {revision}")?;
        return Ok(Exit::Done);
    }
    session.check(&session.edit(changes, base)?)?;
    writeln!(out, "would be accepted on revision {revision}")?;
    Ok(Exit::Done)
}
