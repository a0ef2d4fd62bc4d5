//! Logs as JSON lines, with a cap on repeated ones.

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

/// Where log lines go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogDestination {
    /// Standard error of the process.
    StandardError,
    /// Standard output of the process.
    StandardOutput,
    /// A file, to which lines are appended.
    File(PathBuf),
}

/// Keeps the log going; dropping it writes what is still queued.
#[derive(Debug)]
#[non_exhaustive]
pub struct Logging {}

/// Sends everything that the process logs at `level` and above to `destination`.
///
/// Can be called once for each process.
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
