//! Voters and learners of a cluster.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_core::Incarnation;

use crate::identifiers::{LogIndex, ReplicaId};

/// Address and data folder of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Address on which the replica accepts messages.
    pub address: SocketAddr,
    /// Incarnation of the data folder that is bound to the membership; 0 for a learner until it is
    /// promoted.
    pub incarnation: Incarnation,
}

/// Members of a cluster.
///
/// While `outgoing` is set, elections and commits need a majority of both sets. A learner that
/// replaces a voter changes two members in one step, and majorities of the old and the new set
/// alone need not overlap.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote and count for commits.
    pub voters: BTreeMap<ReplicaId, Member>,
    /// Voters of the previous membership, during a joint membership.
    pub outgoing: Option<BTreeMap<ReplicaId, Member>>,
    /// Replicas that receive the log and do not vote.
    pub learners: BTreeMap<ReplicaId, Member>,
}

/// Requested change of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log and does not vote.
    AddLearner {
        /// Number of the new replica; must not be that of a member.
        replica: ReplicaId,
        /// Address on which the new replica accepts messages.
        address: SocketAddr,
    },
    /// Promotes a learner to voter once it holds all entries committed at the time of the request.
    Promote {
        /// Learner to promote.
        replica: ReplicaId,
        /// Failed voter to remove in the same change.
        replaces: Option<ReplicaId>,
    },
    /// Removes a voter.
    RemoveVoter {
        /// Voter to remove.
        replica: ReplicaId,
    },
    /// Removes a learner.
    RemoveLearner {
        /// Learner to remove.
        replica: ReplicaId,
    },
}

impl Membership {
    /// Returns the member `replica` in any role.
    pub fn member(&self, replica: ReplicaId) -> Option<&Member> {
        self.voters
            .get(&replica)
            .or_else(|| self.outgoing.as_ref().and_then(|outgoing| outgoing.get(&replica)))
            .or_else(|| self.learners.get(&replica))
    }

    /// Returns the voter `replica` of the current or the outgoing set.
    pub fn voter(&self, replica: ReplicaId) -> Option<&Member> {
        self.voters
            .get(&replica)
            .or_else(|| self.outgoing.as_ref().and_then(|outgoing| outgoing.get(&replica)))
    }

    /// Returns the voters in force while this is the newest committed membership. Those of a joint
    /// membership are the old ones: a majority of them is needed until the final membership is
    /// committed.
    pub fn voters_in_force(&self) -> &BTreeMap<ReplicaId, Member> {
        self.outgoing.as_ref().unwrap_or(&self.voters)
    }

    /// Returns `true` if `replica` is a voter with the data folder `incarnation`.
    pub fn is_voter(&self, replica: ReplicaId, incarnation: Incarnation) -> bool {
        self.voter(replica).is_some_and(|member| member.incarnation == incarnation)
    }

    /// Returns the voters of both sets and the learners.
    pub fn replicas(&self) -> BTreeSet<ReplicaId> {
        let outgoing = self.outgoing.iter().flat_map(BTreeMap::keys);
        self.voters.keys().chain(outgoing).chain(self.learners.keys()).copied().collect()
    }

    /// Returns `true` if the replicas that satisfy `holds` form a quorum of each set of voters.
    pub fn has_quorum(&self, holds: impl Fn(ReplicaId) -> bool) -> bool {
        let majority = |voters: &BTreeMap<ReplicaId, Member>| {
            voters.keys().filter(|replica| holds(**replica)).count() > voters.len() / 2
        };
        majority(&self.voters) && self.outgoing.as_ref().is_none_or(majority)
    }

    /// Returns the highest index that a quorum of each set of voters has reached.
    pub fn quorum_index(&self, index_of: impl Fn(ReplicaId) -> LogIndex) -> LogIndex {
        let of_set = |voters: &BTreeMap<ReplicaId, Member>| {
            let mut indexes: Vec<LogIndex> =
                voters.keys().map(|replica| index_of(*replica)).collect();
            indexes.sort_unstable();
            let position = indexes.len().saturating_sub(1) / 2;
            indexes.get(position).copied().unwrap_or_default()
        };
        let incoming = of_set(&self.voters);
        self.outgoing.as_ref().map_or(incoming, |outgoing| incoming.min(of_set(outgoing)))
    }
}
