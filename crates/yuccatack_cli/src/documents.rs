//! Reads the documents of settings and record files.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::Value;
use serde_yaml_ng::Deserializer;
use snafu::ResultExt;

use crate::CliError;
use crate::error::ReadFileSnafu;

/// Document of a settings or record file, as JSON.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) file: PathBuf,
    /// Position in the file, from 1; empty documents count.
    pub(crate) number: usize,
    pub(crate) content: Value,
}

/// Reads every document of a YAML or JSON file. JSON is a subset of YAML, so one parser reads both.
pub(crate) fn read(path: &Path) -> Result<Vec<Document>, CliError> {
    let text = read_text(path).context(ReadFileSnafu { path })?;
    let invalid = |problem| CliError::InvalidFile { path: path.to_path_buf(), problem };
    let mut documents = Vec::new();
    for (index, document) in Deserializer::from_str(&text).enumerate() {
        // A YAML value rejects duplicate keys; a JSON value would keep only the last one.
        let content = serde_yaml_ng::Value::deserialize(document)
            .map_err(|error| invalid(format!("not valid YAML or JSON: {error}; correct it")))?;
        if content.is_null() {
            continue;
        }
        let number = index + 1;
        let content = serde_json::to_value(&content).map_err(|error| {
            invalid(format!("document {number} cannot be sent as JSON: {error}; use plain keys"))
        })?;
        documents.push(Document { file: path.to_path_buf(), number, content });
    }
    if documents.is_empty() {
        return Err(invalid("the file contains no document; add one or omit the file".to_owned()));
    }
    Ok(documents)
}

fn read_text(path: &Path) -> io::Result<String> {
    if path.as_os_str() == "-" { io::read_to_string(io::stdin()) } else { fs::read_to_string(path) }
}

impl Document {
    /// Returns `false` if the document contains process settings: a `role` and no `kind`. Any other
    /// document counts as a record.
    pub(crate) fn is_record(&self) -> bool {
        self.content.get("kind").is_some() || self.content.get("role").is_none()
    }

    /// Returns the string at `key`, or `None` if the key is missing or has another type.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.content.get(key).and_then(Value::as_str)
    }
}
