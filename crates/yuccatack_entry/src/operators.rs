//! The operators' part of the HTTP interface: passes changes and questions to the control leader.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use yuccatack_control_client::{ControlClient, ControlError};
use yuccatack_core::prelude::*;
use yuccatack_records::generated::records as wire;
use yuccatack_records::{Change, ChangeOutcome, Operation, RecordKey, RecordKind, RefusalKind};
use yuccatack_telemetry::Telemetry;

/// What an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorRoute {
    /// `POST /v1/changes`
    SubmitChange,
    /// `GET /v1/changes/{id}`
    Change(ChangeId),
    /// `GET /v1/records/{kind}`
    Records(RecordKind),
    /// `GET /v1/records/{kind}/{name}`
    Record(RecordKey),
    /// `GET /v1/status`
    Status,
    /// `GET /v1/jobs/{name}/explanation`
    Job(JobName),
    /// `GET /v1/burn`, answered by the entry itself
    BurnReport,
}

impl OperatorRoute {
    /// Finds the operator's route of a path.
    pub fn of(path: &str) -> Option<Self> {
        let segments: Vec<&str> = path.strip_prefix("/v1/")?.split('/').collect();
        match segments.as_slice() {
            ["changes"] => Some(Self::SubmitChange),
            ["changes", id] => Some(Self::Change(ChangeId::new(id))),
            ["records", kind] => Some(Self::Records(RecordKind::from_name(kind)?)),
            ["records", kind, name] => {
                let kind = RecordKind::from_name(kind)?;
                Some(Self::Record(RecordKey { kind, name: RecordName::new(name).ok()? }))
            }
            ["status"] => Some(Self::Status),
            ["burn"] => Some(Self::BurnReport),
            ["jobs", name, "explanation"] => Some(Self::Job(JobName::new(name).ok()?)),
            _ => None,
        }
    }

    /// The method that the route takes.
    pub fn method(&self) -> Method {
        match self {
            Self::SubmitChange => Method::POST,
            Self::Change(_)
            | Self::Records(_)
            | Self::Record(_)
            | Self::Status
            | Self::Job(_)
            | Self::BurnReport => Method::GET,
        }
    }
}

/// An answer to an operator: a status and a JSON body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The JSON body.
    pub body_json: Bytes,
}

/// The body of `POST /v1/changes`; the record is kept byte for byte.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody<'a> {
    change_id: String,
    operation: Operation,
    #[serde(default)]
    replaces_generation: u64,
    #[serde(borrow)]
    record: &'a RawValue,
}

#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum ChangeAnswer {
    Accepted {
        generation: u64,
        revision: u64,
    },
    Refused {
        kind: &'static str,
        message: String,
        #[serde(skip_serializing_if = "Option::is_none")]
        current_generation: Option<u64>,
    },
}

#[derive(Serialize)]
struct ChangeStatus {
    known: bool,
    answer: Option<ChangeAnswer>,
    in_force_everywhere: bool,
    missing_nodes: Vec<String>,
}

#[derive(Serialize)]
struct StoredRecord {
    kind: String,
    name: String,
    generation: u64,
    revision: u64,
    record: Box<RawValue>,
}

#[derive(Serialize)]
struct RecordList {
    records: Vec<StoredRecord>,
}

/// The part of a job's explanation that the entry reads.
#[derive(Deserialize)]
struct Explanation {
    known: bool,
}

#[derive(Serialize)]
struct Problem {
    kind: &'static str,
    message: String,
}

/// Answers an operator with the help of the control leader.
pub async fn respond(
    route: OperatorRoute,
    body: &[u8],
    control: &ControlClient,
    telemetry: &Telemetry,
) -> OperatorAnswer {
    let answer = match route {
        OperatorRoute::SubmitChange => submit_change(body, control).await,
        OperatorRoute::Change(change_id) => read_change(&change_id, control).await,
        OperatorRoute::Records(kind) => list_records(kind, control).await,
        OperatorRoute::Record(key) => read_record(&key, control).await,
        OperatorRoute::Status => control.read_status().await.map(document),
        OperatorRoute::Job(name) => control.explain_job(&name).await.map(explanation),
        OperatorRoute::BurnReport => {
            Ok(json(StatusCode::OK, telemetry.burn_reports.borrow().as_ref()))
        }
    };
    answer.unwrap_or_else(|error| failure(&error))
}

/// An answer that refuses the call itself.
pub fn problem(status: StatusCode, kind: &'static str, message: String) -> OperatorAnswer {
    json(status, &Problem { kind, message })
}

