//! `withdraw`: takes a record out of force.

use clap::ArgMatches;
use serde_json::json;

use super::change::{self, ChangeOptions, ChangeReport, RequestedChange};
use super::{client, required, wants_json};
use crate::context::Context;
use crate::error::{CliError, ExitStatus};
use crate::output;

pub(super) async fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let kind = required(matches, "kind")?.to_owned();
    let name = required(matches, "name")?.to_owned();
    let client = client(matches, context)?;
    let document = json!({ "kind": kind, "name": name });
    let requested = RequestedChange { kind, name, document, withdraws: true };
    let options = ChangeOptions::from_matches(matches);
    let report = change::execute(&client, requested, &options, context).await?;
    if wants_json(matches) {
        context.result(&serde_json::to_string_pretty(&report)?)?;
    } else {
        context.result(&output::table(&ChangeReport::HEADINGS, &[report.row()]))?;
    }
    Ok(report.exit_status())
}
