//! The settings tree: schema, inheritance, edits.

mod edit;
mod node;
mod schema;

pub use edit::{Change, Edit};
pub use node::{ApplyError, Leaf, ModelRef, Node, ResolveError, Tree, Value};
pub use schema::{Class, NodeKind, Settings, Window};
