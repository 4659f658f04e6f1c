//! Workspaces: groups of callers with keys and limits.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::de::{self, Deserializer};
use serde::{Deserialize, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use thiserror::Error;
use units::WorkspaceName;

const DIGEST_BYTES: usize = 32;
/// The number of bytes of a digest that are shown: enough to tell the keys of a deployment apart.
const SHOWN_BYTES: usize = 4;

/// The digest of a caller's key. The key itself isn't stored, so that it can't appear in a log, a dump or an answer. The time
/// that a comparison of digests takes reveals nothing about the key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The error for a text that is not the digest of a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a digest of a key has 64 hexadecimal digits")]
pub struct ParseKeyError;

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..SHOWN_BYTES]))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseKeyError)?;
        Ok(Self(bytes))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&hex::encode(self.0))
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// The unit in which the requests of a workspace are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request counts as one unit.
    Requests,
    /// Each request counts as the tokens of its prompt plus the most tokens that it may generate.
    Tokens {
        /// The cost of a request that doesn't state its tokens.
        #[serde(rename = "plain")]
        default_cost: u32,
    },
}

impl Unit {
    /// The cost of a request with these numbers of prompt tokens and most generated tokens; `None` if it doesn't state them.
    pub fn cost(self, tokens: Option<(u32, u32)>) -> u32 {
        match (self, tokens) {
            (Self::Requests, _) => 1,
            (Self::Tokens { default_cost }, None) => default_cost,
            (Self::Tokens { .. }, Some((prompt, most))) => prompt.saturating_add(most),
        }
    }
}

/// The rate limit of a workspace, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once in addition to the rate.
    pub burst: f64,
}

/// A group of callers with keys and a limit of their own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name of the workspace, as endpoints receive it.
    pub name: WorkspaceName,
    /// The digests of the callers' keys.
    pub keys: Vec<KeyDigest>,
    /// The priority of the workspace's requests, if it has one; it takes precedence over the priority of the route.
    pub priority: Option<u8>,
    /// The unit in which the workspace's requests are counted.
    pub unit: Unit,
    /// The limit of the workspace, if it has one.
    pub limit: Option<Limit>,
}

/// The workspaces of one version of the configuration, indexed by key.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Workspace>", into = "Vec<Workspace>")]
pub struct Workspaces {
    all: Vec<Workspace>,
    holders: HashMap<KeyDigest, usize>,
}

impl From<Vec<Workspace>> for Workspaces {
    fn from(all: Vec<Workspace>) -> Self {
        let keys = all
            .iter()
            .enumerate()
            .flat_map(|(at, workspace)| workspace.keys.iter().map(move |key| (*key, at)));
        let holders = keys.collect();
        Self { all, holders }
    }
}

impl From<Workspaces> for Vec<Workspace> {
    fn from(workspaces: Workspaces) -> Self {
        workspaces.all
    }
}

impl Workspaces {
    /// The workspace that this key belongs to.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.holders.get(key).map(|at| &self.all[*at])
    }

    /// The workspace with this name.
    pub fn named(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.all.iter().find(|workspace| workspace.name == *name)
    }

    /// All workspaces, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.all.iter()
    }

    /// The digests of all keys, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.holders.keys()
    }
}

#[cfg(test)]
mod tests;
