//! What `apply` and `withdraw` share: one change from its sending to its coming into force.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;
use tokio::time;

use super::{seconds, text};
use crate::client::EntryClient;
use crate::context::Context;
use crate::error::{CliError, ExitStatus};
use crate::message::{ChangeAnswer, ChangeRequest, Operation};

/// How often `--wait` asks; a change is in force everywhere within 3 s.
const WAIT_POLL: Duration = Duration::from_millis(200);

/// How a change is sent and how long its effect is waited for.
pub(super) struct ChangeOptions {
    pub(super) change_id: Option<String>,
    pub(super) replaces_generation: Option<u64>,
    wait_limit: Option<Duration>,
}

/// The change that a document or a command asks for.
pub(super) struct WantedChange {
    pub(super) kind: String,
    pub(super) name: String,
    pub(super) document: Value,
    pub(super) withdraws: bool,
}

/// What became of one change.
#[derive(Debug, Serialize)]
pub(super) struct ChangeReport {
    pub(super) change_id: String,
    pub(super) kind: String,
    pub(super) name: String,
    #[serde(flatten)]
    pub(super) answer: ChangeAnswer,
    /// `None` when it was not waited for.
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

/// Makes one change and waits for it as the options say.
pub(super) async fn make(
    client: &EntryClient,
    wanted: WantedChange,
    options: &ChangeOptions,
    context: &mut Context<'_>,
) -> Result<ChangeReport, CliError> {
    let change_id = options.change_id.clone().unwrap_or_else(random_change_id);
    // Printed before anything is sent, so that it is known even if this process is killed.
    context.message(&format!("{} {}: change id {change_id}", wanted.kind, wanted.name))?;
    let known = known_answer(client, options).await?;
    let answer = match known {
        Some(answer) => answer,
        None => client.submit(&request(client, &wanted, options, &change_id).await?).await?,
    };
    let (kind, name) = (wanted.kind, wanted.name);
    let (in_force_everywhere, missing_nodes) = (None, Vec::new());
    let mut report =
        ChangeReport { change_id, kind, name, answer, in_force_everywhere, missing_nodes };
    if let (Some(limit), ChangeAnswer::Accepted { .. }) = (options.wait_limit, &report.answer) {
        wait(client, limit, &mut report).await?;
    }
    Ok(report)
}

/// The answer that a resent change got before.
///
/// A resend must not be built again from the record now in force: once the change has taken effect,
/// its generation differs, and the same id with different content is refused.
async fn known_answer(
    client: &EntryClient,
    options: &ChangeOptions,
) -> Result<Option<ChangeAnswer>, CliError> {
    let Some(change_id) = &options.change_id else { return Ok(None) };
    Ok(client.change_status(change_id).await?.answer)
}

async fn request(
    client: &EntryClient,
    wanted: &WantedChange,
    options: &ChangeOptions,
    change_id: &str,
) -> Result<ChangeRequest, CliError> {
    let current = client.record(&wanted.kind, &wanted.name).await?;
    let operation = match (&current, wanted.withdraws) {
        (_, true) => Operation::Withdraw,
        (Some(_), false) => Operation::Change,
        (None, false) => Operation::Submit,
    };
    let in_force = current.map_or(0, |record| record.generation);
    Ok(ChangeRequest {
        change_id: change_id.to_owned(),
        operation,
        replaces_generation: options.replaces_generation.unwrap_or(in_force),
        record: wanted.document.clone(),
    })
}

async fn wait(
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
        time::sleep(WAIT_POLL).await;
    }
}

fn random_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

impl ChangeReport {
    /// The row of a table with the headings of [`Self::HEADINGS`].
    pub(super) fn row(&self) -> Vec<String> {
        let (outcome, generation, detail) = match &self.answer {
            ChangeAnswer::Accepted { generation, .. } => {
                ("accepted", generation.to_string(), self.in_force())
            }
            ChangeAnswer::Refused { kind, message, current_generation } => {
                let generation = current_generation.map_or("-".to_owned(), |g| g.to_string());
                ("refused", generation, format!("{kind}: {message}"))
            }
        };
        vec![self.kind.clone(), self.name.clone(), outcome.to_owned(), generation, detail]
    }

    /// The headings of [`Self::row`].
    pub(super) const HEADINGS: [&'static str; 5] =
        ["kind", "name", "outcome", "generation", "detail"];

    fn in_force(&self) -> String {
        match self.in_force_everywhere {
            None => "not waited for".to_owned(),
            Some(true) => "in force everywhere".to_owned(),
            Some(false) if self.missing_nodes.is_empty() => "not yet in force".to_owned(),
            Some(false) => format!("not yet in force at {}", self.missing_nodes.join(", ")),
        }
    }

    /// A change that was refused, or not in force within the wait, ends with code 1.
    pub(super) fn exit_status(&self) -> ExitStatus {
        match (&self.answer, self.in_force_everywhere) {
            (ChangeAnswer::Refused { .. }, _) | (_, Some(false)) => ExitStatus::Refused,
            (ChangeAnswer::Accepted { .. }, None | Some(true)) => ExitStatus::Done,
        }
    }
}
