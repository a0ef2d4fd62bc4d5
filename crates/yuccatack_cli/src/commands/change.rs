//! Sends one change for `apply` or `withdraw` and waits until it is in force.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;
use tokio::time;

use super::{seconds, text};
use crate::client::EntryClient;
use crate::context::Context;
use crate::error::{CliError, ExitStatus};
use crate::message::{ChangeRequest, ChangeResponse, Operation};

/// Interval at which `--wait` polls the change status; a change is in force everywhere within 3 s.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options of the commands that send changes.
pub(super) struct ChangeOptions {
    pub(super) change_id: Option<String>,
    pub(super) replaces_generation: Option<u64>,
    /// Maximum time to wait until the change is in force; `None` without `--wait`.
    wait_limit: Option<Duration>,
}

/// Change of one record, before its operation and generation are known.
pub(super) struct RequestedChange {
    pub(super) kind: String,
    pub(super) name: String,
    pub(super) document: Value,
    pub(super) withdraws: bool,
}

/// Result of one change, as printed.
#[derive(Debug, Serialize)]
pub(super) struct ChangeReport {
    pub(super) change_id: String,
    pub(super) kind: String,
    pub(super) name: String,
    #[serde(flatten)]
    pub(super) answer: ChangeResponse,
    /// `None` if the command did not wait for it.
    pub(super) in_force_everywhere: Option<bool>,
    pub(super) missing_nodes: Vec<String>,
}

impl ChangeOptions {
    pub(super) fn from_matches(matches: &ArgMatches) -> Self {
        let wait_limit = matches.get_flag("wait").then(|| seconds(matches, "wait-limit-s"));
        Self {
            change_id: text(matches, "change-id").map(ToOwned::to_owned),
            replaces_generation: matches.get_one::<u64>("replaces-generation").copied(),
            wait_limit,
        }
    }
}

/// Sends one change and, if the options request it, waits until it is in force everywhere.
pub(super) async fn execute(
    client: &EntryClient,
    requested: RequestedChange,
    options: &ChangeOptions,
    context: &mut Context<'_>,
) -> Result<ChangeReport, CliError> {
    let change_id = options.change_id.clone().unwrap_or_else(random_change_id);
    // Printed before the change is sent, so that the operator knows the id even if this process is
    // killed.
    context.message(&format!("{} {}: change id {change_id}", requested.kind, requested.name))?;
    let request = build_request(client, &requested, options, &change_id).await?;
    let answer = match previous_response(client, options).await? {
        Some(first) => resend(client, first, request).await?,
        None => client.submit(&request).await?,
    };
    let (kind, name) = (requested.kind, requested.name);
    let (in_force_everywhere, missing_nodes) = (None, Vec::new());
    let mut report =
        ChangeReport { change_id, kind, name, answer, in_force_everywhere, missing_nodes };
    if let (Some(limit), ChangeResponse::Accepted { .. }) = (options.wait_limit, &report.answer) {
        wait_until_in_force(client, limit, &mut report).await?;
    }
    Ok(report)
}

/// Refusal kind for a change id that was already used with other content.
const CHANGE_ID_REUSED: &str = "change_id_reused";

/// Resends a change whose id the system already knows.
///
/// The control leader compares the request with the first one of this id. Once the change has taken
/// effect, a request built from the record in force differs from the first one, so this function
/// tries each form that the first request may have had. A request with other content is refused and
/// changes nothing.
async fn resend(
    client: &EntryClient,
    first: ChangeResponse,
    mut request: ChangeRequest,
) -> Result<ChangeResponse, CliError> {
    if let ChangeResponse::Accepted { generation, .. } = first {
        request.replaces_generation = generation.saturating_sub(1);
    }
    let operations: &[Operation] = match request.operation {
        Operation::Withdraw => &[Operation::Withdraw],
        Operation::Submit | Operation::Change => &[Operation::Change, Operation::Submit],
    };
    let mut refusal = None;
    for operation in operations {
        request.operation = *operation;
        match client.submit(&request).await? {
            ChangeResponse::Refused { kind, message, current_generation }
                if kind == CHANGE_ID_REUSED =>
            {
                refusal = Some(ChangeResponse::Refused { kind, message, current_generation });
            }
            response => return Ok(response),
        }
    }
    Ok(match (first, refusal) {
        // The first request was refused and changed nothing. The generation that it replaced is
        // unknown here, so a mismatch does not prove that the content differs.
        (first @ ChangeResponse::Refused { .. }, _) => first,
        (_, Some(refusal)) => refusal,
        (first, None) => first,
    })
}

