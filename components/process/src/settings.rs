//! Strict reading of settings files: JSON with comments, every key known.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jsonc::PARSE_OPTIONS;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use units::{Domain, InstanceId};

/// Why a settings file was refused; names file, place and mend.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {cause}; name a settings file that can be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The file is not JSON with comments.
    #[error("{}: {cause}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// What is wrong, with line and column.
        cause: String,
    },
    /// A key or value is wrong.
    #[error("{}: at `{key}`: {cause}", file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The path of the key.
        key: String,
        /// What would be right.
        cause: String,
    },
}

/// Who a process is and where it is managed.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The instance the process runs on, as the platform's list names it.
    pub instance: InstanceId,
    /// The failure domain of the instance.
    pub domain: Domain,
    /// The address of the admin server (health, metrics, time line, status).
    pub admin: SocketAddr,
    /// The least severe log lines to print: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: LogLevel,
}

fn default_log() -> LogLevel {
    LogLevel::Info
}

/// The least severe log lines to print.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults that need somebody.
    Error,
    /// Faults that mend themselves.
    Warn,
    /// Changes of state.
    Info,
    /// Single requests.
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

/// Reads a settings file.
pub fn load_settings<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|cause| SettingsError::Unreadable { file: file.to_owned(), cause })?;
    parse_settings(file, &text)
}

/// Reads the text of a settings file; `file` only appears in errors.
pub fn parse_settings<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, SettingsError> {
    let file = file.to_owned();
    let value: serde_json::Value = match jsonc_parser::parse_to_serde_value(text, &PARSE_OPTIONS) {
        Ok(value) => value,
        Err(cause) => return Err(SettingsError::Syntax { file, cause: cause.to_string() }),
    };
    serde_path_to_error::deserialize(value).map_err(|error| {
        let key = error.path().to_string();
        SettingsError::Value { file, key, cause: error.into_inner().to_string() }
    })
}

#[cfg(test)]
mod tests;
