//! One problem of a settings file.

use std::fmt;
use std::path::PathBuf;

use serde::Serialize;

/// What is wrong at one place of a settings file, and how to put it right.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The file, unless the text came from elsewhere.
    pub file: Option<PathBuf>,
    /// The path of the key, for example `initial_replicas[1].address`; empty for the whole file.
    pub path: String,
    /// What was found there.
    pub found: String,
    /// What to do.
    pub remedy: String,
}

impl Problem {
    pub(crate) fn new(
        path: impl Into<String>,
        found: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self { file: None, path: path.into(), found: found.into(), remedy: remedy.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(formatter, "{}: ", file.display())?;
        }
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        write!(formatter, "{}; {}", self.found, self.remedy)
    }
}
