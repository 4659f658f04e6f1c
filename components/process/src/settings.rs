//! Strict parsing of settings files: JSON with comments, where an unknown key is an error.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jsonc::PARSE_OPTIONS;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use units::{Domain, InstanceId};

/// Why a settings file was rejected; the message names the file, the place in it, and how to correct it.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {cause}; name a settings file that can be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The file is not valid JSON with comments.
    #[error("{}: {cause}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// The syntax error, with line and column.
        cause: String,
    },
    /// A key is unknown or missing, or a value is invalid.
    #[error("{}: at `{key}`: {cause}", file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The path of the key.
        key: String,
        /// What is invalid, and what is expected.
        cause: String,
    },
}

impl SettingsError {
    /// Whether the file may be valid in a moment, since it is still being written.
    pub(crate) fn is_temporary(&self) -> bool {
        matches!(self, Self::Unreadable { .. } | Self::Syntax { .. })
    }
}

/// The settings that identify a process, and the address of its admin server.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The instance the process runs on, as the platform's list names it.
    pub instance: InstanceId,
    /// The failure domain of the instance.
    pub domain: Domain,
    /// The address of the admin server (health, metrics, timeline, status).
    pub admin: SocketAddr,
    /// The lowest severity of log lines to print: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: LogLevel,
}

fn default_log() -> LogLevel {
    LogLevel::Info
}

/// The lowest severity of log lines to print.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults from which the process recovers by itself.
    Warn,
    /// Changes of state.
    Info,
    /// Details of single requests.
    Debug,
}

impl From<LogLevel> for simplelog::LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

/// Reads and parses a settings file.
pub fn load_settings<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|cause| SettingsError::Unreadable { file: file.to_owned(), cause })?;
    parse_settings(file, &text)
}

/// Parses the text of a settings file; `file` appears only in errors.
pub fn parse_settings<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, SettingsError> {
    let file = file.to_owned();
    let value: serde_json::Value = match jsonc_parser::parse_to_serde_value(text, &PARSE_OPTIONS) {
        Ok(value) => value,
        Err(cause) => return Err(SettingsError::Syntax { file, cause: cause.to_string() }),
    };
    if value.is_null() {
        return Err(SettingsError::Syntax { file, cause: "the file has no settings".to_owned() });
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let key = error.path().to_string();
        SettingsError::Value { file, key, cause: error.into_inner().to_string() }
    })
}

#[cfg(test)]
mod tests;
