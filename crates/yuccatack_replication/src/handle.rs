//! The interface of the replicated log to the control process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use bytes::Bytes;
use ractor::ActorRef;
use tokio::sync::{mpsc, oneshot, watch};

use crate::actor::{ActorMessage, start_actor};
use crate::committed::Committed;
use crate::error::{ChangeError, ReplicaFailure, StartError};
use crate::identifiers::{LogIndex, ProposalId, ReadId, ReplicaId, Term};
use crate::membership::MembershipChange;
use crate::state::{ReplicaView, RoleView};
use crate::transport::{Inbound, ReplicationService};

/// The settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicationConfig {
    /// The number of this replica; unique for the life of the deployment.
    pub replica: ReplicaId,
    /// Where this replica answers the others.
    pub address: SocketAddr,
    /// The voters with which a new deployment starts; ignored once the cluster is formed.
    pub initial_voters: BTreeMap<ReplicaId, SocketAddr>,
    /// How often a leader sends a heartbeat.
    pub heartbeat_ms: u64,
    /// The shortest election timeout; the longest is twice as long.
    pub election_timeout_ms: u64,
    /// How many entries are delivered before a snapshot is asked for.
    pub snapshot_entry_count: u64,
    /// The folder that holds all durable state.
    pub data_folder: PathBuf,
}

/// The role of a replica.
pub type RoleName = RoleView;

/// A learner and how far it has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LearnerStatus {
    /// Where it answers.
    pub address: SocketAddr,
    /// The last index that it holds on disk, as the leader knows it; nothing on other replicas.
    pub matched: Option<LogIndex>,
}

/// What a replica shows of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicationStatus {
    /// Its role.
    pub role: RoleName,
    /// Its term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Where the leader answers, if known.
    pub leader_address: Option<SocketAddr>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The voters; while a change is under way, those of the new membership.
    pub voters: BTreeMap<ReplicaId, SocketAddr>,
    /// The learners.
    pub learners: BTreeMap<ReplicaId, LearnerStatus>,
    /// The voters that have been silent for long, as the leader knows it.
    pub silent_voters: BTreeSet<ReplicaId>,
    /// Why the replica stopped, if it did.
    pub failure: Option<ReplicaFailure>,
}

impl ReplicationStatus {
    pub(crate) fn from_view(view: &ReplicaView<'_>) -> Self {
        let membership = view.membership;
        let voters = membership.voters.iter().map(|(id, member)| (*id, member.address)).collect();
        let learners = membership.learners.iter().map(|(id, member)| {
            let matched = view.matched.get(id).copied();
            (*id, LearnerStatus { address: member.address, matched })
        });
        Self {
            role: view.role,
            term: view.hard_state.term,
            leader: view.leader,
            leader_address: view.leader_address,
            commit: view.commit,
            voters,
            learners: learners.collect(),
            silent_voters: view.silent_voters.clone(),
            failure: None,
        }
    }
}

/// Sends requests to a replica's actor; clones are cheap.
#[derive(Clone, Debug)]
pub struct ReplicationHandle {
    actor: ActorRef<ActorMessage>,
    status: watch::Receiver<ReplicationStatus>,
}

/// Opens the data folder and starts the replica.
///
/// The service must be added to the caller's router for the other replicas to reach this one.
pub async fn start(
    config: ReplicationConfig,
) -> Result<(ReplicationHandle, mpsc::Receiver<Committed>, ReplicationService), StartError> {
    let started = start_actor(config).await?;
    let service = Inbound::service(started.actor.clone(), started.closed);
    let handle = ReplicationHandle { actor: started.actor, status: started.status };
    Ok((handle, started.committed, service))
}

impl ReplicationHandle {
    /// Proposes a command; the answer is a [`Committed::Entry`] or [`Committed::ProposalFailed`].
    pub fn propose(&self, proposal: ProposalId, payload: Bytes) {
        self.cast(ActorMessage::Propose(proposal, payload));
    }

    /// Requests a linearizable read; the answer is a [`Committed::ReadReady`] or
    /// [`Committed::ReadFailed`].
    pub fn read(&self, read: ReadId) {
        self.cast(ActorMessage::Read(read));
    }

    /// Answers [`Committed::SnapshotRequested`] with the state as of `index`.
    pub fn store_snapshot(&self, index: LogIndex, payload: Bytes) {
        self.cast(ActorMessage::StoreSnapshot(index, payload));
    }

    /// Reports the hash of the state after `index`; a replica that differs stops.
    pub fn report_state_hash(&self, index: LogIndex, hash: u64) {
        self.cast(ActorMessage::StateHash(index, hash));
    }

    /// Hands the lead to another voter; returns when this replica does not lead any more, or after
    /// the hand-over was given up.
    pub async fn transfer_leadership(&self) {
        let (reply, answer) = oneshot::channel();
        self.cast(ActorMessage::TransferLeadership(reply));
        // An error means that the replica stopped, and then it does not lead.
        let _ = answer.await;
    }

    /// Changes the membership; returns when the change is committed or refused.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ChangeError> {
        let (reply, answer) = oneshot::channel();
        self.cast(ActorMessage::ChangeMembership(change, reply));
        answer.await.unwrap_or(Err(ChangeError::Stopped))
    }

    /// Follows the replica's status.
    pub fn status(&self) -> watch::Receiver<ReplicationStatus> {
        self.status.clone()
    }

    /// Stops the replica; the data folder is closed when this returns.
    pub async fn stop(self) {
        let (reply, answer) = oneshot::channel();
        self.cast(ActorMessage::Stop(reply));
        // An error means that the replica has stopped already.
        let _ = answer.await;
    }

    /// A stopped replica answers nothing; its stream of committed items has ended.
    fn cast(&self, message: ActorMessage) {
        let _ = self.actor.cast(message);
    }
}
