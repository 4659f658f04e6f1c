//! Making changes in the text of a settings file without losing its comments.

use jsonc_parser::cst::{CstInputValue, CstObject, CstRootNode};
use serde_json::Value;
use units::NodePath;

use crate::Change;
use jsonc::PARSE_OPTIONS;

/// The text with changes made in it, and all else as it was; nothing if a change finds no place.
pub fn rewrite(text: &str, changes: &[Change]) -> Option<String> {
    let root = CstRootNode::parse(text, &PARSE_OPTIONS).ok()?;
    let object = root.object_value()?;
    changes.iter().try_for_each(|change| make(&object, change))?;
    Some(root.to_string())
}

fn make(root: &CstObject, change: &Change) -> Option<()> {
    match change {
        Change::Add { path, kind } => {
            let children = find(root, &path.parent()?)?.object_value_or_set("children");
            let kind = ("kind".to_owned(), CstInputValue::String(kind.to_string()));
            children.append(path.name(), CstInputValue::Object(vec![kind]));
        }
        Change::Remove { path } => {
            let children = find(root, &path.parent()?)?.object_value("children")?;
            children.get(path.name())?.remove();
        }
        Change::Set { path, setting, value } => {
            let settings = find(root, path)?.object_value_or_set("settings");
            match settings.get(setting.as_str()) {
                Some(entry) => entry.set_value(input(value)),
                None => {
                    settings.append(setting.as_str(), input(value));
                }
            }
        }
        Change::Clear { path, setting } => {
            find(root, path)?.object_value("settings")?.get(setting.as_str())?.remove();
        }
    }
    Some(())
}

/// The object of a node.
fn find(root: &CstObject, path: &NodePath) -> Option<CstObject> {
    let mut names = path.as_str().split('/').filter(|name| !name.is_empty());
    names.try_fold(root.clone(), |node, name| node.object_value("children")?.object_value(name))
}

fn input(value: &Value) -> CstInputValue {
    match value {
        Value::Null => CstInputValue::Null,
        Value::Bool(flag) => CstInputValue::Bool(*flag),
        Value::Number(number) => CstInputValue::Number(number.to_string()),
        Value::String(text) => CstInputValue::String(text.clone()),
        Value::Array(list) => CstInputValue::Array(list.iter().map(input).collect()),
        Value::Object(object) => {
            let entries = object.iter().map(|(key, value)| (key.clone(), input(value)));
            CstInputValue::Object(entries.collect())
        }
    }
}

#[cfg(test)]
mod tests;
