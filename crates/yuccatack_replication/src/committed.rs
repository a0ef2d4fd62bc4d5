//! Items that the replicated log delivers to its user.

use std::net::SocketAddr;

use bytes::Bytes;
use ractor::ActorRef;
use tokio::sync::mpsc;

use crate::identifiers::{LogIndex, ProposalId, ReadId, Term};

/// Item of the ordered stream that a replica delivers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Committed {
    /// A command was committed.
    Entry {
        /// Index of the entry; indexes of empty entries and membership changes are skipped.
        index: LogIndex,
        /// Term in which the command was proposed.
        term: Term,
        /// Proposal that appended the command; absent if another process made it.
        proposal: Option<ProposalId>,
        /// Encoded command.
        payload: Bytes,
    },
    /// A snapshot replaces all state delivered before. After a restart it precedes all entries.
    Snapshot {
        /// Index of the last entry that the snapshot includes.
        index: LogIndex,
        /// Encoded state.
        payload: Bytes,
    },
    /// Requests the state as of `index`; the user responds with `store_snapshot`.
    SnapshotRequested {
        /// Index of the last entry that the state must include.
        index: LogIndex,
    },
    /// A proposal failed; no entry will be delivered for it under its number.
    ProposalFailed {
        /// Number that the proposer gave to the proposal.
        proposal: ProposalId,
        /// Reason of the failure.
        failure: ProposalFailure,
    },
    /// Every entry that was committed when the read was requested has been delivered.
    ReadReady {
        /// Number that the reader gave to the read.
        read: ReadId,
    },
    /// A read cannot be served by this replica.
    ReadFailed {
        /// Number that the reader gave to the read.
        read: ReadId,
        /// Reason of the failure.
        failure: ReadFailure,
    },
    /// This replica gained or lost leadership, or learned of another leader.
    Leadership(Leadership),
}

/// Effect of a proposal on the space that the replicated state takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposalClass {
    /// Adds to the state; refused while disks are full or nearly full.
    Growth,
    /// Completes, ends or removes what is stored; accepted as long as it can be written.
    Essential,
}

/// Reason why a proposal failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposalFailure {
    /// Nothing was proposed, because this replica is not the leader.
    NotLeader {
        /// Address of the leader, if known.
        leader_address: Option<SocketAddr>,
    },
    /// Nothing was proposed, because the disks of a quorum are full or nearly full, or too much waits
    /// to be written to them.
    NoSpace,
    /// Leadership was lost before the command was delivered; it may or may not be committed.
    Unknown,
}

/// Reason why a read failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFailure {
    /// This replica is not the leader, or lost leadership before the read was served.
    NotLeader {
        /// Address of the leader, if known.
        leader_address: Option<SocketAddr>,
    },
}

/// Leadership of a replica, as reported to the user of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Leadership {
    /// This replica leads, and every entry of earlier terms has been delivered.
    Leader {
        /// Term in which this replica leads.
        term: Term,
    },
    /// This replica does not lead.
    Follower {
        /// Address of the leader, if known.
        leader_address: Option<SocketAddr>,
    },
}

/// Forwards committed items to the actor that uses the log, until either side stops.
pub async fn forward_committed<Wrapped>(
    mut committed: mpsc::Receiver<Committed>,
    actor: ActorRef<Wrapped>,
) where
    Wrapped: From<Committed> + ractor::Message,
{
    while let Some(item) = committed.recv().await {
        if actor.cast(Wrapped::from(item)).is_err() {
            return;
        }
    }
}
