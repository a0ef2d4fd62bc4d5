//! `explain`: explains the scheduling state of a job.

use clap::ArgMatches;
use serde_json::Value;

use super::{client, invalid_options, required, wants_json};
use crate::context::Context;
use crate::error::{CliError, ExitStatus};
use crate::output;

pub(super) async fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    match matches.subcommand() {
        Some(("job", matches)) => explain_job(matches, context).await,
        _ => invalid_options("no subject to explain; see `yuccatack explain --help`".to_owned()),
    }
}

async fn explain_job(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let name = required(matches, "name")?;
    let path = format!("/v1/jobs/{}/explanation", crate::client::encode_segment(name));
    let explanation: Option<Value> = client(matches, context)?.read(&path).await?;
    let Some(explanation) = explanation else {
        context.message(&format!("error: no job named `{name}` is known; see `get job`"))?;
        return Ok(ExitStatus::Refused);
    };
    let text = if wants_json(matches) {
        serde_json::to_string_pretty(&explanation)?
    } else {
        output::document(&explanation)
    };
    context.result(&text)?;
    Ok(ExitStatus::Done)
}
