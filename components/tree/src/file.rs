//! Reading the tree from a settings file.

use std::collections::HashSet;
use std::path::{Path, PathBuf};

use jsonc::PARSE_OPTIONS;
use jsonc_parser::ast::{Object, Value as Ast};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, parse_to_ast};
use serde::Deserialize;
use serde_json::Value as Json;
use thiserror::Error;
use units::{NodePath, Revision, SettingName};

use crate::node::{Node, Nodes, Value};
use crate::{ApplyError, NodeKind, Settings, Tree, check};

/// A settings file, read and checked.
#[derive(Debug, Clone, PartialEq)]
pub struct TreeFile {
    /// The tree; all its revisions are 0.
    pub tree: Tree,
    /// The revision that the file was pulled at, if it was.
    pub revision: Option<Revision>,
}

/// Why a settings file is wrong; names the file, the line, the node and the key, and says what would be right.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FileError {
    /// The file is not JSON with comments.
    #[error("{}: {cause}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// What is wrong, with line and column.
        cause: String,
    },
    /// A key or value is wrong.
    #[error("{}:{line}: {path}: {cause}", file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The line.
        line: usize,
        /// The node.
        path: NodePath,
        /// What is wrong and what would be right.
        cause: String,
    },
    /// The tree as a whole is wrong.
    #[error("{}: {cause}", file.display())]
    Tree {
        /// The file.
        file: PathBuf,
        /// What is wrong and what would be right.
        cause: ApplyError,
    },
}

/// Reads the text of a settings file; `file` only appears in errors.
pub fn parse(file: &Path, text: &str) -> Result<TreeFile, FileError> {
    let syntax = |cause: String| FileError::Syntax { file: file.to_owned(), cause };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
        .map_err(|error| syntax(error.to_string()))?;
    let Some(Ast::Object(root)) = parsed.value else {
        return Err(syntax("the file holds no object; write `{ \"children\": { … } }`".to_owned()));
    };
    let mut reader = Reader { file, text, nodes: Nodes::new(), revision: None };
    reader.node(&NodePath::root(), &root)?;
    let tree =
        Tree::of(reader.nodes).map_err(|cause| FileError::Tree { file: file.to_owned(), cause })?;
    Ok(TreeFile { tree, revision: reader.revision })
}

/// The text of a settings file with another revision, and all else as it was.
pub fn with_revision(text: &str, revision: Revision) -> String {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS).ok();
    let Some(Ast::Object(root)) = parsed.and_then(|parsed| parsed.value) else {
        return text.to_owned();
    };
    if let Some(entry) = root.get("revision") {
        let (start, end) = (entry.value.start(), entry.value.end());
        return format!("{}{revision}{}", &text[..start], &text[end..]);
    }
    let (before, after) = text.split_at(root.start() + 1);
    format!("{before}\n  \"revision\": {revision},{after}")
}

struct Reader<'a> {
    file: &'a Path,
    text: &'a str,
    nodes: Nodes,
    revision: Option<Revision>,
}

