//! Running a process role.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use log::LevelFilter;
use snafu::{ResultExt, Snafu};
use yuccatack_core::NodeName;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase, ShutdownTrigger, shutdown_channel};
use yuccatack_settings::{Settings, SettingsError};
use yuccatack_telemetry::{LogDestination, LoggingError, init_logging};

/// How long an aborted role may take to log what it leaves unfinished.
const ABORT_REPORT_LIMIT: Duration = Duration::from_secs(1);

/// Why a process role did not start or ended with an error.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The settings are wrong.
    #[snafu(transparent)]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// Logging could not start.
    #[snafu(transparent)]
    Logging {
        /// What went wrong.
        source: LoggingError,
    },
    /// The runtime could not start.
    #[snafu(display("cannot start the runtime: {source}; raise the limit of threads"))]
    Runtime {
        /// What the operating system said.
        source: io::Error,
    },
    /// The role is not part of this build.
    #[snafu(display("this build cannot run the role `{role}`; use a complete build"))]
    RoleMissing {
        /// The role.
        role: &'static str,
    },
    /// The drain was cut short.
    #[snafu(display(
        "the process ended with work in flight; the log names it; raise `drain_limit_ms` if it \
         needs more time"
    ))]
    DrainIncomplete,
    /// The role failed.
    #[snafu(display("the {role} process failed: {source}"))]
    Role {
        /// The role.
        role: &'static str,
        /// What went wrong.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// How the process logs.
#[derive(Clone, Debug)]
pub(crate) struct LogOptions {
    pub(crate) level: LevelFilter,
    pub(crate) file: Option<PathBuf>,
}

/// Runs the process that the settings file describes until it is told to stop.
pub(crate) fn run_process(file: &Path, log: LogOptions) -> Result<(), RunError> {
    let settings = yuccatack_settings::load(file)?;
    let destination = match log.file {
        Some(path) => LogDestination::File(path),
        None => LogDestination::StandardError,
    };
    // Dropped last, so that the log holds everything up to the end.
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
    let aborting = shutdown.clone();
    tokio::spawn(handle_signals(trigger, drain_limit(&settings)));
    log::info!(event = "process_started", role = role(&settings); "started");
    tokio::select! {
        outcome = run_role(settings, shutdown.clone()) => outcome?,
        () = abort_finished(aborting) => {}
    }
    if shutdown.phase() == ShutdownPhase::Aborting {
        log::warn!(event = "process_aborted"; "the drain limit or a second signal ended the drain");
        return DrainIncompleteSnafu.fail();
    }
    log::info!(event = "process_stopped"; "stopped with nothing left");
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

/// Ends a little after the abort, so that the role can log what it leaves unfinished.
async fn abort_finished(mut shutdown: Shutdown) {
    shutdown.wait_for(ShutdownPhase::Aborting).await;
    if shutdown.phase() != ShutdownPhase::Aborting {
        // The trigger is gone, so that no abort can come.
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(ABORT_REPORT_LIMIT).await;
}

/// Hands over to the crate of the role.
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

fn role_result<Failure>(role: &'static str, result: Result<(), Failure>) -> Result<(), RunError>
where
    Failure: std::error::Error + Send + Sync + 'static,
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
