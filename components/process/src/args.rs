//! The command line that all server programs share.

use std::path::PathBuf;

use thiserror::Error;

/// The action that the command line of a server program asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Args {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Read the settings file, report whether it is valid, and exit.
    Check(PathBuf),
    /// Run with the settings file.
    Run(PathBuf),
}

/// Why a command line was rejected.
#[derive(Debug, Error)]
pub enum ArgsError {
    /// The command line names no settings file.
    #[error("no settings file; name one, as in `{program} settings.jsonc`")]
    Missing {
        /// The name of the program.
        program: String,
    },
    /// A flag or value is unknown.
    #[error("{0}; `--help` lists what there is")]
    Unknown(#[from] lexopt::Error),
}

/// Parses `[--check-config] FILE`, `--help` or `--version`; the first word is the program's name.
pub fn parse_args<I>(words: I) -> Result<Args, ArgsError>
where
    I: IntoIterator,
    I::Item: Into<std::ffi::OsString>,
{
    let mut parser = lexopt::Parser::from_iter(words);
    let program = parser.bin_name().unwrap_or("hyssop").to_owned();
    let mut check = false;
    let mut file = None;
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => return Ok(Args::Help),
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => return Ok(Args::Version),
            lexopt::Arg::Long("check-config") => check = true,
            lexopt::Arg::Value(path) if file.is_none() => file = Some(PathBuf::from(path)),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = file.ok_or(ArgsError::Missing { program })?;
    Ok(if check { Args::Check(file) } else { Args::Run(file) })
}

#[cfg(test)]
mod tests;
