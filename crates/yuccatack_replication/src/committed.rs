//! What the replicated log delivers to its user.

use std::net::SocketAddr;

use bytes::Bytes;
use ractor::ActorRef;
use tokio::sync::mpsc;

use crate::identifiers::{LogIndex, ProposalId, ReadId, Term};

/// An item of the ordered stream that a replica delivers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Committed {
    /// A committed command.
    Entry {
        /// Its position; positions of empty entries and membership changes are left out.
        index: LogIndex,
        /// The term in which it was proposed.
        term: Term,
        /// The proposal, when this process made it.
        proposal: Option<ProposalId>,
        /// The command.
        payload: Bytes,
    },
    /// State that replaces everything delivered before; also the first item after a restart.
    Snapshot {
        /// The last entry that the state includes.
        index: LogIndex,
        /// The state.
        payload: Bytes,
    },
    /// Asks for the state as of `index`, to be answered with `store_snapshot`.
    SnapshotRequested {
        /// The last entry that the state must include.
        index: LogIndex,
    },
    /// A proposal that will not be answered by an entry.
    ProposalFailed {
        /// The proposal.
        proposal: ProposalId,
        /// Why.
        failure: ProposalFailure,
    },
    /// Every entry that was committed when the read was requested has been delivered.
    ReadReady {
        /// The read.
        read: ReadId,
    },
    /// A read that cannot be served here.
    ReadFailed {
        /// The read.
        read: ReadId,
        /// Why.
        failure: ReadFailure,
    },
    /// This replica gained or lost the lead, or learned of another leader.
    Leadership(Leadership),
}

/// Why a proposal failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposalFailure {
    /// Nothing was proposed, because this replica is not the leader.
    NotLeader {
        /// The leader, if known.
        leader_address: Option<SocketAddr>,
    },
    /// The lead was lost in the meantime; the command may or may not be committed.
    Unknown,
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFailure {
    /// This replica is not the leader, or lost the lead before the read was confirmed.
    NotLeader {
        /// The leader, if known.
        leader_address: Option<SocketAddr>,
    },
}

/// Whether this replica leads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Leadership {
    /// This replica leads, and every entry of earlier terms has been delivered.
    Leader {
        /// The term in which it leads.
        term: Term,
    },
    /// This replica follows.
    Follower {
        /// The leader, if known.
        leader_address: Option<SocketAddr>,
    },
}

/// Passes what the log delivers to the actor that uses it, until either of them stops.
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
