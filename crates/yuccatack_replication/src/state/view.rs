//! Read-only view of a replica.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{Replica, Role};
use crate::identifiers::{LogIndex, ReplicaId};
use crate::membership::{Member, Membership};
use crate::persistence::HardState;

/// Role of a replica, as reported to its user.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleView {
    /// Does not belong to a cluster yet.
    Unformed,
    /// Receives the log and does not vote.
    Learner,
    /// Votes, and follows a leader or waits for one.
    Follower,
    /// Requests pre-votes or votes.
    Candidate,
    /// Leads the current term.
    Leader,
}

/// State of a replica at one point in time.
#[derive(Clone, Debug)]
pub struct ReplicaView<'a> {
    /// Role in the current term.
    pub role: RoleView,
    /// Term, vote and cluster, possibly not on disk yet.
    pub hard_state: HardState,
    /// Leader of the current term, if known.
    pub leader: Option<ReplicaId>,
    /// Address of the leader, if known.
    pub leader_address: Option<SocketAddr>,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
    /// Index of the last entry that was delivered.
    pub delivered: LogIndex,
    /// Index of the last entry in the log, synced or not.
    pub last: LogIndex,
    /// Membership in effect, committed or not.
    pub membership: &'a Membership,
    /// Voters of the newest membership known to be committed, the old ones if it is joint. Empty
    /// while a replica that has no snapshot does not know what is committed.
    pub voters_in_force: &'a BTreeMap<ReplicaId, Member>,
    /// `true` while the disk takes no more bytes.
    pub disk_full: bool,
    /// Size of the entries in the log file, those included that later ones replace.
    pub log_bytes: u64,
    /// `true` while a leader is transferring its leadership.
    pub transferring_leadership: bool,
    /// Last index that each other member is known to hold; empty unless this replica leads.
    pub matched: BTreeMap<ReplicaId, LogIndex>,
    /// Voters that have not responded for several election timeouts; empty unless this replica
    /// leads.
    pub silent_voters: BTreeSet<ReplicaId>,
    /// Learners that have not responded within an election timeout; empty unless this replica
    /// leads.
    pub silent_learners: BTreeSet<ReplicaId>,
}

/// Number of election timeouts without a response after which a voter is reported as silent. This
/// must exceed the duration of a process restart, after which the voter resumes by itself.
const SILENCE_TIMEOUT_FACTOR: u64 = 5;

impl Replica {
    /// Returns the current state of the replica.
    pub fn view(&self) -> ReplicaView<'_> {
        let matched = match &self.role {
            Role::Leader(leader) => leader
                .progress
                .iter()
                .map(|(replica, progress)| (*replica, progress.matched))
                .collect(),
            _ => BTreeMap::new(),
        };
        ReplicaView {
            role: self.role_view(),
            hard_state: self.hard_state,
            leader: self.leader,
            leader_address: self.leader_address(),
            commit: self.commit,
            delivered: self.delivered,
            last: self.log.last().index,
            membership: self.membership(),
            voters_in_force: self.membership_at(self.commit).voters_in_force(),
            disk_full: self.disk_full,
            log_bytes: self.stored_log_bytes,
            transferring_leadership: matches!(
                &self.role, Role::Leader(leader) if leader.transfer.is_some()
            ),
            matched,
            silent_voters: self.silent_voters(),
            silent_learners: self.silent_learners(),
        }
    }

    fn silent_voters(&self) -> BTreeSet<ReplicaId> {
        let limit_ms = SILENCE_TIMEOUT_FACTOR * self.settings.election_timeout.get();
        self.silent_members(&self.membership().voters, limit_ms)
    }

    fn silent_learners(&self) -> BTreeSet<ReplicaId> {
        self.silent_members(&self.membership().learners, self.settings.election_timeout.get())
    }

    fn silent_members(
        &self,
        members: &BTreeMap<ReplicaId, Member>,
        limit_ms: u64,
    ) -> BTreeSet<ReplicaId> {
        let Role::Leader(leader) = &self.role else { return BTreeSet::new() };
        let is_silent = |replica: &&ReplicaId| {
            leader
                .progress
                .get(replica)
                .is_some_and(|progress| self.now.since(progress.last_response).get() > limit_ms)
        };
        members.keys().filter(is_silent).copied().collect()
    }

    fn role_view(&self) -> RoleView {
        match &self.role {
            Role::Leader(_) => RoleView::Leader,
            Role::PreCandidate(_) | Role::Candidate(_) => RoleView::Candidate,
            Role::Follower if self.formation.is_some() => RoleView::Unformed,
            Role::Follower if self.is_voter() => RoleView::Follower,
            Role::Follower => RoleView::Learner,
        }
    }
}
