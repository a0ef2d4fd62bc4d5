//! `apply`: submits or changes the records of files.

use std::path::PathBuf;

use clap::ArgMatches;

use super::change::{self, ChangeOptions, ChangeReport, WantedChange};
use super::{client, options, wants_json};
use crate::context::Context;
use crate::documents::{self, Document};
use crate::error::{CliError, ExitStatus};
use crate::output;

pub(super) async fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let change_options = ChangeOptions::from_matches(matches);
    let wanted = read_wanted(matches)?;
    let one_change =
        change_options.change_id.is_some() || change_options.replaces_generation.is_some();
    if one_change && wanted.len() != 1 {
        return options(format!(
            "`--change-id` and `--replaces-generation` go with one record, not {}; apply the \
             records one by one",
            wanted.len()
        ));
    }
    let client = client(matches, context)?;
    let mut reports: Vec<ChangeReport> = Vec::new();
    let mut failure = None;
    for wanted in wanted {
        match change::make(&client, wanted, &change_options, context).await {
            Ok(report) => reports.push(report),
            Err(error) => {
                failure = Some(error);
                break;
            }
        }
        // Later records may build on a refused one, for example a job on its organisation.
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

/// Reads every document before the first one is sent, so that a wrong file changes nothing.
fn read_wanted(matches: &ArgMatches) -> Result<Vec<WantedChange>, CliError> {
    let mut wanted = Vec::new();
    for file in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        for document in documents::read(file)? {
            wanted.push(wanted_change(document)?);
        }
    }
    Ok(wanted)
}

fn wanted_change(document: Document) -> Result<WantedChange, CliError> {
    let (kind, name) = (document.text("kind"), document.text("name"));
    let (Some(kind), Some(name)) = (kind, name) else {
        let problem = format!(
            "document {} is not a record; give it `schema_version`, `kind` and `name`",
            document.number
        );
        return Err(CliError::InvalidFile { path: document.file, problem });
    };
    let (kind, name) = (kind.to_owned(), name.to_owned());
    Ok(WantedChange { kind, name, document: document.content, withdraws: false })
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
