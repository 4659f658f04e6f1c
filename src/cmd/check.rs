//! `hyssopctl check`.

use std::io::Write;
use std::path::Path;

use tree::NodeKind;

use crate::error::{CmdError, Exit};
use crate::files;

pub(crate) fn run(file: &Path, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let (_, parsed) = files::read(file)?;
    let leaves = parsed.tree.leaves();
    let count = |kind| leaves.iter().filter(|leaf| leaf.kind == kind).count();
    writeln!(
        out,
        "{}: right; models {}, adapters {}, services {}",
        file.display(),
        count(NodeKind::Model),
        count(NodeKind::Adapter),
        count(NodeKind::Service),
    )?;
    Ok(Exit::Done)
}
