//! The version of the software that an endpoint runs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest version, in bytes.
const MAX_VERSION_BYTES: usize = 200;

/// The version of the software that an endpoint runs, as the platform names it. Versions are equal or not; they have no order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

/// The error for a text that is not a valid version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ParseVersionError {
    /// The text is empty.
    #[error("an empty software version; write at least one character")]
    Empty,
    /// The text is longer than 200 bytes.
    #[error("a software version of {len} bytes; at most {MAX_VERSION_BYTES} are allowed")]
    Long {
        /// The length of the text in bytes.
        len: usize,
    },
}

impl SoftwareVersion {
    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseVersionError;

    fn from_str(text: &str) -> Result<Self, ParseVersionError> {
        match text.len() {
            0 => Err(ParseVersionError::Empty),
            len if len > MAX_VERSION_BYTES => Err(ParseVersionError::Long { len }),
            _ => Ok(Self(text.into())),
        }
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = ParseVersionError;

    fn try_from(text: String) -> Result<Self, ParseVersionError> {
        text.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.as_str().to_owned()
    }
}

#[cfg(test)]
mod tests;
