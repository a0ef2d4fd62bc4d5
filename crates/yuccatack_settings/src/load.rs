//! Loads and validates settings files.

use std::fs;
use std::path::Path;

use serde_yaml_ng::{Mapping, Value};
use snafu::{ResultExt, ensure};

use crate::error::{InvalidSnafu, ReadSnafu};
use crate::validation::{self, Role};
use crate::{Problem, Settings, SettingsError};

/// Loads and validates the settings of a process from the file at `path`.
pub fn load(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
    let path = path.as_ref();
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&text).map_err(|error| error.in_file(path))
}

/// Returns all problems of the settings file at `path`; empty if the file is valid.
pub fn check(path: impl AsRef<Path>) -> Vec<Problem> {
    match load(&path) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Invalid { problems }) => problems,
        Err(error @ SettingsError::Read { .. }) => {
            let file = Some(path.as_ref().to_path_buf());
            let found = error.to_string();
            vec![Problem { file, ..Problem::new("", found, "give a readable file") }]
        }
    }
}

/// Returns all problems of the settings in `text`; empty if they are valid.
pub fn check_text(text: &str) -> Vec<Problem> {
    match parse(text) {
        Err(SettingsError::Invalid { problems }) => problems,
        Ok(_) | Err(SettingsError::Read { .. }) => Vec::new(),
    }
}

/// Parses and validates the settings in `text`.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let mapping = parse_mapping(text).map_err(invalid)?;
    let role = Role::from_mapping(&mapping).map_err(invalid)?;
    let problems = validation::check(role, &mapping);
    ensure!(problems.is_empty(), InvalidSnafu { problems });
    // Validated settings must deserialize. An error here means that validation accepts a value that
    // the structs reject.
    serde_path_to_error::deserialize(Value::Mapping(mapping)).map_err(|error| {
        let path = error.path().to_string();
        let found = error.into_inner().to_string();
        invalid(Problem::new(path, found, "see the reference page of the settings"))
    })
}

fn parse_mapping(text: &str) -> Result<Mapping, Problem> {
    let value: Value = serde_yaml_ng::from_str(text).map_err(|error| {
        let remedy = "write one YAML document of `key: value` lines, each key once";
        Problem::new("", format!("not valid YAML: {error}"), remedy)
    })?;
    match value {
        Value::Mapping(mapping) => Ok(mapping),
        other => {
            let found = format!("found {}", validation::describe(&other));
            Err(Problem::new("", found, "write `key: value` lines, the first one `role: ...`"))
        }
    }
}

fn invalid(problem: Problem) -> SettingsError {
    SettingsError::Invalid { problems: vec![problem] }
}

impl SettingsError {
    fn in_file(mut self, path: &Path) -> Self {
        if let Self::Invalid { problems } = &mut self {
            for problem in problems {
                problem.file = Some(path.to_path_buf());
            }
        }
        self
    }
}
