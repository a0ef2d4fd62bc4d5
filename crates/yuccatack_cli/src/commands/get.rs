//! `get`: shows one record or lists the records of a kind.

use clap::ArgMatches;

use super::{client, required, text, wants_json};
use crate::client::EntryClient;
use crate::context::Context;
use crate::error::{CliError, ExitStatus};
use crate::output;

pub(super) async fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let kind = required(matches, "kind")?;
    let client = client(matches, context)?;
    match text(matches, "name") {
        Some(name) => show_one(&client, kind, name, wants_json(matches), context).await,
        None => show_all(&client, kind, wants_json(matches), context).await,
    }
}

async fn show_one(
    client: &EntryClient,
    kind: &str,
    name: &str,
    as_json: bool,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let Some(record) = client.record(kind, name).await? else {
        context
            .message(&format!("error: no {kind} named `{name}` is in force; see `get {kind}`"))?;
        return Ok(ExitStatus::Refused);
    };
    if as_json {
        context.result(&serde_json::to_string_pretty(&record)?)?;
        return Ok(ExitStatus::Done);
    }
    let (generation, revision) = (record.generation, record.revision);
    context.message(&format!("{kind} {name}: generation {generation}, revision {revision}"))?;
    // YAML, so that the output can be edited and passed to `apply`.
    context.result(&yaml(&record.record)?)?;
    Ok(ExitStatus::Done)
}

async fn show_all(
    client: &EntryClient,
    kind: &str,
    as_json: bool,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let list = client.records(kind).await?;
    if as_json {
        context.result(&serde_json::to_string_pretty(&list)?)?;
        return Ok(ExitStatus::Done);
    }
    let rows: Vec<Vec<String>> = list
        .records
        .iter()
        .map(|record| {
            let schema = record
                .record
                .get("schema_version")
                .map_or("-".to_owned(), |version| version.to_string());
            let (generation, revision) = (record.generation, record.revision);
            vec![record.name.clone(), generation.to_string(), revision.to_string(), schema]
        })
        .collect();
    context.result(&output::table(&["name", "generation", "revision", "schema"], &rows))?;
    Ok(ExitStatus::Done)
}

fn yaml(record: &serde_json::Value) -> Result<String, CliError> {
    serde_yaml_ng::to_string(record).map_err(|error| CliError::InvalidOptions {
        problem: format!("the record cannot be written as YAML: {error}; use `--output json`"),
    })
}
