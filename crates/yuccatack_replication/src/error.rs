//! Errors of the replicated log.

use std::net::SocketAddr;

use snafu::Snafu;
use yuccatack_storage::StorageError;

use crate::identifiers::{LogIndex, ReplicaId};

/// Why a replica could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// What is wrong with it.
        source: StorageError,
    },
    /// The folder's content was written by a program with another encoding.
    #[snafu(display(
        "an entry or snapshot in the data folder cannot be decoded ({detail}); run the program \
         version that wrote it, or let this replica join again as a new member"
    ))]
    Undecodable {
        /// The decoder's message.
        detail: String,
    },
    /// The settings contradict themselves.
    #[snafu(display("{problem}; correct the replication settings"))]
    InvalidSettings {
        /// What is wrong.
        problem: &'static str,
    },
    /// The actor could not be started.
    #[snafu(display("the replication actor did not start ({detail}); start the process again"))]
    Actor {
        /// The runtime's message.
        detail: String,
    },
}

/// Why a running replica stopped.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplicaFailure {
    /// Two replicas have different state after the same entry.
    #[snafu(display(
        "the state after entry {index} has hash {own:016x} here and {other:016x} on replica \
         {replica}; move the data folder away and let this replica join again as a new member"
    ))]
    StateDiverged {
        /// The entry.
        index: LogIndex,
        /// The hash of this replica.
        own: u64,
        /// The hash of the other one.
        other: u64,
        /// The other replica.
        replica: ReplicaId,
    },
    /// The disk has no space left; what was written before is intact.
    #[snafu(display("{detail}"))]
    DiskFull {
        /// The storage's message with its remedy.
        detail: String,
    },
    /// The data folder failed.
    #[snafu(display("{detail}"))]
    Storage {
        /// The storage's message with its remedy.
        detail: String,
    },
}

/// Why a change of membership was not made.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChangeError {
    /// This replica does not lead.
    #[snafu(display("this replica is not the leader; send the change to the leader"))]
    NotLeader {
        /// The leader, if known.
        leader_address: Option<SocketAddr>,
    },
    /// Another change is not finished.
    #[snafu(display("another membership change is in progress; send this one after it"))]
    InProgress,
    /// The replica is a member already.
    #[snafu(display("replica {replica} is a member; use a replica id that was never used"))]
    AlreadyMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// The replica has not the role that the change requires.
    #[snafu(display("replica {replica} has not the required role; check the current members"))]
    WrongRole {
        /// The replica.
        replica: ReplicaId,
    },
    /// Nobody would be left to vote.
    #[snafu(display("the last voter cannot be removed; add another voter first"))]
    LastVoter,
    /// Too few of the resulting voters hold the committed log.
    #[snafu(display(
        "only {holders} of the resulting voters hold the committed log and {needed} are needed; \
         wait until more voters have caught up, or start the stopped ones"
    ))]
    TooFewHolders {
        /// How many hold it.
        holders: usize,
        /// How many must.
        needed: usize,
    },
    /// The learner did not catch up in time.
    #[snafu(display(
        "learner {replica} holds the log up to {matched} and must hold it up to {needed}; promote \
         it again when it has caught up"
    ))]
    LearnerBehind {
        /// The learner.
        replica: ReplicaId,
        /// What it holds.
        matched: LogIndex,
        /// What it must hold.
        needed: LogIndex,
    },
    /// The lead was lost before the change was committed.
    #[snafu(display(
        "leadership was lost, and the change may or may not be made; read the current members"
    ))]
    Unknown,
    /// The replica stopped.
    #[snafu(display("the replica has stopped; send the change to another one"))]
    Stopped,
}
