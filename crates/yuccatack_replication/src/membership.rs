//! Who votes and who learns.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_core::Incarnation;

use crate::identifiers::{LogIndex, ReplicaId};

/// One replica as the members know it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Where the replica answers.
    pub address: SocketAddr,
    /// The data folder that the membership was given to; 0 for a learner not yet heard of.
    pub incarnation: Incarnation,
}

/// The members of a cluster.
///
/// While `outgoing` is set, elections and commits need a majority of both sets. A learner that
/// replaces a voter changes two members in one step, and majorities of the old and the new set
/// alone need not overlap.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// The replicas that vote.
    pub voters: BTreeMap<ReplicaId, Member>,
    /// The voters of the membership that is being left.
    pub outgoing: Option<BTreeMap<ReplicaId, Member>>,
    /// The replicas that receive the log and do not vote.
    pub learners: BTreeMap<ReplicaId, Member>,
}

/// A requested change of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Lets a new replica receive the log.
    AddLearner {
        /// The new replica; never the number of a present member.
        replica: ReplicaId,
        /// Where it answers.
        address: SocketAddr,
    },
    /// Turns a learner into a voter once it holds what is committed now.
    Promote {
        /// The learner.
        replica: ReplicaId,
        /// The failed voter that leaves in the same step.
        replaces: Option<ReplicaId>,
    },
    /// Removes a voter.
    RemoveVoter {
        /// The voter.
        replica: ReplicaId,
    },
    /// Removes a learner.
    RemoveLearner {
        /// The learner.
        replica: ReplicaId,
    },
}

impl Membership {
    /// The member `replica` in whichever role it has.
    pub fn member(&self, replica: ReplicaId) -> Option<&Member> {
        self.voters
            .get(&replica)
            .or_else(|| self.outgoing.as_ref().and_then(|outgoing| outgoing.get(&replica)))
            .or_else(|| self.learners.get(&replica))
    }

    /// The voter `replica` of either set.
    pub fn voter(&self, replica: ReplicaId) -> Option<&Member> {
        self.voters
            .get(&replica)
            .or_else(|| self.outgoing.as_ref().and_then(|outgoing| outgoing.get(&replica)))
    }

    /// Whether the data folder `incarnation` of `replica` may vote.
    pub fn is_voter(&self, replica: ReplicaId, incarnation: Incarnation) -> bool {
        self.voter(replica).is_some_and(|member| member.incarnation == incarnation)
    }

    /// All members.
    pub fn replicas(&self) -> BTreeSet<ReplicaId> {
        let outgoing = self.outgoing.iter().flat_map(BTreeMap::keys);
        self.voters.keys().chain(outgoing).chain(self.learners.keys()).copied().collect()
    }

    /// Whether the replicas that satisfy `holds` are a quorum.
    pub fn has_quorum(&self, holds: impl Fn(ReplicaId) -> bool) -> bool {
        let majority = |voters: &BTreeMap<ReplicaId, Member>| {
            voters.keys().filter(|replica| holds(**replica)).count() > voters.len() / 2
        };
        majority(&self.voters) && self.outgoing.as_ref().is_none_or(majority)
    }

    /// The largest index that a quorum has reached.
    pub fn quorum_index(&self, reached: impl Fn(ReplicaId) -> LogIndex) -> LogIndex {
        let of_set = |voters: &BTreeMap<ReplicaId, Member>| {
            let mut indexes: Vec<LogIndex> =
                voters.keys().map(|replica| reached(*replica)).collect();
            indexes.sort_unstable();
            let position = indexes.len().saturating_sub(1) / 2;
            indexes.get(position).copied().unwrap_or_default()
        };
        let incoming = of_set(&self.voters);
        self.outgoing.as_ref().map_or(incoming, |outgoing| incoming.min(of_set(outgoing)))
    }
}
