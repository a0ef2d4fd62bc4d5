//! What a replica shows of itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{Replica, Role};
use crate::identifiers::{LogIndex, ReplicaId};
use crate::membership::Membership;
use crate::persistence::HardState;

/// The role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleView {
    /// Belongs to no cluster yet.
    Unformed,
    /// Receives the log and does not vote.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// A replica's state at one moment.
#[derive(Clone, Debug)]
pub struct ReplicaView<'a> {
    /// Its role.
    pub role: RoleView,
    /// Term, vote and cluster.
    pub hard_state: HardState,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Where the leader answers, if known.
    pub leader_address: Option<SocketAddr>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry that was delivered.
    pub delivered: LogIndex,
    /// The last entry in memory.
    pub last: LogIndex,
    /// The members.
    pub membership: &'a Membership,
    /// Whether a leader is handing its lead over.
    pub handing_over: bool,
    /// What the other members hold, on a leader.
    pub matched: BTreeMap<ReplicaId, LogIndex>,
    /// The voters that have not answered for several election timeouts, on a leader.
    pub silent_voters: BTreeSet<ReplicaId>,
}

/// A voter is silent after this many election timeouts without an answer. It must exceed a restart
/// of the process, after which the voter goes on by itself.
const SILENCE_FACTOR: u64 = 5;

impl Replica {
    /// Shows the replica's state.
    pub fn view(&self) -> ReplicaView<'_> {
        let matched = match &self.role {
            Role::Leader(leader) => {
                leader.progress.iter().map(|(replica, held)| (*replica, held.matched)).collect()
            }
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
            handing_over: matches!(&self.role, Role::Leader(leader) if leader.handover.is_some()),
            matched,
            silent_voters: self.silent_voters(),
        }
    }

    fn silent_voters(&self) -> BTreeSet<ReplicaId> {
        let Role::Leader(leader) = &self.role else { return BTreeSet::new() };
        let limit_ms = SILENCE_FACTOR * self.settings.election_timeout.get();
        let is_silent = |replica: &&ReplicaId| {
            leader
                .progress
                .get(replica)
                .is_some_and(|progress| self.now.since(progress.last_response).get() > limit_ms)
        };
        self.membership().voters.keys().filter(is_silent).copied().collect()
    }

    fn role_view(&self) -> RoleView {
        match &self.role {
            Role::Leader(_) => RoleView::Leader,
            Role::PreCandidate(_) | Role::Candidate(_) => RoleView::Candidate,
            Role::Follower if self.forming.is_some() => RoleView::Unformed,
            Role::Follower if self.is_voter() => RoleView::Follower,
            Role::Follower => RoleView::Learner,
        }
    }
}
