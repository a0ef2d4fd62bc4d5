//! A change that an operator requests, and its outcome.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use crate::problem::RecordProblem;
use crate::record::RecordKey;

/// The effect of a change on its record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Puts a record in force under a kind and name that has none.
    Submit,
    /// Replaces a record that is in force.
    Change,
    /// Takes a record out of force.
    Withdraw,
}

impl Operation {
    /// Returns the stable identifier of the operation, which is part of the content digest.
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
    /// Identifier chosen by the operator; a resend with the same identifier gets the first outcome.
    pub change_id: ChangeId,
    /// Effect on the record: submission, replacement or withdrawal.
    pub operation: Operation,
    /// Generation that the change replaces; 0 for a name that was never in use.
    pub replaces_generation: Generation,
    /// JSON document as the operator wrote it; a withdrawal reads only `kind` and `name`.
    pub document: Arc<str>,
}

impl Change {
    /// Returns a digest of everything but the change id, which distinguishes a resend from another
    /// change under the same id.
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

/// A 128-bit BLAKE3 digest of the operation, replaced generation and document of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ContentDigest([u8; 16]);

/// The outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change was applied: a submitted or changed record is in force, a withdrawn one is not.
    Accepted {
        /// Generation of the record after the change.
        generation: Generation,
        /// Position among all accepted changes of the store.
        revision: Revision,
    },
    /// The change was rejected and has no effect.
    Refused(Refusal),
}

impl ChangeOutcome {
    /// Returns the revision of an accepted change, or `None` for a refused one.
    pub const fn revision(&self) -> Option<Revision> {
        match self {
            Self::Accepted { revision, .. } => Some(*revision),
            Self::Refused(_) => None,
        }
    }
}

/// The reason for which a change was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The current generation of the record differs from the one that the change replaces.
    Conflict,
    /// The change id was already used for a change with different content.
    ChangeIdReused,
    /// The change itself is malformed, for example an empty change id.
    InvalidChange,
    /// The document is malformed or violates a constraint of its schema.
    InvalidRecord,
    /// The document has a newer schema version than this replica supports.
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
    /// The guarantee cannot be satisfied together with those in force.
    GuaranteeDoesNotFit,
    /// The job can never start, for example because it exceeds the quota or fits no worker.
    JobCanNeverRun,
    /// The requested membership cannot be reached safely.
    UnsafeMembership,
    /// The store changed between validation and commit.
    Superseded,
}

impl RefusalKind {
    /// All kinds, in declaration order.
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

    /// Returns the kind with this stable identifier, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Returns the stable identifier of the kind on the wire.
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

/// Maximum number of problems listed in one refusal; the message states how many follow.
const MAX_LISTED_PROBLEM_COUNT: usize = 32;
/// Maximum length of a refusal message; bounds the memory of retained refusals.
const MAX_MESSAGE_LENGTH_BYTES: usize = 4096;

/// A refused change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason, as a stable identifier for clients.
    pub kind: RefusalKind,
    /// Description of the fault and its remedy, at most 4096 bytes long.
    pub message: Arc<str>,
    /// Generation in force, or that of the withdrawal; 0 if the name was never in use or the
    /// refusal is not about a generation.
    pub current_generation: Generation,
}

impl Refusal {
    /// Creates a refusal without a current generation; truncates a message that is too long.
    pub fn new(kind: RefusalKind, message: &str) -> Self {
        let mut end = message.len().min(MAX_MESSAGE_LENGTH_BYTES);
        while !message.is_char_boundary(end) {
            end -= 1;
        }
        let message = Arc::from(&message[..end]);
        Self { kind, message, current_generation: Generation::default() }
    }

    /// Sets the generation that the operator has to replace.
    pub fn with_current_generation(self, current_generation: Generation) -> Self {
        Self { current_generation, ..self }
    }

    /// Creates the refusal of an invalid document, with one line per problem.
    pub fn from_problems(problems: &[RecordProblem]) -> Self {
        let is_newer_version =
            |problem: &RecordProblem| matches!(problem, RecordProblem::NewerSchemaVersion { .. });
        let kind = if problems.iter().any(is_newer_version) {
            RefusalKind::NewerSchemaVersion
        } else {
            RefusalKind::InvalidRecord
        };
        let mut lines: Vec<String> =
            problems.iter().take(MAX_LISTED_PROBLEM_COUNT).map(ToString::to_string).collect();
        if problems.len() > MAX_LISTED_PROBLEM_COUNT {
            lines.push(format!("and {} more problems", problems.len() - MAX_LISTED_PROBLEM_COUNT));
        }
        Self::new(kind, &lines.join("\n"))
    }

    /// Creates the refusal of a change that does not replace the current generation.
    pub fn conflict(key: &RecordKey, replaces: Generation, current: Generation) -> Self {
        let message = format!(
            "{key} is at generation {current}, and the change replaces generation {replaces}; read \
             the record again and send the change with a new change id and replaces_generation \
             {current}"
        );
        Self::new(RefusalKind::Conflict, &message).with_current_generation(current)
    }
}