async fn submit_change(
    body: &[u8],
    control: &ControlClient,
) -> Result<OperatorAnswer, ControlError> {
    let body: ChangeBody<'_> = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => {
            let message = format!(
                "the change is not understood: {error}; send change_id, operation, \
                 replaces_generation and record"
            );
            return Ok(problem(StatusCode::BAD_REQUEST, "invalid_change", message));
        }
    };
    let change = Change {
        change_id: ChangeId::new(&body.change_id),
        operation: body.operation,
        replaces_generation: Generation::new(body.replaces_generation),
        document: body.record.get().into(),
    };
    let outcome = control.submit_change(&change).await?;
    let status = match &outcome {
        ChangeOutcome::Accepted { .. } => StatusCode::OK,
        ChangeOutcome::Refused(refusal) if refusal.kind == RefusalKind::Conflict => {
            StatusCode::CONFLICT
        }
        ChangeOutcome::Refused(_) => StatusCode::UNPROCESSABLE_ENTITY,
    };
    Ok(json(status, &ChangeAnswer::from(outcome)))
}

async fn read_change(
    change_id: &ChangeId,
    control: &ControlClient,
) -> Result<OperatorAnswer, ControlError> {
    let response = control.read_change(change_id).await?;
    let answer = response.answer.and_then(|answer| ChangeOutcome::try_from(answer).ok());
    let status = ChangeStatus {
        known: response.known,
        answer: answer.map(ChangeAnswer::from),
        in_force_everywhere: response.in_force_everywhere,
        missing_nodes: response.missing_nodes,
    };
    Ok(json(StatusCode::OK, &status))
}

async fn list_records(
    kind: RecordKind,
    control: &ControlClient,
) -> Result<OperatorAnswer, ControlError> {
    let records = control.list_records(kind).await?;
    let records = records.into_iter().filter_map(StoredRecord::from_wire).collect();
    Ok(json(StatusCode::OK, &RecordList { records }))
}

async fn read_record(
    key: &RecordKey,
    control: &ControlClient,
) -> Result<OperatorAnswer, ControlError> {
    let record = control.read_record(key).await?;
    Ok(match record.and_then(StoredRecord::from_wire) {
        Some(record) => json(StatusCode::OK, &record),
        None => {
            let message = format!("no record {} {} is in force", key.kind.as_str(), key.name);
            problem(StatusCode::NOT_FOUND, "not_found", message)
        }
    })
}

fn document(response: wire::DocumentResponse) -> OperatorAnswer {
    OperatorAnswer { status: StatusCode::OK, body_json: response.document_json }
}

fn explanation(response: wire::DocumentResponse) -> OperatorAnswer {
    let known = serde_json::from_slice(&response.document_json)
        .map_or(true, |explanation: Explanation| explanation.known);
    let status = if known { StatusCode::OK } else { StatusCode::NOT_FOUND };
    OperatorAnswer { status, body_json: response.document_json }
}

fn failure(error: &ControlError) -> OperatorAnswer {
    let (status, kind) = match error {
        ControlError::NotSent { .. } => (StatusCode::SERVICE_UNAVAILABLE, "not_sent"),
        ControlError::AnswerLost { .. } => (StatusCode::GATEWAY_TIMEOUT, "answer_lost"),
        ControlError::Refused { .. } => (StatusCode::BAD_REQUEST, "refused"),
        ControlError::Unreadable { .. } => (StatusCode::BAD_GATEWAY, "unreadable"),
    };
    problem(status, kind, error.to_string())
}

fn json<Body>(status: StatusCode, body: &Body) -> OperatorAnswer
where
    Body: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(body_json) => OperatorAnswer { status, body_json: body_json.into() },
        Err(error) => {
            log::error!(event = "answer_encoding_failed"; "{error}; report this as a defect");
            OperatorAnswer { status: StatusCode::INTERNAL_SERVER_ERROR, body_json: "{}".into() }
        }
    }
}

impl From<ChangeOutcome> for ChangeAnswer {
    fn from(outcome: ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Accepted { generation, revision } => {
                Self::Accepted { generation: generation.get(), revision: revision.get() }
            }
            ChangeOutcome::Refused(refusal) => Self::Refused {
                kind: refusal.kind.as_str(),
                message: refusal.message.to_string(),
                current_generation: (refusal.kind == RefusalKind::Conflict)
                    .then(|| refusal.current_generation.get()),
            },
        }
    }
}

impl StoredRecord {
    /// `None` if the document is not JSON, which the control leader never stores.
    fn from_wire(record: wire::StoredRecord) -> Option<Self> {
        let text = String::from_utf8(record.document_json.to_vec()).ok()?;
        Some(Self {
            kind: record.kind,
            name: record.name,
            generation: record.generation,
            revision: record.revision,
            record: RawValue::from_string(text).ok()?,
        })
    }
}
