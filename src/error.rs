//! How a command ends.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use thiserror::Error;
use tree::{ApplyError, FileError};
use units::Revision;

/// The exit codes, which scripts may rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done.
    Done = 0,
    /// The network or the system failed; nothing was published.
    Failed = 1,
    /// The command line or a file is wrong; nothing was published.
    Usage = 2,
    /// The edit lost a race or would make a wrong tree; nothing is in force.
    Rejected = 3,
    /// It is not known whether the edit is accepted; publish again to learn it.
    Unknown = 4,
    /// A process did not answer, or the accepted edit was not seen in force there in time.
    Lagging = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CmdError {
    #[error("{}: {cause}; check the path and its rights", file.display())]
    File { file: PathBuf, cause: std::io::Error },
    #[error("{0}")]
    Tree(#[from] FileError),
    #[error("{}: it is at revision {}, but {} is at {}; keep a copy and run `hyssopctl pull --force`", file.display(), show(*revision), base.display(), show(*other))]
    Mixed { file: PathBuf, revision: Option<Revision>, base: PathBuf, other: Option<Revision> },
    #[error(
        "{}: it was never pulled, so it is not known what you changed; `hyssopctl pull` into another file and edit that, or `publish --replace` to put this file in place of all there is",
        file.display()
    )]
    NotPulled { file: PathBuf },
    #[error(
        "{}: it has changes that are not published, and they do not fit the tree in force: {cause}; mend the file, or `pull --force` to drop your changes",
        file.display()
    )]
    Unpublished { file: PathBuf, cause: ApplyError },
    #[error(
        "{}: it was pulled at revision {pulled}, but only revision {known} is known here; give `--seed` with a process that runs",
        file.display()
    )]
    Behind { file: PathBuf, pulled: Revision, known: Revision },
    #[error("no log service; give `--log ADDR` or a settings file with `log`")]
    NoLog,
    #[error(
        "neither the log service nor a seed gave the tree in force within {limit:?}; check `--log` and `--seed`"
    )]
    NotReady { limit: Duration },
    #[error(
        "not known whether the edit is accepted: {cause}; publish again to learn it, it can't take effect twice"
    )]
    Unknown { cause: String },
    #[error("rejected: {0}; nothing was published")]
    Rejected(ApplyError),
    #[error("rejected: {0}")]
    Void(state::Void),
    #[error("{0}")]
    Name(String),
    #[error("{0}")]
    Call(#[from] web::CallError),
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
}

fn show(revision: Option<Revision>) -> String {
    revision.map_or_else(|| "none".to_owned(), |revision| revision.to_string())
}

impl CmdError {
    /// The exit code for it.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::File { .. } | Self::Tree(_) | Self::Mixed { .. } | Self::NotPulled { .. } => {
                Exit::Usage
            }
            Self::NoLog | Self::Name(_) => Exit::Usage,
            Self::Unpublished { .. } | Self::Rejected(_) | Self::Void(_) => Exit::Rejected,
            Self::Unknown { .. } => Exit::Unknown,
            Self::NotReady { .. } | Self::Behind { .. } | Self::Call(_) | Self::Output(_) => {
                Exit::Failed
            }
        }
    }
}
