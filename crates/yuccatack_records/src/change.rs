//! A change that an operator asks for and what became of it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::problem::RecordProblem;
use crate::record::RecordKey;

/// What a change does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Brings a record that is not in force.
    Submit,
    /// Replaces a record that is in force.
    Change,
    /// Takes a record out of force.
    Withdraw,
}

impl Operation {
    /// The word that stands for the operation.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Change => "change",
            Self::Withdraw => "withdraw",
        }
    }
}

/// A change as an operator sent it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The operator's identifier, so that a resend gets the first answer.
    pub change_id: ChangeId,
    /// What to do.
    pub operation: Operation,
    /// The generation that the change replaces; 0 for a name that was never in use.
    pub replaces_generation: Generation,
    /// The JSON document as written; a withdrawal reads only `kind` and `name`.
    pub document: Arc<str>,
}

impl Change {
    /// A digest of everything but the change id, to tell a resend from another change.
    pub fn content_digest(&self) -> ContentDigest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.operation.as_str().as_bytes());
        hasher.update(&self.replaces_generation.get().to_le_bytes());
        hasher.update(self.document.as_bytes());
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        ContentDigest(digest)
    }
}

/// The digest of a change's content.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ContentDigest([u8; 16]);

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is logged and comes into force.
    Accepted {
        /// The new generation of the record.
        generation: Generation,
        /// The position among all changes.
        revision: Revision,
    },
    /// The change has no effect.
    Refused(Refusal),
}

impl ChangeOutcome {
    /// The revision of an accepted change.
    pub const fn revision(&self) -> Option<Revision> {
        match self {
            Self::Accepted { revision, .. } => Some(*revision),
            Self::Refused(_) => None,
        }
    }
}

/// Why a change was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The record has another generation than the change replaces.
    Conflict,
    /// The change id belongs to a change with other content.
    ChangeIdReused,
    /// The change itself is malformed, for example an empty change id.
    InvalidChange,
    /// The document has problems.
    InvalidRecord,
    /// The document is written in a newer schema version.
    NewerSchemaVersion,
    /// The record refers to an organisation that is not in force.
    UnknownOrganisation,
    /// The record refers to a service or guarantee that is not in force.
    UnknownReference,
    /// A record of this kind and name is in force already.
    Duplicate,
    /// There is no record of this kind and name.
    NotFound,
    /// Other records refer to the record that is to be withdrawn.
    InUse,
    /// The guarantee cannot be kept together with those in force.
    GuaranteeDoesNotFit,
    /// No worker can ever run the job.
    JobCanNeverRun,
    /// The wanted replicas cannot be reached safely.
    UnsafeMembership,
    /// The store changed between the two stages of the check.
    Superseded,
}

impl RefusalKind {
    /// Every kind.
    pub const ALL: [Self; 14] = [
        Self::Conflict,
        Self::ChangeIdReused,
        Self::InvalidChange,
        Self::InvalidRecord,
        Self::NewerSchemaVersion,
        Self::UnknownOrganisation,
        Self::UnknownReference,
        Self::Duplicate,
        Self::NotFound,
        Self::InUse,
        Self::GuaranteeDoesNotFit,
        Self::JobCanNeverRun,
        Self::UnsafeMembership,
        Self::Superseded,
    ];

    /// Returns the kind with this stable name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// The stable word of the kind on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::ChangeIdReused => "change_id_reused",
            Self::InvalidChange => "invalid_change",
            Self::InvalidRecord => "invalid_record",
            Self::NewerSchemaVersion => "newer_schema_version",
            Self::UnknownOrganisation => "unknown_organisation",
            Self::UnknownReference => "unknown_reference",
            Self::Duplicate => "duplicate",
            Self::NotFound => "not_found",
            Self::InUse => "in_use",
            Self::GuaranteeDoesNotFit => "guarantee_does_not_fit",
            Self::JobCanNeverRun => "job_can_never_run",
            Self::UnsafeMembership => "unsafe_membership",
            Self::Superseded => "superseded",
        }
    }
}

/// Problems listed in one refusal; more are counted.
const MAX_LISTED_PROBLEMS: usize = 32;
/// The longest remembered message; it bounds the memory of remembered refusals.
const MAX_MESSAGE_LENGTH_BYTES: usize = 4096;

/// A refused change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// What is wrong, and the remedy.
    pub message: Arc<str>,
    /// The generation now in force, or that of the withdrawal; 0 when the name was never in use.
    pub current_generation: Generation,
}

impl Refusal {
    /// Makes a refusal that has nothing to do with a generation.
    pub fn new(kind: RefusalKind, message: &str) -> Self {
        let mut end = message.len().min(MAX_MESSAGE_LENGTH_BYTES);
        while !message.is_char_boundary(end) {
            end -= 1;
        }
        let message = Arc::from(&message[..end]);
        Self { kind, message, current_generation: Generation::default() }
    }

    /// States the generation that the operator should look at.
    pub fn with_current_generation(self, current_generation: Generation) -> Self {
        Self { current_generation, ..self }
    }

    /// The refusal of a document with problems.
    pub fn from_problems(problems: &[RecordProblem]) -> Self {
        let newer =
            |problem: &RecordProblem| matches!(problem, RecordProblem::NewerSchemaVersion { .. });
        let kind = if problems.iter().any(newer) {
            RefusalKind::NewerSchemaVersion
        } else {
            RefusalKind::InvalidRecord
        };
        let mut lines: Vec<String> =
            problems.iter().take(MAX_LISTED_PROBLEMS).map(ToString::to_string).collect();
        if problems.len() > MAX_LISTED_PROBLEMS {
            lines.push(format!("and {} more problems", problems.len() - MAX_LISTED_PROBLEMS));
        }
        Self::new(kind, &lines.join("\n"))
    }

    /// The refusal of a change that replaces another generation than the current one.
    pub fn conflict(key: &RecordKey, replaces: Generation, current: Generation) -> Self {
        let message = format!(
            "{key} is at generation {current}, and the change replaces generation {replaces}; read \
             the record again and send the change with a new change id and replaces_generation \
             {current}"
        );
        Self::new(RefusalKind::Conflict, &message).with_current_generation(current)
    }
}
