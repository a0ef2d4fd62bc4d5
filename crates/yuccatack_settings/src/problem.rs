//! A validation error of a settings file.

use std::fmt;
use std::path::PathBuf;

use serde::Serialize;

/// Validation error at one key of a settings file, together with its remedy.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Settings file; `None` if the text was not read from a file.
    pub file: Option<PathBuf>,
    /// Path of the key, for example `initial_replicas[1].address`; empty for the whole file.
    pub path: String,
    /// Description of the invalid value or state.
    pub found: String,
    /// Instruction that resolves the problem.
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
