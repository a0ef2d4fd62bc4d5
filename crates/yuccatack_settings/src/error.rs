//! Errors of loading settings.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::Problem;

/// Error of loading a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file does not exist, is not readable or is not UTF-8.
    #[snafu(display(
        "cannot read the settings file {}: {source}; check the path and its permissions",
        path.display()
    ))]
    Read {
        /// Path that was given to [`load`](crate::load).
        path: PathBuf,
        /// Error of reading the file.
        source: io::Error,
    },
    /// The text is not valid YAML, or violates the schema of the role or a rule between settings.
    #[snafu(display("{}", join_lines(problems)))]
    Invalid {
        /// All problems: invalid keys in file order, then missing keys, then violated rules between
        /// settings. Only one if the YAML or the key `role` is invalid.
        problems: Vec<Problem>,
    },
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
