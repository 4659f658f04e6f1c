//! What callers can ask for.

use thiserror::Error;
use units::{AdapterName, ModelName, NodePath};

use crate::{NodeKind, Settings};

/// A leaf that callers can ask for.
#[derive(Debug, Clone, PartialEq)]
pub struct Leaf {
    /// Its place in the tree.
    pub path: NodePath,
    /// Its kind: a model, adapter or service.
    pub kind: NodeKind,
    /// The model's name (of an adapter: its model's), or the service's.
    pub model: ModelName,
    /// The adapter, if it is one.
    pub adapter: Option<AdapterName>,
    /// What the engine loads: the model's name with the version in force, as `page-text@v2`.
    pub artifact: ModelName,
    /// The settings in force there.
    pub settings: Settings,
}

/// What a caller asked for, split: `model` or `model:adapter`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelRef {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
}

/// Why a caller's name stands for no leaf.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResolveError {
    /// There is none of that name.
    #[error("no model `{name}`{}", hint(.nearest))]
    Unknown {
        /// What was asked for.
        name: String,
        /// The nearest name there is.
        nearest: Option<String>,
    },
    /// There is no plain service of that name.
    #[error("no service `{name}`{}", hint(.nearest))]
    UnknownService {
        /// What was asked for.
        name: String,
        /// The nearest name there is.
        nearest: Option<String>,
    },
}

fn hint(nearest: &Option<String>) -> String {
    nearest.as_ref().map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
}

/// How alike two names must be for one to be offered for the other.
const ALIKE: f64 = 0.6;
/// A longer name is not compared with all others.
const LONGEST_ASKED: usize = 200;

impl Leaf {
    /// The name that callers use: `model`, `model:adapter` or the service's.
    pub fn name(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}:{adapter}", self.model),
            None => self.model.to_string(),
        }
    }
}

pub(crate) fn cut(name: &str) -> String {
    name.chars().take(LONGEST_ASKED).collect()
}

/// The name that is most like another, if one is alike enough to be offered.
pub(crate) fn nearest<'a>(name: &str, names: impl Iterator<Item = &'a String>) -> Option<String> {
    if name.len() > LONGEST_ASKED {
        return None;
    }
    let scored = names.map(|known| (strsim::jaro_winkler(name, known), known));
    let alike = scored.filter(|(score, _)| *score >= ALIKE);
    // Of equals the first by name, so that all processes say the same.
    let best = alike.max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
    best.map(|(_, known)| known.clone())
}
