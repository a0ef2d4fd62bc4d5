//! Detection of diverged replicated state by comparing hashes between replicas.

use std::collections::BTreeMap;

use yuccatack_core::Incarnation;

use super::Replica;
use crate::error::ReplicaFailure;
use crate::identifiers::{LogIndex, ReplicaId};
use crate::message::MessageBody;

/// Number of the newest entries whose hashes are kept for replicas that report theirs later.
const KEPT_HASH_COUNT: usize = 64;

/// Newest reported hashes by entry and replica.
#[derive(Debug, Default)]
pub(super) struct StateHashes {
    reported: BTreeMap<LogIndex, BTreeMap<ReplicaId, u64>>,
}

impl StateHashes {
    fn insert(&mut self, index: LogIndex, replica: ReplicaId, hash: u64) {
        self.reported.entry(index).or_default().insert(replica, hash);
        while self.reported.len() > KEPT_HASH_COUNT {
            self.reported.pop_first();
        }
    }

    /// Returns the own hash, the first replica with a different hash, that hash, and the number of
    /// replicas with different hashes.
    fn first_difference(
        &self,
        index: LogIndex,
        own: ReplicaId,
    ) -> Option<(u64, ReplicaId, u64, usize)> {
        let hashes = self.reported.get(&index)?;
        let own_hash = *hashes.get(&own)?;
        let differing: Vec<_> = hashes.iter().filter(|(_, hash)| **hash != own_hash).collect();
        let (replica, hash) = differing.first()?;
        Some((own_hash, **replica, **hash, differing.len()))
    }

    fn hash_of(&self, index: LogIndex, replica: ReplicaId) -> Option<u64> {
        self.reported.get(&index)?.get(&replica).copied()
    }
}

impl Replica {
    pub(super) fn on_own_state_hash(&mut self, index: LogIndex, hash: u64) {
        self.hashes.insert(index, self.settings.replica, hash);
        let members = self.membership().replicas();
        let receivers = members.into_iter().filter(|replica| {
            *replica != self.settings.replica && (self.is_leader() || self.leader == Some(*replica))
        });
        for replica in receivers.collect::<Vec<_>>() {
            let incarnation = self
                .membership()
                .member(replica)
                .map_or(Incarnation::default(), |member| member.incarnation);
            self.send_now(replica, incarnation, MessageBody::StateHash { index, hash });
        }
        self.compare_hashes(index);
    }

    pub(super) fn on_peer_state_hash(&mut self, from: ReplicaId, index: LogIndex, hash: u64) {
        if self.membership().member(from).is_none() {
            return;
        }
        self.hashes.insert(index, from, hash);
        self.compare_hashes(index);
    }

    /// Stops a follower whose hash differs from that of its leader, and a leader if the replicas
    /// with a different hash are more than half the number of voters.
    fn compare_hashes(&mut self, index: LogIndex) {
        let own_replica = self.settings.replica;
        let Some((own, replica, other, count)) = self.hashes.first_difference(index, own_replica)
        else {
            return;
        };
        if self.is_leader() {
            if count > self.membership().voters.len() / 2 {
                self.fail_with(ReplicaFailure::StateDiverged { index, own, other, replica });
            }
            return;
        }
        let Some(leader) = self.leader else { return };
        let Some(other) = self.hashes.hash_of(index, leader) else { return };
        if other != own {
            let replica = leader;
            self.fail_with(ReplicaFailure::StateDiverged { index, own, other, replica });
        }
    }
}
