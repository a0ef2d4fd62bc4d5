//! `status`: shows replicas, nodes, workers and records not yet in force.

use clap::ArgMatches;
use serde_json::Value;

use super::{client, wants_json};
use crate::context::Context;
use crate::error::{CliError, ExitStatus};
use crate::output;

pub(super) async fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let status: Option<Value> = client(matches, context)?.read("/v1/status").await?;
    let Some(status) = status else {
        let reason = "there is no status at /v1/status; give the address of an entry".to_owned();
        return Err(CliError::ReadRefused { status: 404, reason });
    };
    let text = if wants_json(matches) {
        serde_json::to_string_pretty(&status)?
    } else {
        output::document(&status)
    };
    context.result(&text)?;
    Ok(ExitStatus::Done)
}
