//! The log lines of routers and loaders, as files have them.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::CmdError;

/// A line of a log.
#[derive(Debug, Clone)]
pub(crate) struct Line {
    pub(crate) time: u64,
    pub(crate) fields: Map<String, Value>,
}

/// What was read, and what could not be.
#[derive(Debug, Default)]
pub(crate) struct Read {
    pub(crate) lines: Vec<Line>,
    /// Lines that are cut.
    pub(crate) broken: usize,
    /// Lines of other programs.
    pub(crate) foreign: usize,
}

/// Reads all files.
pub(crate) fn read(files: &[PathBuf]) -> Result<Read, CmdError> {
    let mut read = Read::default();
    for file in files {
        read_file(file, &mut read)?;
    }
    Ok(read)
}

impl Line {
    /// A field as text; empty if there is none.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// A field as a number; 0 if there is none.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }
}

/// Reads the JSON of each line, whatever a collector wrote before it.
fn read_file(file: &Path, read: &mut Read) -> Result<(), CmdError> {
    let bytes =
        std::fs::read(file).map_err(|cause| CmdError::File { file: file.to_owned(), cause })?;
    for text in String::from_utf8_lossy(&bytes).lines() {
        let Some(start) = text.find("{\"time_ms\"") else {
            read.foreign += usize::from(!text.trim().is_empty());
            continue;
        };
        match serde_json::from_str::<Map<String, Value>>(&text[start..]) {
            Ok(fields) => {
                let time = fields.get("time_ms").and_then(Value::as_u64).unwrap_or(0);
                read.lines.push(Line { time, fields });
            }
            Err(_) => read.broken += 1,
        }
    }
    Ok(())
}
