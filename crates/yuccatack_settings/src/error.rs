//! Why settings could not be loaded.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::Problem;

/// Why settings could not be loaded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display(
        "cannot read the settings file {}: {source}; check the path and its permissions",
        path.display()
    ))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// The file holds wrong settings.
    #[snafu(display("{}", list(problems)))]
    Invalid {
        /// Every problem, in the order of the file's keys.
        problems: Vec<Problem>,
    },
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
