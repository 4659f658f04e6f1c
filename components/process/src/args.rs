//! The command line that every server program has.

use std::path::PathBuf;

use thiserror::Error;

/// What a server program was asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Args {
    /// Show the help text.
    Help,
    /// Show the version.
    Version,
    /// Read the settings file, say whether it is right, and end.
    Check(PathBuf),
    /// Run with the settings file.
    Run(PathBuf),
}

/// What is wrong with a command line.
#[derive(Debug, Error)]
pub enum ArgsError {
    /// No settings file is named.
    #[error("no settings file; name one, as in `{program} settings.jsonc`")]
    Missing {
        /// The program.
        program: String,
    },
    /// A flag or value is not known.
    #[error("{0}; `--help` lists what there is")]
    Unknown(#[from] lexopt::Error),
}

/// Reads `[--check-config] FILE`, `--help` or `--version`; the first word is the program's name.
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
