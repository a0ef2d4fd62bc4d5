//! `apply`: submits or changes the records in files.

use std::path::PathBuf;

use clap::ArgMatches;

use super::change::{self, ChangeOptions, ChangeReport, RequestedChange};
use super::{client, invalid_options, wants_json};
use crate::context::Context;
use crate::documents::{self, Document};
use crate::error::{CliError, ExitStatus};
use crate::output;

pub(super) async fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let change_options = ChangeOptions::from_matches(matches);
    let requested_changes = read_changes(matches)?;
    let has_single_change_option =
        change_options.change_id.is_some() || change_options.replaces_generation.is_some();
    if has_single_change_option && requested_changes.len() != 1 {
        return invalid_options(format!(
            "`--change-id` and `--replaces-generation` go with one record, not {}; apply the \
             records one by one",
            requested_changes.len()
        ));
    }
    let client = client(matches, context)?;
    let mut reports: Vec<ChangeReport> = Vec::new();
    let mut failure = None;
    for requested in requested_changes {
        match change::execute(&client, requested, &change_options, context).await {
            Ok(report) => reports.push(report),
            Err(error) => {
                failure = Some(error);
                break;
            }
        }
        // Later records may depend on a refused one, for example a job on its organisation.
        if reports.last().is_some_and(|report| report.exit_status() != ExitStatus::Done) {
            break;
        }
    }
    show(&reports, matches, context)?;
    match failure {
        Some(error) => Err(error),
        None => Ok(reports.last().map_or(ExitStatus::Done, ChangeReport::exit_status)),
    }
}

/// Reads the changes of all files. The caller sends none before all are read, so that an invalid
/// file changes nothing.
fn read_changes(matches: &ArgMatches) -> Result<Vec<RequestedChange>, CliError> {
    let mut changes = Vec::new();
    for file in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        for document in documents::read(file)? {
            changes.push(requested_change(document)?);
        }
    }
    Ok(changes)
}

fn requested_change(document: Document) -> Result<RequestedChange, CliError> {
    let (kind, name) = (document.text("kind"), document.text("name"));
    let (Some(kind), Some(name)) = (kind, name) else {
        let problem = format!(
            "document {} is not a record; give it `schema_version`, `kind` and `name`",
            document.number
        );
        return Err(CliError::InvalidFile { path: document.file, problem });
    };
    let (kind, name) = (kind.to_owned(), name.to_owned());
    Ok(RequestedChange { kind, name, document: document.content, withdraws: false })
}

fn show(
    reports: &[ChangeReport],
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<(), CliError> {
    if wants_json(matches) {
        return context.result(&serde_json::to_string_pretty(reports)?);
    }
    if reports.is_empty() {
        return Ok(());
    }
    let rows: Vec<Vec<String>> = reports.iter().map(ChangeReport::row).collect();
    context.result(&output::table(&ChangeReport::HEADINGS, &rows))
}
