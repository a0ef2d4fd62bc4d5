//! Linearizable reads: a read is served once a quorum has confirmed the leadership after the read
//! was requested.

use std::collections::VecDeque;

use yuccatack_core::Incarnation;

use super::{Replica, Role};
use crate::committed::{Committed, ReadFailure};
use crate::identifiers::{LogIndex, ReadId, ReplicaId};

/// Reads that wait for a confirmation round; all waiting reads share the next one.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    round: u64,
    waiting: Vec<ReadId>,
    in_round: Option<(LogIndex, Vec<ReadId>)>,
    confirmed: VecDeque<(LogIndex, Vec<ReadId>)>,
}

impl ReadQueue {
    /// Returns the number of the newest confirmation round.
    pub fn round(&self) -> u64 {
        self.round
    }

    pub fn push(&mut self, read: ReadId) {
        self.waiting.push(read);
    }

    /// Starts a round for all waiting reads, unless one is in progress.
    fn start(&mut self, commit: LogIndex) -> bool {
        if self.waiting.is_empty() || self.in_round.is_some() {
            return false;
        }
        self.round += 1;
        self.in_round = Some((commit, std::mem::take(&mut self.waiting)));
        true
    }

    fn confirm(&mut self) {
        self.confirmed.extend(self.in_round.take());
    }

    /// Removes and returns the confirmed reads whose entries have all been delivered.
    pub fn take_ready(&mut self, delivered: LogIndex) -> Vec<ReadId> {
        let mut ready = Vec::new();
        while self.confirmed.front().is_some_and(|(index, _)| *index <= delivered) {
            ready.extend(self.confirmed.pop_front().into_iter().flat_map(|(_, reads)| reads));
        }
        ready
    }

    pub fn into_pending(self) -> Vec<ReadId> {
        let confirmed = self.confirmed.into_iter().flat_map(|(_, reads)| reads);
        let in_round = self.in_round.into_iter().flat_map(|(_, reads)| reads);
        confirmed.chain(in_round).chain(self.waiting).collect()
    }
}

impl Replica {
    pub(super) fn on_read(&mut self, read: ReadId) {
        match &mut self.role {
            Role::Leader(leader) => leader.reads.push(read),
            _ => self.fail_read(read),
        }
    }

    pub(super) fn fail_read(&mut self, read: ReadId) {
        let leader_address = self.leader_address();
        let failure = ReadFailure::NotLeader { leader_address };
        self.outputs.committed.push(Committed::ReadFailed { read, failure });
    }

    pub(super) fn start_read_round(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        // Until the first entry of its own term is committed, a leader may not know the newest
        // commit index.
        if self.commit < leader.first_index || !leader.reads.start(self.commit) {
            return;
        }
        self.send_heartbeats();
        self.confirm_reads();
        self.deliver();
    }

    pub(super) fn on_heartbeat_response(
        &mut self,
        from: ReplicaId,
        incarnation: Incarnation,
        round: u64,
        disk_full: bool,
    ) {
        let now = self.now;
        let timeout_ms = 2 * self.settings.heartbeat.get();
        let Some(progress) = self.progress_of_responder(from, incarnation) else { return };
        progress.round = progress.round.max(round);
        progress.disk_full = disk_full;
        progress.resend_if_stalled(now, timeout_ms);
        self.confirm_reads();
    }

    fn confirm_reads(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let own = self.settings.replica;
        let round = leader.reads.round();
        let confirmed = |replica: ReplicaId| {
            replica == own
                || leader.progress.get(&replica).is_some_and(|progress| progress.round >= round)
        };
        if !self.membership().has_quorum(confirmed) {
            return;
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.reads.confirm();
        }
    }
}
