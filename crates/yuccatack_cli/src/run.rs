//! Start and shutdown of the process that a settings file describes.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use log::LevelFilter;
use snafu::{ResultExt, Snafu};
use yuccatack_core::NodeName;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase, ShutdownTrigger, shutdown_channel};
use yuccatack_settings::{Settings, SettingsError};
use yuccatack_telemetry::{LogDestination, LoggingError, init_logging};

/// Maximum time between the abort of a role and the end of the process, in which the role logs its
/// unfinished work.
const ABORT_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Error of a process role that did not start or ended early.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The settings file could not be read or is invalid.
    #[snafu(transparent)]
    Settings {
        /// Problems of the settings.
        source: SettingsError,
    },
    /// The logger could not be initialized.
    #[snafu(transparent)]
    Logging {
        /// Failure of the logger or its log file.
        source: LoggingError,
    },
    /// The asynchronous runtime could not be started.
    #[snafu(display("cannot start the runtime: {source}; raise the limit of threads"))]
    Runtime {
        /// Error of the operating system.
        source: io::Error,
    },
    /// This build of the program does not contain the role.
    #[snafu(display("this build cannot run the role `{role}`; use a complete build"))]
    RoleMissing {
        /// `control`, `entry` or `agent`.
        role: &'static str,
    },
    /// The drain limit or a second signal aborted the process before all work was finished.
    #[snafu(display(
        "the process ended with work in flight; the log names it; raise `drain_limit_ms` if it \
         needs more time"
    ))]
    DrainIncomplete,
    /// The role failed while it started or ran.
    #[snafu(display("the {role} process failed: {source}"))]
    Role {
        /// `control`, `entry` or `agent`.
        role: &'static str,
        /// Error of the role.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Log level and destination of a process.
#[derive(Clone, Debug)]
pub(crate) struct LogOptions {
    pub(crate) level: LevelFilter,
    pub(crate) file: Option<PathBuf>,
}

/// Runs the process that the settings file describes until a signal stops it.
pub(crate) fn run_process(file: &Path, log: LogOptions) -> Result<(), RunError> {
    let settings = yuccatack_settings::load(file)?;
    let destination = match log.file {
        Some(path) => LogDestination::File(path),
        None => LogDestination::StandardError,
    };
    // Dropped last, so that the log contains all lines up to the end of the process.
    let _logging = init_logging(node(&settings), log.level, destination)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().context(RuntimeSnafu)?;
    let outcome = runtime.block_on(run_until_stopped(settings));
    if let Err(error) = &outcome {
        log::error!(event = "process_failed", error:% = error; "the process ends with an error");
    }
    outcome
}

async fn run_until_stopped(settings: Settings) -> Result<(), RunError> {
    let (trigger, shutdown) = shutdown_channel();
    let abort_shutdown = shutdown.clone();
    tokio::spawn(handle_signals(trigger, drain_limit(&settings)));
    log::info!(event = "process_started", role = role(&settings); "started");
    tokio::select! {
        outcome = run_role(settings, shutdown.clone()) => outcome?,
        () = wait_for_abort(abort_shutdown) => {}
    }
    if shutdown.phase() == ShutdownPhase::Aborting {
        log::warn!(event = "process_aborted"; "the drain limit or a second signal ended the drain");
        return DrainIncompleteSnafu.fail();
    }
    log::info!(event = "process_stopped"; "process stopped");
    Ok(())
}

async fn handle_signals(trigger: ShutdownTrigger, drain_limit: Duration) {
    if let Err(error) = trigger.handle_signals(drain_limit).await {
        log::error!(
            event = "signals_unavailable", error:% = error;
            "cannot receive signals; the process can only be killed"
        );
    }
}

/// Waits for an abort and the grace period after it. Never returns if no abort can come.
async fn wait_for_abort(mut shutdown: Shutdown) {
    shutdown.wait_for(ShutdownPhase::Aborting).await;
    if shutdown.phase() != ShutdownPhase::Aborting {
        // The trigger was dropped, so no abort can come.
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(ABORT_GRACE_PERIOD).await;
}

async fn run_role(settings: Settings, shutdown: Shutdown) -> Result<(), RunError> {
    match settings {
        Settings::Control(settings) => {
            role_result("control", yuccatack_control::run(settings, shutdown).await)
        }
        Settings::Entry(settings) => {
            role_result("entry", yuccatack_entry::run(settings, shutdown).await)
        }
        Settings::Agent(settings) => {
            role_result("agent", yuccatack_agent::run(settings, shutdown).await)
        }
    }
}

fn role_result<RoleError>(role: &'static str, result: Result<(), RoleError>) -> Result<(), RunError>
where
    RoleError: std::error::Error + Send + Sync + 'static,
{
    result.map_err(|error| RunError::Role { role, source: Box::new(error) })
}

fn node(settings: &Settings) -> &NodeName {
    match settings {
        Settings::Control(control) => &control.node,
        Settings::Entry(entry) => &entry.node,
        Settings::Agent(agent) => &agent.node,
    }
}

const fn role(settings: &Settings) -> &'static str {
    match settings {
        Settings::Control(_) => "control",
        Settings::Entry(_) => "entry",
        Settings::Agent(_) => "agent",
    }
}

fn drain_limit(settings: &Settings) -> Duration {
    Duration::from_millis(match settings {
        Settings::Control(control) => control.drain_limit_ms,
        Settings::Entry(entry) => entry.drain_limit_ms,
        Settings::Agent(agent) => agent.drain_limit_ms,
    })
}
