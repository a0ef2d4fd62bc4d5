//! Conversion between the messages of the operators' protocol and the internal types.

use std::sync::Arc;

use snafu::Snafu;
use yuccatack_core::prelude::*;

use crate::change::{Change, ChangeOutcome, Operation, Refusal, RefusalKind};
use crate::generated::records as wire;
use crate::record::RecordKey;
use crate::store::StoredRecord;

impl TryFrom<wire::SubmitChangeRequest> for Change {
    type Error = Refusal;

    fn try_from(request: wire::SubmitChangeRequest) -> Result<Self, Self::Error> {
        let operation = match request.operation() {
            wire::Operation::Submit => Operation::Submit,
            wire::Operation::Change => Operation::Change,
            wire::Operation::Withdraw => Operation::Withdraw,
            wire::Operation::Unspecified => {
                let message = "the operation is missing; use submit, change or withdraw";
                return Err(Refusal::new(RefusalKind::InvalidChange, message));
            }
        };
        let document = std::str::from_utf8(&request.document_json).map_err(|error| {
            let message = format!("the document is not UTF-8 text ({error}); send JSON in UTF-8");
            Refusal::new(RefusalKind::InvalidRecord, &message)
        })?;
        Ok(Self {
            change_id: ChangeId::new(&request.change_id),
            operation,
            replaces_generation: Generation::new(request.replaces_generation),
            document: Arc::from(document),
        })
    }
}

impl From<&Change> for wire::SubmitChangeRequest {
    fn from(change: &Change) -> Self {
        let operation = match change.operation {
            Operation::Submit => wire::Operation::Submit,
            Operation::Change => wire::Operation::Change,
            Operation::Withdraw => wire::Operation::Withdraw,
        };
        Self {
            change_id: change.change_id.to_string(),
            operation: operation.into(),
            replaces_generation: change.replaces_generation.get(),
            document_json: change.document.as_bytes().to_vec().into(),
        }
    }
}

impl From<&ChangeOutcome> for wire::SubmitChangeResponse {
    fn from(outcome: &ChangeOutcome) -> Self {
        let outcome = match outcome {
            ChangeOutcome::Accepted { generation, revision } => {
                wire::submit_change_response::Outcome::Accepted(wire::Accepted {
                    generation: generation.get(),
                    revision: revision.get(),
                })
            }
            ChangeOutcome::Refused(refusal) => {
                wire::submit_change_response::Outcome::Refused(wire::Refused {
                    kind: refusal.kind.as_str().to_owned(),
                    message: refusal.message.to_string(),
                    current_generation: refusal.current_generation.get(),
                })
            }
        };
        Self { outcome: Some(outcome) }
    }
}

/// A response that this program version cannot interpret.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the answer has {detail}; run the same version on both sides"))]
pub struct UnreadableOutcomeError {
    detail: String,
}

impl TryFrom<wire::SubmitChangeResponse> for ChangeOutcome {
    type Error = UnreadableOutcomeError;

    fn try_from(response: wire::SubmitChangeResponse) -> Result<Self, Self::Error> {
        match response.outcome {
            Some(wire::submit_change_response::Outcome::Accepted(accepted)) => Ok(Self::Accepted {
                generation: Generation::new(accepted.generation),
                revision: Revision::new(accepted.revision),
            }),
            Some(wire::submit_change_response::Outcome::Refused(refused)) => {
                let kind = RefusalKind::from_name(&refused.kind).ok_or_else(|| {
                    let detail = format!("the unknown kind of refusal `{}`", refused.kind);
                    UnreadableOutcomeError { detail }
                })?;
                let refusal = Refusal::new(kind, &refused.message)
                    .with_current_generation(Generation::new(refused.current_generation));
                Ok(Self::Refused(refusal))
            }
            None => Err(UnreadableOutcomeError { detail: "no outcome".to_owned() }),
        }
    }
}

impl From<(&RecordKey, &StoredRecord)> for wire::StoredRecord {
    fn from((key, stored): (&RecordKey, &StoredRecord)) -> Self {
        Self {
            kind: key.kind.as_str().to_owned(),
            name: key.name.to_string(),
            generation: stored.generation.get(),
            revision: stored.revision.get(),
            document_json: stored.document.as_bytes().to_vec().into(),
        }
    }
}
