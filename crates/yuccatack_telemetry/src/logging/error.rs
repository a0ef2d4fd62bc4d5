//! Errors of starting the log.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Error of starting the log.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LoggingError {
    /// The log file could not be opened.
    #[snafu(display(
        "cannot open the log file {}: {source}; check the folder and its permissions",
        path.display()
    ))]
    Open {
        /// Path of the log file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The thread that writes lines could not start.
    #[snafu(display("cannot start the log writer: {source}; raise the limit on threads"))]
    Spawn {
        /// Error of the operating system.
        source: io::Error,
    },
    /// `log4rs` rejected the configuration.
    #[snafu(display("cannot configure logging: {source}; report this as a bug"))]
    Configure {
        /// Errors of `log4rs`.
        source: log4rs::config::runtime::ConfigErrors,
    },
    /// A logger is already installed.
    #[snafu(display("cannot install the logger: {source}; initialise logging once per process"))]
    Install {
        /// Error of the `log` crate.
        source: log::SetLoggerError,
    },
}
