//! Comparing the replicated state between replicas.

use std::collections::BTreeMap;

use yuccatack_core::Incarnation;

use super::Replica;
use crate::error::ReplicaFailure;
use crate::identifiers::{LogIndex, ReplicaId};
use crate::message::MessageBody;

/// How many of the newest hashes are kept for replicas that report theirs later.
const KEPT_HASH_COUNT: usize = 64;

/// The newest hashes by entry and replica.
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

    /// The first replica, other than `own`, whose hash differs from that of `own`, with the number
    /// of such replicas.
    fn difference(&self, index: LogIndex, own: ReplicaId) -> Option<(u64, ReplicaId, u64, usize)> {
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

    /// A follower that differs from its leader stops; a leader stops when a majority of voters
    /// differs from it.
    fn compare_hashes(&mut self, index: LogIndex) {
        let own_replica = self.settings.replica;
        let Some((own, replica, other, count)) = self.hashes.difference(index, own_replica) else {
            return;
        };
        if self.is_leader() {
            if count > self.membership().voters.len() / 2 {
                self.stop_with(ReplicaFailure::StateDiverged { index, own, other, replica });
            }
            return;
        }
        let Some(leader) = self.leader else { return };
        let Some(other) = self.hashes.hash_of(index, leader) else { return };
        if other != own {
            let replica = leader;
            self.stop_with(ReplicaFailure::StateDiverged { index, own, other, replica });
        }
    }
}
