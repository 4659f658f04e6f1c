//! What identifies a request, and which parts of its prompt it may share with other requests.

use crate::Digest;

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part in lower case.
    pub id: Box<str>,
    /// Identifies the part in the requests of all callers.
    pub digest: Digest,
    /// Identifies the part in the requests of one caller.
    pub caller_digest: Digest,
}

/// What a request can be recognized by, whatever its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fingerprint {
    /// Identifies all requests with the same caller, path and body.
    pub request: Digest,
    /// The parts of the prompt that other requests may have too.
    pub parts: Vec<PromptPart>,
}

impl Fingerprint {
    /// The fingerprint of a request of a caller whose prompt has parts with these ids.
    pub fn new<'a>(
        request: Digest,
        caller: &[u8],
        part_ids: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        let mut parts: Vec<PromptPart> = Vec::new();
        for id in part_ids {
            let id = id.to_ascii_lowercase().into_boxed_str();
            if parts.iter().any(|part| part.id == id) {
                continue;
            }
            let digest = Digest::of(&[b"part", id.as_bytes()]);
            let caller_digest = Digest::of(&[b"part of caller", caller, id.as_bytes()]);
            parts.push(PromptPart { id, digest, caller_digest });
        }
        Self { request, parts }
    }

    /// The digests of all parts: those for all callers and those for this caller.
    pub fn part_digests(&self) -> impl Iterator<Item = Digest> {
        self.parts.iter().flat_map(|part| [part.digest, part.caller_digest])
    }

    /// All digests of the request: its own and those of its parts.
    pub fn digests(&self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.request).chain(self.part_digests())
    }
}

impl From<Digest> for Fingerprint {
    /// The fingerprint of a request whose prompt has no parts that other requests may have.
    fn from(request: Digest) -> Self {
        Self { request, parts: Vec::new() }
    }
}

#[cfg(test)]
mod tests;
