//! Operators' records: schema versions, generations and change identifiers.

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// The `records` protocol.
    #[path = "yuccatack.records.v1.rs"]
    pub mod records;
}

mod record;

pub use record::{
    GuaranteeRecord, Indicator, JobRecord, MembershipRecord, MembershipReplica, ObjectiveRecord,
    OrganisationRecord, PolicyRecord, Record, RecordKind, ServiceRecord,
};
