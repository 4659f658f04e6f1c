//! Digests that identify a request by its content, whatever its id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

/// The number of bytes in a digest: enough that two requests of a deployment never have the same digest by chance.
const DIGEST_BYTES: usize = 16;

/// Identifies all requests with the same caller, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

/// The error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "`{0}` is no digest of a request; write the 32 hexadecimal digits that the log shows in a `sent` step"
)]
pub struct ParseDigestError(String);

impl Digest {
    /// The digest of a request with these parts. It is a cryptographic hash, so that no caller can craft a request with the digest
    /// of another caller's request.
    pub fn of(parts: &[&[u8]]) -> Self {
        Self::finish(hash_parts(parts))
    }

    /// The digest of a request with these parts and a last one that is kept in segments.
    pub fn of_segmented(parts: &[&[u8]], last: &[impl AsRef<[u8]>]) -> Self {
        let mut hash = hash_parts(parts);
        hash_part(&mut hash, last);
        Self::finish(hash)
    }

    fn finish(hash: Sha256) -> Self {
        let hash = hash.finalize();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(bytes)
    }
}

fn hash_parts(parts: &[&[u8]]) -> Sha256 {
    let mut hash = Sha256::new();
    for part in parts {
        hash_part(&mut hash, std::slice::from_ref(part));
    }
    hash
}

/// Hashes a part with its length, so that moving the boundary between two parts changes the digest.
fn hash_part(hash: &mut Sha256, segments: &[impl AsRef<[u8]>]) {
    let len: usize = segments.iter().map(|segment| segment.as_ref().len()).sum();
    hash.update((len as u64).to_be_bytes());
    for segment in segments {
        hash.update(segment);
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
        let mut bytes = [0; DIGEST_BYTES];
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
