//! Errors of starting, running and changing a replica.

use std::net::SocketAddr;

use snafu::Snafu;
use yuccatack_storage::StorageError;

use crate::identifiers::{LogIndex, ReplicaId};

/// Error of starting a replica.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The data folder cannot be opened or read.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// Storage error with its remedy.
        source: StorageError,
    },
    /// The data folder was written by a program version with another encoding.
    #[snafu(display(
        "an entry or snapshot in the data folder cannot be decoded ({detail}); run the program \
         version that wrote it, or let this replica join again as a new member"
    ))]
    Undecodable {
        /// Message of the decoder.
        detail: String,
    },
    /// A setting has an invalid value or contradicts another one.
    #[snafu(display("{problem}; correct the replication settings"))]
    InvalidSettings {
        /// Rule that the settings violate.
        problem: &'static str,
    },
    /// The replication actor could not be started.
    #[snafu(display("the replication actor did not start ({detail}); start the process again"))]
    Actor {
        /// Message of the actor runtime.
        detail: String,
    },
}

/// Failure that stopped a running replica.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplicaFailure {
    /// This replica and another one have different state after the same entry.
    #[snafu(display(
        "the state after entry {index} has hash {own:016x} here and {other:016x} on replica \
         {replica}; move the data folder away and let this replica join again as a new member"
    ))]
    StateDiverged {
        /// Index of the entry.
        index: LogIndex,
        /// Hash of the state on this replica.
        own: u64,
        /// Hash of the state on the other replica.
        other: u64,
        /// Replica with the other hash.
        replica: ReplicaId,
    },
    /// The disk is full; earlier writes are intact.
    #[snafu(display("{detail}"))]
    DiskFull {
        /// Message of the storage with its remedy.
        detail: String,
    },
    /// Reading or writing the data folder failed.
    #[snafu(display("{detail}"))]
    Storage {
        /// Message of the storage with its remedy.
        detail: String,
    },
}

/// Reason why a membership change was not made.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChangeError {
    /// This replica is not the leader.
    #[snafu(display("this replica is not the leader; send the change to the leader"))]
    NotLeader {
        /// Address of the leader, if known.
        leader_address: Option<SocketAddr>,
    },
    /// Another membership change or a leadership transfer is in progress, or the leader has not
    /// committed its first entry.
    #[snafu(display(
        "another membership change or a leadership transfer is in progress; send this change again \
         when it is complete"
    ))]
    InProgress,
    /// The replica to add is already a member.
    #[snafu(display(
        "replica {replica} is already a member; choose a replica ID that was never used"
    ))]
    AlreadyMember {
        /// Replica that the change would add.
        replica: ReplicaId,
    },
    /// The replica does not have the role that the change requires.
    #[snafu(display(
        "replica {replica} does not have the role that the change requires; check the current \
         members"
    ))]
    WrongRole {
        /// Replica that the change names.
        replica: ReplicaId,
    },
    /// The change would remove the last voter.
    #[snafu(display("the last voter cannot be removed; add another voter first"))]
    LastVoter,
    /// Fewer than a quorum of the resulting voters hold the committed log.
    #[snafu(display(
        "only {holders} of the resulting voters hold the committed log and {needed} are required; \
         wait until more voters have caught up, or start the stopped ones"
    ))]
    TooFewHolders {
        /// Number of resulting voters that hold the committed log.
        holders: usize,
        /// Size of a quorum of the resulting voters.
        needed: usize,
    },
    /// The learner did not catch up before the promotion timed out.
    #[snafu(display(
        "learner {replica} holds the log up to {matched} and must hold it up to {needed}; promote \
         it again when it has caught up"
    ))]
    LearnerBehind {
        /// Learner to promote.
        replica: ReplicaId,
        /// Last index that the learner holds.
        matched: LogIndex,
        /// Index that the learner must hold.
        needed: LogIndex,
    },
    /// Leadership was lost before the change was committed.
    #[snafu(display(
        "leadership was lost before the membership change was committed, and it may or may not \
         take effect; check the current members"
    ))]
    Unknown,
    /// The replica has stopped.
    #[snafu(display("the replica has stopped; send the change to another one"))]
    Stopped,
}
