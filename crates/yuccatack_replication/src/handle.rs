//! Public interface of a replica: its settings, its status and the requests to it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use bytes::Bytes;
use ractor::ActorRef;
use tokio::sync::{mpsc, oneshot, watch};
use yuccatack_storage::DiskSettings;

use crate::actor::{ActorMessage, start_actor};
use crate::committed::{Committed, ProposalClass};
use crate::error::{ChangeError, ReplicaFailure, StartError};
use crate::identifiers::{LogIndex, ProposalId, ReadId, ReplicaId, Term};
use crate::membership::{Member, MembershipChange};
use crate::state::{ReplicaView, RoleView};
use crate::transport::{Inbound, ReplicationService};

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicationConfig {
    /// Number of this replica; never reused within a deployment.
    pub replica: ReplicaId,
    /// Address on which this replica accepts messages of the others.
    pub address: SocketAddr,
    /// Voters of a new deployment; ignored once the cluster is formed.
    pub initial_voters: BTreeMap<ReplicaId, SocketAddr>,
    /// Interval between the heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Lower bound of the randomised election timeout; the upper bound is twice as high.
    pub election_timeout_ms: u64,
    /// Number of entries that are delivered before the next snapshot is requested.
    pub snapshot_entry_count: u64,
    /// Folder that holds all durable state.
    pub data_folder: PathBuf,
    /// Disk that holds the folder.
    pub disk: DiskSettings,
}

/// Role of a replica, as reported in its status.
pub type RoleName = RoleView;

/// Address of a learner and the part of the log that it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LearnerStatus {
    /// Address on which the learner accepts messages.
    pub address: SocketAddr,
    /// Last index that the learner is known to hold on disk; present only on the leader.
    pub matched: Option<LogIndex>,
}

/// Status of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicationStatus {
    /// Role in the current term.
    pub role: RoleName,
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Leader of the current term, if known.
    pub leader: Option<ReplicaId>,
    /// Address of the leader, if known.
    pub leader_address: Option<SocketAddr>,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
    /// Addresses of the voters of the newest membership in the log, committed or not; during a
    /// joint membership those of the new set. The next change is decided from them.
    pub voters: BTreeMap<ReplicaId, SocketAddr>,
    /// Addresses of the voters in force: those of the newest membership known to be committed, and
    /// during a joint membership those of the old set, of which elections still need a majority.
    ///
    /// A replacement is complete, and the loss of a minority of the new voters survivable, only
    /// once these equal `voters`.
    pub voters_in_force: BTreeMap<ReplicaId, SocketAddr>,
    /// Learners of the newest membership in the log by their number.
    pub learners: BTreeMap<ReplicaId, LearnerStatus>,
    /// Voters that have not responded for several election timeouts; empty unless this replica
    /// leads.
    pub silent_voters: BTreeSet<ReplicaId>,
    /// Learners that have not responded within an election timeout; empty unless this replica
    /// leads.
    pub silent_learners: BTreeSet<ReplicaId>,
    /// `true` while the disk of this replica takes no more bytes.
    pub disk_full: bool,
    /// Size of the entries in the log file.
    pub log_bytes: u64,
    /// Failure that stopped the replica, if any.
    pub failure: Option<ReplicaFailure>,
}

impl ReplicationStatus {
    /// Returns the status of a running replica with the state `view`.
    pub fn from_view(view: &ReplicaView<'_>) -> Self {
        let membership = view.membership;
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
            voters: addresses(&membership.voters),
            voters_in_force: addresses(view.voters_in_force),
            learners: learners.collect(),
            silent_voters: view.silent_voters.clone(),
            silent_learners: view.silent_learners.clone(),
            disk_full: view.disk_full,
            log_bytes: view.log_bytes,
            failure: None,
        }
    }

    /// Returns the new voters of a change in progress; `None` if the voters in force are the newest.
    pub fn pending_voters(&self) -> Option<&BTreeMap<ReplicaId, SocketAddr>> {
        (self.voters != self.voters_in_force).then_some(&self.voters)
    }
}

fn addresses(voters: &BTreeMap<ReplicaId, Member>) -> BTreeMap<ReplicaId, SocketAddr> {
    voters.iter().map(|(id, member)| (*id, member.address)).collect()
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
    /// Proposes a command of `class`; its outcome arrives as [`Committed::Entry`] or
    /// [`Committed::ProposalFailed`].
    pub fn propose(&self, proposal: ProposalId, class: ProposalClass, payload: Bytes) {
        self.cast(ActorMessage::Propose(proposal, class, payload));
    }

    /// Requests a linearizable read; its outcome arrives as [`Committed::ReadReady`] or
    /// [`Committed::ReadFailed`].
    pub fn read(&self, read: ReadId) {
        self.cast(ActorMessage::Read(read));
    }

    /// Responds to [`Committed::SnapshotRequested`] with the state as of `index`.
    pub fn store_snapshot(&self, index: LogIndex, payload: Bytes) {
        self.cast(ActorMessage::StoreSnapshot(index, payload));
    }

    /// Reports the hash of the state after `index`; a replica whose hash differs stops.
    pub fn report_state_hash(&self, index: LogIndex, hash: u64) {
        self.cast(ActorMessage::StateHash(index, hash));
    }

    /// Transfers leadership to another voter; returns when this replica does not lead, or when the
    /// transfer was aborted because it timed out or no other voter has responded recently.
    pub async fn transfer_leadership(&self) {
        let (reply, answer) = oneshot::channel();
        self.cast(ActorMessage::TransferLeadership(reply));
        // An error means that the replica has stopped and therefore does not lead.
        let _ = answer.await;
    }

    /// Changes the membership; returns when the change is committed or has failed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ChangeError> {
        let (reply, answer) = oneshot::channel();
        self.cast(ActorMessage::ChangeMembership(change, reply));
        answer.await.unwrap_or(Err(ChangeError::Stopped))
    }

    /// Returns a receiver that observes the status of the replica.
    pub fn status(&self) -> watch::Receiver<ReplicationStatus> {
        self.status.clone()
    }

    /// Stops the replica; the data folder is closed when this returns.
    pub async fn stop(self) {
        let (reply, answer) = oneshot::channel();
        self.cast(ActorMessage::Stop(reply));
        // An error means that the replica has already stopped.
        let _ = answer.await;
    }

    /// Sends a message to the actor. A stopped replica ignores it; its stream of committed items
    /// has ended.
    fn cast(&self, message: ActorMessage) {
        let _ = self.actor.cast(message);
    }
}
