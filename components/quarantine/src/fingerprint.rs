//! What identifies a request, and which parts of its prompt it may share with other requests.

use crate::Digest;

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part in lower case.
    pub id: Box<str>,
    /// Identifies the part.
    pub digest: Digest,
}

/// What a request can be recognized by, whatever its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fingerprint {
    /// Identifies all requests with the same caller, path and body.
    pub request: Digest,
    /// Identifies its caller.
    pub caller: Digest,
    /// The parts of the prompt that other requests may have too.
    pub parts: Vec<PromptPart>,
}

impl Fingerprint {
    /// The fingerprint of a request of a caller whose prompt has parts with these ids.
    pub fn new<'a>(
        request: Digest,
        caller: Digest,
        part_ids: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        let mut parts: Vec<PromptPart> = Vec::new();
        for id in part_ids {
            let id = id.to_ascii_lowercase().into_boxed_str();
            if parts.iter().any(|part| part.id == id) {
                continue;
            }
            let digest = Digest::of(&[b"part", id.as_bytes()]);
            parts.push(PromptPart { id, digest });
        }
        Self { request, caller, parts }
    }

    /// Whether a digest is that of the request or of one of its parts.
    pub fn has(&self, digest: &Digest) -> bool {
        self.request == *digest || self.parts.iter().any(|part| part.digest == *digest)
    }
}

#[cfg(test)]
mod tests;
