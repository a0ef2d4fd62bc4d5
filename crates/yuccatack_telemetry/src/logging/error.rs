//! Why logging could not start.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why logging could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LoggingError {
    /// The log file could not be opened.
    #[snafu(display(
        "cannot open the log file {}: {source}; check the folder and its permissions",
        path.display()
    ))]
    Open {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// The thread that writes lines could not start.
    #[snafu(display("cannot start the log writer: {source}; raise the limit of threads"))]
    Spawn {
        /// What the operating system said.
        source: io::Error,
    },
    /// The logging library refused the configuration.
    #[snafu(display("cannot configure logging: {source}; report this as a fault"))]
    Configure {
        /// What the library said.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// A logger is already installed.
    #[snafu(display("cannot install the logger: {source}; start logging once for each process"))]
    Install {
        /// What the library said.
        source: log::SetLoggerError,
    },
}
