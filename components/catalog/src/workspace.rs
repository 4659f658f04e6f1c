//! Workspaces: who calls, with which keys, and how much they may ask for.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::de::{self, Deserializer};
use serde::{Deserialize, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use thiserror::Error;
use units::WorkspaceName;

const LENGTH: usize = 32;
/// So many bytes of a digest are shown: enough to tell the keys of a deployment apart.
const SHOWN: usize = 4;

/// The digest of a caller's key. The key itself is kept nowhere, so that it can't get into a log, a dump or an answer; and
/// a comparison of digests tells nothing about it by the time that it takes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; LENGTH]);

/// Why a text is not the digest of a key.
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
        f.write_str(&hex::encode(&self.0[..SHOWN]))
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
        let mut bytes = [0; LENGTH];
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

/// What the requests of a workspace are counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each counts as one.
    Requests,
    /// Each counts as the tokens of its prompt and the most that it may generate.
    Tokens {
        /// What one counts that does not say.
        #[serde(rename = "plain")]
        default_cost: u32,
    },
}

impl Unit {
    /// What a request counts that names these tokens.
    pub fn cost(self, tokens: Option<(u32, u32)>) -> u32 {
        match (self, tokens) {
            (Self::Requests, _) => 1,
            (Self::Tokens { default_cost }, None) => default_cost,
            (Self::Tokens { .. }, Some((prompt, most))) => prompt.saturating_add(most),
        }
    }
}

/// How much a workspace may ask for, over all routers together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units at once beyond these.
    pub burst: f64,
}

/// A group of callers with keys and a limit of their own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, as endpoints are told.
    pub name: WorkspaceName,
    /// The digests of its callers' keys.
    pub keys: Vec<KeyDigest>,
    /// How urgent its requests are, if it says so; this goes before what their routes say.
    pub priority: Option<u8>,
    /// What its requests are counted in.
    pub unit: Unit,
    /// Its limit, if it has one.
    pub limit: Option<Limit>,
}

/// The workspaces of one version of the configuration, by the keys of their callers.
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
    /// The workspace whose callers have this key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.holders.get(key).map(|at| &self.all[*at])
    }

    /// The workspace of this name.
    pub fn named(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.all.iter().find(|workspace| workspace.name == *name)
    }

    /// All of them, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.all.iter()
    }

    /// All keys, in no order.
    pub fn keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.holders.keys()
    }
}

#[cfg(test)]
mod tests;
