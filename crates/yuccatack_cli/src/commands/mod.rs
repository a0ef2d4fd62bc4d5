//! Commands of the program, one module for each.

mod apply;
mod change;
mod check;
mod completions;
mod evacuation;
mod explain;
mod get;
mod host;
mod process;
mod report;
mod status;
mod withdraw;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;

use crate::client::EntryClient;
use crate::context::Context;
use crate::error::{CliError, ExitStatus};

/// Runs the command that the arguments select.
pub(crate) fn dispatch(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    match matches.subcommand() {
        Some(("run", matches)) => process::run(matches),
        Some(("host", matches)) => host::run(matches),
        Some(("check", matches)) => check::run(matches, context),
        Some(("apply", matches)) => block_on(apply::run(matches, context))?,
        Some(("get", matches)) => block_on(get::run(matches, context))?,
        Some(("withdraw", matches)) => block_on(withdraw::run(matches, context))?,
        Some(("evacuate", matches)) => block_on(evacuation::evacuate(matches, context))?,
        Some(("readmit", matches)) => block_on(evacuation::readmit(matches, context))?,
        Some(("evacuations", matches)) => block_on(evacuation::list(matches, context))?,
        Some(("status", matches)) => block_on(status::run(matches, context))?,
        Some(("explain", matches)) => block_on(explain::run(matches, context))?,
        Some(("report", matches)) => block_on(report::run(matches, context))?,
        Some(("completions", matches)) => completions::run(matches, context),
        Some((other, _)) => {
            invalid_options(format!("`{other}` is not a command; see `yuccatack --help`"))
        }
        None => invalid_options("no command; see `yuccatack --help`".to_owned()),
    }
}

fn block_on<Command>(command: Command) -> io::Result<Command::Output>
where
    Command: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(command))
}

fn invalid_options<Output>(problem: String) -> Result<Output, CliError> {
    Err(CliError::InvalidOptions { problem })
}

/// Creates a client of the entry at the address from the arguments or the environment.
fn client(matches: &ArgMatches, context: &Context<'_>) -> Result<EntryClient, CliError> {
    let address = text(matches, "address").or(context.default_address.as_deref());
    client_at(address.ok_or(CliError::NoAddress)?, matches)
}

fn client_at(address: &str, matches: &ArgMatches) -> Result<EntryClient, CliError> {
    let invalid = || CliError::InvalidAddress { text: address.to_owned() };
    let address: SocketAddr = address.parse().map_err(|_| invalid())?;
    Ok(EntryClient::new(address, seconds(matches, "timeout-s")))
}

fn wants_json(matches: &ArgMatches) -> bool {
    text(matches, "output") == Some("json")
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a str> {
    matches.get_one::<String>(name).map(String::as_str)
}

/// Returns a required argument. The parser has already rejected a command line without it.
fn required<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str, CliError> {
    match text(matches, name) {
        Some(text) => Ok(text),
        None => invalid_options(format!("`{name}` is missing; see `yuccatack --help`")),
    }
}

fn seconds(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_secs(matches.get_one::<u64>(name).copied().unwrap_or_default())
}
