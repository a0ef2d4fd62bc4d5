//! Logs as JSON lines, with a rate limit on repeated lines.

mod appender;
mod error;
mod limiter;
mod line;
mod writer;

use std::path::PathBuf;

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::Append;
use log4rs::config::{Appender, Root};
use snafu::ResultExt;
use yuccatack_core::NodeName;

pub use appender::JsonLines;
pub use error::LoggingError;
pub use limiter::{Decision, RepeatLimiter, Summary};
pub use line::{LineContext, UNNAMED_EVENT, event_name};

use error::{ConfigureSnafu, InstallSnafu};

/// Destination of log lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogDestination {
    /// Standard error of the process.
    StandardError,
    /// Standard output of the process.
    StandardOutput,
    /// File to which lines are appended.
    File(PathBuf),
}

/// Guard of the logger; dropping it writes the lines that are still queued.
#[derive(Debug)]
#[non_exhaustive]
pub struct Logging {}

/// Installs a logger that writes the lines of the process at `level` and above to `destination`.
///
/// Fails if a logger is already installed.
pub fn init_logging(
    node: &NodeName,
    level: LevelFilter,
    destination: LogDestination,
) -> Result<Logging, LoggingError> {
    let appender = JsonLines::open(LineContext::new(node.clone()), level, destination)?;
    let name = "json_lines";
    let config = Config::builder()
        .appender(Appender::builder().build(name, Box::new(appender) as Box<dyn Append>))
        .build(Root::builder().appender(name).build(level))
        .context(ConfigureSnafu)?;
    log4rs::init_config(config).context(InstallSnafu)?;
    Ok(Logging {})
}

impl Drop for Logging {
    fn drop(&mut self) {
        log::logger().flush();
    }
}
