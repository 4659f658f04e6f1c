//! The count of executions that engines and services keep.

use serde::{Deserialize, Serialize};

/// What became of one request id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// How many times it was run.
    pub runs: u32,
    /// How many runs came to their end.
    pub finished: u32,
    /// How many runs were cancelled or cut.
    pub cancelled: u32,
}
