//! The settings tree: schema, inheritance, edits.

mod apply;
mod check;
mod diff;
mod draft;
mod edit;
mod explain;
mod file;
mod index;
mod leaf;
mod node;
mod range;
mod reference;
mod render;
mod rewrite;
mod schema;
mod table;
mod window;

pub use apply::{ApplyError, MAX_CHANGE, MAX_CHANGES, MAX_EDIT, MAX_NODES};
pub use diff::diff;
pub use edit::{Change, Edit};
pub use explain::Row;
pub use file::{FileError, TreeFile, parse, with_revision};
pub use leaf::{Leaf, ModelRef, ResolveError};
pub use node::{Node, Tree, Value};
pub use range::Range;
pub use reference::reference;
pub use rewrite::rewrite;
pub use schema::{Class, NodeKind, Settings, Window};
pub use table::{Setting, setting, table};
pub use window::{Opening, WindowError};
