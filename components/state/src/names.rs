//! Names of models that many members and grants have in common, kept in memory once.

use std::collections::HashSet;

use units::ModelName;

/// How many names are known before all are forgotten, so that names of the past do not pile up.
const MOST: usize = 8192;

/// Names that were seen; forgetting one only costs memory.
#[derive(Debug, Clone, Default)]
pub(crate) struct Names(HashSet<ModelName>);

/// What is known here is no part of the state.
impl PartialEq for Names {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Names {
    /// Replaces a name by the copy that others hold.
    pub(crate) fn share(&mut self, name: &mut ModelName) {
        if let Some(known) = self.0.get(name) {
            name.clone_from(known);
            return;
        }
        if self.0.len() >= MOST {
            self.0.clear();
        }
        self.0.insert(name.clone());
    }
}

#[cfg(test)]
mod tests;
