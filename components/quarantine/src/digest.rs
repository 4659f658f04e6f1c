//! What tells one request from another, whatever its id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

/// Bytes of a digest: two requests of a deployment never share one by chance.
const LENGTH: usize = 16;

/// Stands for all requests with the same caller, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; LENGTH]);

/// Why a text is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{0}` is no digest of a request; write the 32 hexadecimal digits of a `sent` line")]
pub struct ParseDigestError(String);

impl Digest {
    /// The digest of a request; a cryptographic hash, so that no caller can make another one's request look like its own.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // With their lengths, so that moving a boundary makes another request.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let hash = hash.finalize();
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&hash[..LENGTH]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let mut bytes = [0; LENGTH];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseDigestError(text.to_owned()))?;
        Ok(Self(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

#[cfg(test)]
mod tests;