impl Reader<'_> {
    fn error(&self, place: &impl Ranged, path: &NodePath, cause: impl Into<String>) -> FileError {
        let before = &self.text.as_bytes()[..place.start().min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        FileError::Value {
            file: self.file.to_owned(),
            line,
            path: path.clone(),
            cause: cause.into(),
        }
    }

    fn node(&mut self, path: &NodePath, object: &Object<'_>) -> Result<(), FileError> {
        self.unique(path, object)?;
        let kind = self.kind(path, object)?;
        self.nodes.insert(path.clone(), Node::new(kind, Revision(0)));
        for entry in &object.properties {
            match entry.name.as_str() {
                "kind" => {}
                "settings" => {
                    let settings = self.object(path, "settings", &entry.value)?;
                    self.settings(path, kind, settings)?;
                }
                "children" => {
                    let children = self.object(path, "children", &entry.value)?;
                    self.children(path, children)?;
                }
                "revision" if path.parent().is_none() => {
                    self.revision = Some(self.revision(path, &entry.value)?);
                }
                key => {
                    let cause = format!(
                        "unknown key `{key}`; a node has `kind`, `settings` and `children`"
                    );
                    return Err(self.error(entry, path, cause));
                }
            }
        }
        Ok(())
    }

    fn unique(&self, path: &NodePath, object: &Object<'_>) -> Result<(), FileError> {
        let mut seen = HashSet::new();
        let twice = object.properties.iter().find(|entry| !seen.insert(entry.name.as_str()));
        match twice {
            None => Ok(()),
            Some(entry) => {
                let cause = format!("`{}` stands here twice; keep one", entry.name.as_str());
                Err(self.error(entry, path, cause))
            }
        }
    }

    fn kind(&self, path: &NodePath, object: &Object<'_>) -> Result<NodeKind, FileError> {
        let Some(entry) = object.get("kind") else { return Ok(NodeKind::Branch) };
        let kind = NodeKind::deserialize(self.json(path, &entry.value)?);
        kind.map_err(|error| self.error(entry, path, format!("`kind`: {error}")))
    }

    fn revision(&self, path: &NodePath, value: &Ast<'_>) -> Result<Revision, FileError> {
        let revision = Revision::deserialize(self.json(path, value)?);
        revision.map_err(|_| {
            self.error(value, path, "`revision` is not a whole number; leave it as it was pulled")
        })
    }

    fn object<'o, 'a>(
        &self,
        path: &NodePath,
        key: &str,
        value: &'o Ast<'a>,
    ) -> Result<&'o Object<'a>, FileError> {
        value.as_object().ok_or_else(|| {
            self.error(value, path, format!("`{key}` is not an object; write `\"{key}\": {{ … }}`"))
        })
    }

    fn settings(
        &mut self,
        path: &NodePath,
        kind: NodeKind,
        object: &Object<'_>,
    ) -> Result<(), FileError> {
        self.unique(path, object)?;
        for entry in &object.properties {
            let name = entry.name.as_str();
            let value = self.json(path, &entry.value)?;
            check::value(path, kind, name, &value, &mut Settings::default())
                .map_err(|error| self.error(entry, path, cause(error)))?;
            let name: SettingName = name
                .parse()
                .map_err(|error: units::ParseIdError| self.error(entry, path, error.to_string()))?;
            if let Some(node) = self.nodes.get_mut(path) {
                node.settings.insert(name, Value { value, revision: Revision(0) });
            }
        }
        Ok(())
    }

    /// A value without its comments; a key that stands twice in an object is an error.
    fn json(&self, path: &NodePath, value: &Ast<'_>) -> Result<Json, FileError> {
        Ok(match value {
            Ast::StringLit(text) => Json::from(text.value.as_ref()),
            Ast::NumberLit(number) => serde_json::from_str(number.value)
                .map_err(|error| self.error(value, path, error.to_string()))?,
            Ast::BooleanLit(flag) => Json::from(flag.value),
            Ast::NullKeyword(_) => Json::Null,
            Ast::Array(list) => {
                let values = list.elements.iter().map(|value| self.json(path, value));
                Json::Array(values.collect::<Result<_, _>>()?)
            }
            Ast::Object(object) => {
                self.unique(path, object)?;
                let entries = object.properties.iter().map(|entry| {
                    Ok((entry.name.as_str().to_owned(), self.json(path, &entry.value)?))
                });
                Json::Object(entries.collect::<Result<_, FileError>>()?)
            }
        })
    }

    fn children(&mut self, path: &NodePath, object: &Object<'_>) -> Result<(), FileError> {
        self.unique(path, object)?;
        for entry in &object.properties {
            let name = entry.name.as_str();
            if name.contains('/') {
                let cause = format!("`{name}` has a `/`; nest the nodes instead");
                return Err(self.error(entry, path, cause));
            }
            let child =
                path.child(name).map_err(|error| self.error(entry, path, error.to_string()))?;
            check::path(&child).map_err(|error| self.error(entry, &child, cause(error)))?;
            let below = self.object(&child, name, &entry.value)?;
            self.node(&child, below)?;
        }
        Ok(())
    }
}

/// The cause alone, where the place is known better.
fn cause(error: ApplyError) -> String {
    match error {
        ApplyError::Invalid { cause, .. } => cause,
        conflict @ ApplyError::Conflict { .. } => conflict.to_string(),
    }
}

#[cfg(test)]
mod tests;
