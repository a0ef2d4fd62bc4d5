//! Operators' records: schema versions, generations and change identifiers.
//!
//! [`RecordStore`] is a deterministic replicated state machine without I/O. [`decode`] converts a
//! document of any kind and schema version to one internal type.

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// Messages and services of `proto/records.proto`.
    #[path = "yuccatack.records.v1.rs"]
    pub mod records;
}

mod change;
mod change_history;
mod problem;
mod record;
mod references;
mod store;
mod wire;
mod withdrawn;

pub use change::{Change, ChangeOutcome, ContentDigest, Operation, Refusal, RefusalKind};
pub use change_history::{
    MAX_RETAINED_AGE, MAX_RETAINED_CHANGE_COUNT, MAX_RETAINED_MESSAGE_BYTES, RetainedChange,
};
pub use problem::RecordProblem;
pub use record::{
    GuaranteeRecord, Indicator, JobRecord, MembershipRecord, MembershipReplica, ObjectiveRecord,
    OrganisationRecord, PolicyRecord, Record, RecordKey, RecordKind, ServiceRecord,
};
pub use store::{RecordStore, StoredRecord, ValidatedChange};
pub use wire::{
    DecodedDocument, MAX_DOCUMENT_LENGTH_BYTES, NEWEST_SCHEMA_VERSION, UnreadableOutcomeError,
    decode, decode_document, decode_key,
};
