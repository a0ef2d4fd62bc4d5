//! The HTTP interface for operators, which forwards changes and queries to the control leader.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use yuccatack_control_client::{ControlClient, ControlError};
use yuccatack_core::prelude::*;
use yuccatack_records::generated::records as wire;
use yuccatack_records::{Change, ChangeOutcome, Operation, RecordKey, RecordKind, RefusalKind};
use yuccatack_telemetry::Telemetry;

/// A call of an operator.
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
    /// Parses the path of a call; `None` if it is not a path for operators.
    pub fn from_path(path: &str) -> Option<Self> {
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

    /// Returns the only HTTP method that the route accepts.
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

/// A response to an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// JSON document of the body.
    pub body_json: Bytes,
}

/// The body of `POST /v1/changes`. The record stays unparsed and is forwarded byte for byte.
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
enum ChangeOutcomeBody {
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
    answer: Option<ChangeOutcomeBody>,
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

/// The field of a job explanation that determines the HTTP status.
#[derive(Deserialize)]
struct Explanation {
    known: bool,
}

#[derive(Serialize)]
struct ErrorBody {
    kind: &'static str,
    message: String,
}

/// Handles the call of an operator, by a call to the control leader where needed.
pub async fn respond(
    route: OperatorRoute,
    body: &[u8],
    control: &ControlClient,
    telemetry: &Telemetry,
) -> OperatorResponse {
    let result = match route {
        OperatorRoute::SubmitChange => submit_change(body, control).await,
        OperatorRoute::Change(change_id) => read_change(&change_id, control).await,
        OperatorRoute::Records(kind) => list_records(kind, control).await,
        OperatorRoute::Record(key) => read_record(&key, control).await,
        OperatorRoute::Status => control.read_status().await.map(document_response),
        OperatorRoute::Job(name) => control.explain_job(&name).await.map(explanation_response),
        OperatorRoute::BurnReport => {
            Ok(json_response(StatusCode::OK, telemetry.burn_reports.borrow().as_ref()))
        }
    };
    result.unwrap_or_else(|error| control_error_response(&error))
}

/// Builds an error response with a stable kind and a message for the operator.
pub fn error_response(status: StatusCode, kind: &'static str, message: String) -> OperatorResponse {
    json_response(status, &ErrorBody { kind, message })
}

async fn submit_change(
    body: &[u8],
    control: &ControlClient,
) -> Result<OperatorResponse, ControlError> {
    let body: ChangeBody<'_> = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => {
            let message = format!(
                "the change is not understood: {error}; send change_id, operation, \
                 replaces_generation and record"
            );
            return Ok(error_response(StatusCode::BAD_REQUEST, "invalid_change", message));
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
    Ok(json_response(status, &ChangeOutcomeBody::from(outcome)))
}

async fn read_change(
    change_id: &ChangeId,
    control: &ControlClient,
) -> Result<OperatorResponse, ControlError> {
    let response = control.read_change(change_id).await?;
    let answer = response.answer.and_then(|answer| ChangeOutcome::try_from(answer).ok());
    let status = ChangeStatus {
        known: response.known,
        answer: answer.map(ChangeOutcomeBody::from),
        in_force_everywhere: response.in_force_everywhere,
        missing_nodes: response.missing_nodes,
    };
    Ok(json_response(StatusCode::OK, &status))
}

async fn list_records(
    kind: RecordKind,
    control: &ControlClient,
) -> Result<OperatorResponse, ControlError> {
    let records = control.list_records(kind).await?;
    let records = records.into_iter().filter_map(StoredRecord::from_wire).collect();
    Ok(json_response(StatusCode::OK, &RecordList { records }))
}

async fn read_record(
    key: &RecordKey,
    control: &ControlClient,
) -> Result<OperatorResponse, ControlError> {
    let record = control.read_record(key).await?;
    Ok(match record.and_then(StoredRecord::from_wire) {
        Some(record) => json_response(StatusCode::OK, &record),
        None => {
            let message = format!("no record {} {} is in force", key.kind.as_str(), key.name);
            error_response(StatusCode::NOT_FOUND, "not_found", message)
        }
    })
}

fn document_response(response: wire::DocumentResponse) -> OperatorResponse {
    OperatorResponse { status: StatusCode::OK, body_json: response.document_json }
}

fn explanation_response(response: wire::DocumentResponse) -> OperatorResponse {
    let known = serde_json::from_slice(&response.document_json)
        .map_or(true, |explanation: Explanation| explanation.known);
    let status = if known { StatusCode::OK } else { StatusCode::NOT_FOUND };
    OperatorResponse { status, body_json: response.document_json }
}

fn control_error_response(error: &ControlError) -> OperatorResponse {
    let (status, kind) = match error {
        ControlError::NotSent { .. } => (StatusCode::SERVICE_UNAVAILABLE, "not_sent"),
        ControlError::AnswerLost { .. } => (StatusCode::GATEWAY_TIMEOUT, "answer_lost"),
        ControlError::Refused { .. } => (StatusCode::BAD_REQUEST, "refused"),
        ControlError::Unreadable { .. } => (StatusCode::BAD_GATEWAY, "unreadable"),
    };
    error_response(status, kind, error.to_string())
}

fn json_response<Body>(status: StatusCode, body: &Body) -> OperatorResponse
where
    Body: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(body_json) => OperatorResponse { status, body_json: body_json.into() },
        Err(error) => {
            log::error!(
                event = "answer_encoding_failed";
                "cannot encode the response to an operator as JSON: {error}; \
                 sending an empty object; report this as a bug"
            );
            OperatorResponse { status: StatusCode::INTERNAL_SERVER_ERROR, body_json: "{}".into() }
        }
    }
}

impl From<ChangeOutcome> for ChangeOutcomeBody {
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
    /// Converts a record from the control leader. Returns `None` if its document is not JSON, which
    /// the control leader never stores.
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
