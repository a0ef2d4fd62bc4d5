//! `report`: reports on the system.

use clap::ArgMatches;
use serde_json::Value;

use super::{client, client_at, options, text, wants_json};
use crate::context::Context;
use crate::error::{CliError, ExitStatus};
use crate::output;

pub(super) async fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    match matches.subcommand() {
        Some(("burn", matches)) => report_burn(matches, context).await,
        _ => options("nothing to report; see `yuccatack report --help`".to_owned()),
    }
}

async fn report_burn(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let (client, path) = match text(matches, "metrics-address") {
        Some(address) => (client_at(address, matches)?, "/burn"),
        None => (client(matches, context)?, "/v1/burn"),
    };
    let report: Option<Value> = client.read(path).await?;
    let Some(report) = report else {
        let reason = "this address has no burn report; give the address of an entry".to_owned();
        return Err(CliError::RefusedRead { status: 404, reason });
    };
    let text = match wants_json(matches) {
        true => serde_json::to_string_pretty(&report)?,
        false => output::document(&report),
    };
    context.result(&text)?;
    Ok(ExitStatus::Done)
}
