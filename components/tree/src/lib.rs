//! The settings tree: schema, inheritance, edits.
