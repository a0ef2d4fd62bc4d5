//! `report`: shows the burn rates of the error budgets.

use std::path::PathBuf;

use clap::ArgMatches;
use snafu::ResultExt;
use yuccatack_telemetry::burn::{Alert, BurnReport, SeriesReport, Window, html_page};

use super::{client, client_at, invalid_options, wants_json};
use crate::client::EntryClient;
use crate::context::Context;
use crate::error::{CliError, ExitStatus, WriteFileSnafu};
use crate::output;

const BURN_HEADINGS: [&str; 10] = [
    "objective",
    "organisation",
    "indicator",
    "target",
    "limit ms",
    "5 min",
    "30 min",
    "1 h",
    "6 h",
    "alert",
];

pub(super) async fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    match matches.subcommand() {
        Some(("burn", matches)) => report_burn(matches, context).await,
        _ => invalid_options("no report selected; see `yuccatack report --help`".to_owned()),
    }
}

async fn report_burn(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CliError> {
    let report = read_reports(matches, context).await?;
    if let Some(path) = matches.get_one::<PathBuf>("html") {
        std::fs::write(path, html_page(&report)).context(WriteFileSnafu { path })?;
    }
    let text = if wants_json(matches) {
        serde_json::to_string_pretty(&report)?
    } else {
        burn_table(&report)
    };
    context.result(&text)?;
    Ok(ExitStatus::Done)
}

/// Reads the report of the entry, or reads and merges those of the processes in the arguments.
async fn read_reports(matches: &ArgMatches, context: &Context<'_>) -> Result<BurnReport, CliError> {
    let addresses: Vec<&String> =
        matches.get_many("metrics-address").into_iter().flatten().collect();
    let Some((first, others)) = addresses.split_first() else {
        return read_report(&client(matches, context)?, "/v1/burn").await;
    };
    let mut report = read_report(&client_at(first, matches)?, "/burn").await?;
    for address in others {
        report = report.merge(read_report(&client_at(address, matches)?, "/burn").await?);
    }
    Ok(report)
}

async fn read_report(client: &EntryClient, path: &str) -> Result<BurnReport, CliError> {
    client.read(path).await?.ok_or_else(|| CliError::ReadRefused {
        status: 404,
        reason: format!(
            "there is no burn report at {path}; give the address of an entry, or the metrics \
             address of an entry or control replica"
        ),
    })
}

fn burn_table(report: &BurnReport) -> String {
    let rows: Vec<Vec<String>> = report.series.iter().map(burn_row).collect();
    let observed = report.observed_s;
    format!("{}\ncounted for {observed} s\n", output::table(&BURN_HEADINGS, &rows))
}

fn burn_row(series: &SeriesReport) -> Vec<String> {
    let organisation = series.organisation.as_ref().map_or("-".to_owned(), ToString::to_string);
    let mut row = vec![
        series.objective.to_string(),
        organisation,
        series.indicator.clone(),
        series.target_ratio.to_string(),
        series.threshold_ms.to_string(),
    ];
    row.extend(Window::ALL.map(|window| format!("{:.2}", series.burn_rate(window))));
    row.push(
        match series.alert {
            Alert::None => "-",
            Alert::Ticket => "ticket",
            Alert::Page => "page",
        }
        .to_owned(),
    );
    row
}