/// Returns the response that the change with the id in the options got before, if there is one.
async fn previous_response(
    client: &EntryClient,
    options: &ChangeOptions,
) -> Result<Option<ChangeResponse>, CliError> {
    let Some(change_id) = &options.change_id else { return Ok(None) };
    Ok(client.change_status(change_id).await?.answer)
}

async fn build_request(
    client: &EntryClient,
    requested: &RequestedChange,
    options: &ChangeOptions,
    change_id: &str,
) -> Result<ChangeRequest, CliError> {
    let current = client.record(&requested.kind, &requested.name).await?;
    let operation = match (&current, requested.withdraws) {
        (_, true) => Operation::Withdraw,
        (Some(_), false) => Operation::Change,
        (None, false) => Operation::Submit,
    };
    let in_force = current.map_or(0, |record| record.generation);
    Ok(ChangeRequest {
        change_id: change_id.to_owned(),
        operation,
        replaces_generation: options.replaces_generation.unwrap_or(in_force),
        record: requested.document.clone(),
    })
}

async fn wait_until_in_force(
    client: &EntryClient,
    limit: Duration,
    report: &mut ChangeReport,
) -> Result<(), CliError> {
    let started = Instant::now();
    loop {
        let status = client.change_status(&report.change_id).await?;
        report.in_force_everywhere = Some(status.in_force_everywhere);
        report.missing_nodes = status.missing_nodes;
        if status.in_force_everywhere || !status.known || started.elapsed() >= limit {
            return Ok(());
        }
        time::sleep(WAIT_POLL_INTERVAL).await;
    }
}

fn random_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

impl ChangeReport {
    /// Returns the table cells below [`Self::HEADINGS`].
    pub(super) fn row(&self) -> Vec<String> {
        let (outcome, generation, detail) = match &self.answer {
            ChangeResponse::Accepted { generation, .. } => {
                ("accepted", generation.to_string(), self.in_force_text())
            }
            ChangeResponse::Refused { kind, message, current_generation } => {
                let generation = current_generation.map_or("-".to_owned(), |g| g.to_string());
                ("refused", generation, format!("{kind}: {message}"))
            }
        };
        vec![self.kind.clone(), self.name.clone(), outcome.to_owned(), generation, detail]
    }

    /// Table headings of the cells of [`Self::row`].
    pub(super) const HEADINGS: [&'static str; 5] =
        ["kind", "name", "outcome", "generation", "detail"];

    fn in_force_text(&self) -> String {
        match self.in_force_everywhere {
            None => "not waited for".to_owned(),
            Some(true) => "in force everywhere".to_owned(),
            Some(false) if self.missing_nodes.is_empty() => "not yet in force".to_owned(),
            Some(false) => format!("not yet in force at {}", self.missing_nodes.join(", ")),
        }
    }

    /// Returns `Refused` if the change was refused or not in force within the wait limit.
    pub(super) fn exit_status(&self) -> ExitStatus {
        match (&self.answer, self.in_force_everywhere) {
            (ChangeResponse::Refused { .. }, _) | (_, Some(false)) => ExitStatus::Refused,
            (ChangeResponse::Accepted { .. }, None | Some(true)) => ExitStatus::Done,
        }
    }
}
