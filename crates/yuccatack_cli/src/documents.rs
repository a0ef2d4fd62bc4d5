//! Documents of settings and record files.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::Value;
use serde_yaml_ng::Deserializer;
use snafu::ResultExt;

use crate::CliError;
use crate::error::ReadFileSnafu;

/// One document of a file.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) file: PathBuf,
    /// The position in the file, from 1.
    pub(crate) number: usize,
    pub(crate) content: Value,
}

/// Reads every document of a file in YAML or JSON; JSON is a subset of YAML.
pub(crate) fn read(path: &Path) -> Result<Vec<Document>, CliError> {
    let text = read_text(path).context(ReadFileSnafu { path })?;
    let invalid = |problem| CliError::InvalidFile { path: path.to_path_buf(), problem };
    let mut documents = Vec::new();
    for (index, document) in Deserializer::from_str(&text).enumerate() {
        // The YAML value refuses a key that stands twice; the JSON value would take the last one.
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
        return Err(invalid("the file holds no document; add one or leave it out".to_owned()));
    }
    Ok(documents)
}

fn read_text(path: &Path) -> io::Result<String> {
    if path.as_os_str() == "-" { io::read_to_string(io::stdin()) } else { fs::read_to_string(path) }
}

impl Document {
    /// Whether the document is a record and not the settings of a process.
    pub(crate) fn is_record(&self) -> bool {
        self.content.get("kind").is_some() || self.content.get("role").is_none()
    }

    /// A text under a key, if it is there.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.content.get(key).and_then(Value::as_str)
    }
}
