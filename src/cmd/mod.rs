//! The subcommands, one in a file.

pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod explain;
pub(crate) mod help;
pub(crate) mod limits;
pub(crate) mod losses;
pub(crate) mod publish;
pub(crate) mod pull;
pub(crate) mod set;
pub(crate) mod speeds;
pub(crate) mod status;
pub(crate) mod story;
pub(crate) mod suspects;
pub(crate) mod timeline;
pub(crate) mod versions;
pub(crate) mod waiting;
pub(crate) mod windows;
pub(crate) mod workspaces;
