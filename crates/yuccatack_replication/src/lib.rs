//! Replicated log with elections, membership changes, snapshots and transport.
//!
//! [`state`] holds the consensus state machine and does no I/O. The actor behind [`start`] owns the
//! state machine and the storage, and the transport carries messages between replicas.

mod actor;
mod committed;
mod encoding;
mod error;
mod handle;
mod identifiers;
mod membership;
mod message;
mod persistence;
mod replicated_log;
pub mod state;
mod transport;
mod wire;

pub use committed::{
    Committed, Leadership, ProposalClass, ProposalFailure, ReadFailure, forward_committed,
};
pub use encoding::{EncodingError, decode, encode};
pub use error::{ChangeError, ReplicaFailure, StartError};
pub use handle::{
    LearnerStatus, ReplicationConfig, ReplicationHandle, ReplicationStatus, RoleName, start,
};
pub use identifiers::{ChangeNumber, ClusterId, LogIndex, ProposalId, ReadId, ReplicaId, Term};
pub use membership::{Member, Membership, MembershipChange};
pub use message::{AppendOutcome, Message, MessageBody};
pub use persistence::{HardState, PersistBatch, PersistOperation, Recovered, StateSnapshot};
pub use replicated_log::{EntryPayload, Log, LogEntry, LogPosition};
pub use transport::ReplicationService;
pub use wire::WireError;

/// Generated protobuf types and gRPC services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// Package `yuccatack.replication.v1`.
    #[path = "yuccatack.replication.v1.rs"]
    pub mod replication;
}
