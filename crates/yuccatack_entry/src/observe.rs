//! Updates of the metrics, objectives and readiness of an entry from its view.

use std::time::{Duration, Instant};

use yuccatack_core::prelude::*;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_records::{ObjectiveRecord, Record, RecordKey, RecordKind};
use yuccatack_requests::prelude::*;
use yuccatack_telemetry::Telemetry;
use yuccatack_telemetry::metrics::{RequestLabels, RequestOutcome};
use yuccatack_view::{View, ViewHandle};

const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes the age and revision of the view, objectives and readiness until the process ends.
pub async fn observe_view(view: ViewHandle, telemetry: Telemetry, shutdown: Shutdown) {
    let mut interval = tokio::time::interval(OBSERVE_INTERVAL);
    let mut objectives_revision = None;
    loop {
        interval.tick().await;
        let current = view.view();
        telemetry.metrics.view.set_revision(current.revision);
        if let Some(age) = view.age(Instant::now()) {
            telemetry.metrics.view.set_age(age);
        }
        if objectives_revision != Some(current.revision) {
            set_objectives(&current, &telemetry);
            objectives_revision = Some(current.revision);
        }
        let reasons = if shutdown.phase() != ShutdownPhase::Running {
            vec!["the entry is shutting down; use another one".to_owned()]
        } else if view.is_fresh(Instant::now()) {
            Vec::new()
        } else {
            vec!["the view of records is not confirmed; check the control replicas".to_owned()]
        };
        telemetry.set_readiness(reasons);
    }
}

fn set_objectives(view: &View, telemetry: &Telemetry) {
    let mut objectives: Vec<ObjectiveRecord> = Vec::new();
    let mut organisations: Vec<OrganisationName> = Vec::new();
    for entry in view.records.values() {
        match &entry.record {
            Record::Objective(objective) => objectives.push(objective.clone()),
            Record::Organisation(organisation) => organisations.push(organisation.name.clone()),
            _ => {}
        }
    }
    telemetry.metrics.objectives.set_objectives(&objectives, &organisations);
}

/// Records the outcome and latency of a request. Requests without labels are skipped, so that
/// callers cannot create time series with names that have no record.
pub fn observe_request(
    telemetry: &Telemetry,
    labels: Option<&RequestLabels>,
    outcome: &Outcome,
    latency: Duration,
) {
    let Some(labels) = labels else { return };
    telemetry.metrics.requests.observe(labels, outcome_label(outcome), latency);
}

const fn outcome_label(outcome: &Outcome) -> RequestOutcome {
    match outcome {
        Outcome::Completed(_) => RequestOutcome::Completed,
        Outcome::NotRun(not_run) => not_run_label(not_run.reason),
        Outcome::Unknown(_) => RequestOutcome::Unknown,
    }
}

const fn not_run_label(reason: NotRunReason) -> RequestOutcome {
    match reason {
        NotRunReason::Invalid
        | NotRunReason::ReceiveTimeout
        | NotRunReason::TooLarge
        | NotRunReason::KeyTooOld
        | NotRunReason::KeyReused => RequestOutcome::Invalid,
        _ => RequestOutcome::NotRun,
    }
}

/// Returns the metric labels of a request, if its organisation and its service have records.
pub fn request_labels(view: &View, content: &RequestContent) -> Option<RequestLabels> {
    let organisation = RecordName::new(content.organisation.as_str()).ok()?;
    let service = RecordName::new(content.service.as_str()).ok()?;
    let has_records = [(RecordKind::Organisation, organisation), (RecordKind::Service, service)]
        .into_iter()
        .all(|(kind, name)| view.records.contains_key(&RecordKey { kind, name }));
    has_records.then(|| RequestLabels {
        organisation: content.organisation.clone(),
        service: content.service.clone(),
        class: content.class,
    })
}
