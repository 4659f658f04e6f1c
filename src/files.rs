//! The operator's file and, beside it, what it was pulled as.

use std::path::{Path, PathBuf};

use tree::TreeFile;
use units::Revision;

use crate::error::CmdError;

/// The operator's file with its base.
#[derive(Debug)]
pub(crate) struct Working {
    /// The file's text.
    pub(crate) text: String,
    /// The file, parsed.
    pub(crate) file: TreeFile,
    /// What it was pulled as, if it was.
    pub(crate) base: Option<Base>,
}

/// What a file was pulled as.
#[derive(Debug)]
pub(crate) struct Base {
    /// The tree then.
    pub(crate) tree: tree::Tree,
    /// The revision then.
    pub(crate) revision: Revision,
}

/// The file beside a settings file that keeps what it was pulled as.
pub(crate) fn base_path(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(".base");
    name.into()
}

/// Reads a settings file and checks it.
pub(crate) fn read(file: &Path) -> Result<(String, TreeFile), CmdError> {
    let text = std::fs::read_to_string(file)
        .map_err(|cause| CmdError::File { file: file.to_owned(), cause })?;
    let parsed = tree::parse(file, &text)?;
    Ok((text, parsed))
}

/// Reads a settings file with its base; the two must be of the same revision, and one that is known.
pub(crate) fn read_working(file: &Path, known: Revision) -> Result<Working, CmdError> {
    let (text, parsed) = read(file)?;
    let beside = base_path(file);
    if !beside.exists() {
        return Ok(Working { text, file: parsed, base: None });
    }
    let (_, base) = read(&beside)?;
    let same = base.revision.filter(|revision| parsed.revision == Some(*revision));
    let Some(pulled) = same else {
        let (revision, other) = (parsed.revision, base.revision);
        return Err(CmdError::Mixed { file: file.to_owned(), revision, base: beside, other });
    };
    if pulled > known {
        return Err(CmdError::Behind { file: file.to_owned(), pulled, known });
    }
    let base = Some(Base { tree: base.tree, revision: pulled });
    Ok(Working { text, file: parsed, base })
}

/// Writes a settings file and its base.
///
/// The file goes first: a file that is newer than its base is refused by its revision, while one that
/// is older than its base would undo the edits between the two.
pub(crate) fn write_working(file: &Path, text: &str, base: &str) -> Result<(), CmdError> {
    write(file, text)?;
    write(&base_path(file), base)
}

/// Replaces a file whole, so that a crash leaves the old one or the new one.
fn write(file: &Path, text: &str) -> Result<(), CmdError> {
    let failed = |cause| CmdError::File { file: file.to_owned(), cause };
    let mut name = file.as_os_str().to_owned();
    name.push(".new");
    std::fs::write(&name, text).map_err(failed)?;
    std::fs::rename(&name, file).map_err(failed)
}
