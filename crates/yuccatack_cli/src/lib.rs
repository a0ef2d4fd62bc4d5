//! Command line that runs the process roles and sends operator commands to an entry.
//!
//! Results are written to standard output, messages to standard error. [`ExitStatus`] lists the
//! exit codes.

mod arguments;
mod client;
mod commands;
mod context;
mod documents;
mod error;
mod message;
mod output;
mod record_check;
mod run;

use std::ffi::OsString;
use std::io::{self, Write};
use std::process::ExitCode;

pub use arguments::command;
pub use context::{ADDRESS_VARIABLE, Context};
pub use error::{CliError, ExitStatus};
pub use run::RunError;

/// Parses the arguments, runs the command and returns its exit code.
pub fn run<I>(arguments: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let context = Context {
        default_address: std::env::var(ADDRESS_VARIABLE).ok(),
        results: Box::new(io::stdout()),
        messages: Box::new(io::stderr()),
    };
    ExitCode::from(execute(arguments, context).code())
}

/// Parses the arguments and runs the command with the environment and outputs of `context`.
pub fn execute<I>(arguments: I, mut context: Context<'_>) -> ExitStatus
where
    I: IntoIterator<Item = OsString>,
{
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return write_usage(&error, &mut context),
    };
    let status = match commands::dispatch(&matches, &mut context) {
        Ok(status) => status,
        Err(error) => {
            // If the message cannot be written, the exit status still indicates the error.
            let _ = writeln!(context.messages, "error: {error}");
            error.exit_status()
        }
    };
    match context.results.flush() {
        Ok(()) => status,
        Err(error) => CliError::from(error).exit_status(),
    }
}

fn write_usage(error: &clap::Error, context: &mut Context<'_>) -> ExitStatus {
    let text = error.render();
    let (status, written) = if error.use_stderr() {
        (ExitStatus::Usage, write!(context.messages, "{text}"))
    } else {
        (ExitStatus::Done, write!(context.results, "{text}"))
    };
    match written {
        Ok(()) => status,
        Err(error) => CliError::from(error).exit_status(),
    }
}
