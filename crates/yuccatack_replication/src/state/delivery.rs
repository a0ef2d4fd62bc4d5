//! Delivery of committed entries to the user of the log, in order.

use super::{Replica, Role};
use crate::committed::{Committed, Leadership};
use crate::identifiers::{LogIndex, ProposalId};
use crate::replicated_log::EntryPayload;

impl Replica {
    /// Delivers the committed entries. A quorum holds them, so they need not be on the own disk yet.
    pub(super) fn deliver(&mut self) {
        self.deliver_snapshot();
        while self.delivered < self.commit {
            if !self.deliver_entry(self.delivered.next()) {
                break;
            }
        }
        self.announce_leadership();
        self.complete_reads();
        self.request_snapshot();
    }

    fn deliver_snapshot(&mut self) {
        let Some(snapshot) = &self.snapshot else { return };
        let index = snapshot.last.index;
        if index > self.delivered && index <= self.synced_index {
            self.delivered = index;
            let payload = snapshot.payload.clone();
            self.outputs.committed.push(Committed::Snapshot { index, payload });
        }
    }

    fn deliver_entry(&mut self, index: LogIndex) -> bool {
        // Entries covered by a snapshot that is still being synced are no longer in the log.
        let Some(entry) = self.log.entry(index) else { return false };
        let term = entry.term;
        let payload = match &entry.payload {
            EntryPayload::Command(payload) => Some(payload.clone()),
            EntryPayload::Empty | EntryPayload::Membership(_) => None,
        };
        if let Some(payload) = payload {
            let proposal = self.take_proposal(index);
            self.outputs.committed.push(Committed::Entry { index, term, proposal, payload });
        }
        self.delivered = index;
        true
    }

    fn take_proposal(&mut self, index: LogIndex) -> Option<ProposalId> {
        match &mut self.role {
            Role::Leader(leader) => leader.proposals.remove(&index),
            _ => None,
        }
    }

    fn announce_leadership(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.announced || self.delivered < leader.first_index {
            return;
        }
        leader.announced = true;
        let term = self.hard_state.term;
        self.outputs.committed.push(Committed::Leadership(Leadership::Leader { term }));
    }

    fn complete_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for read in leader.reads.take_ready(self.delivered) {
            self.outputs.committed.push(Committed::ReadReady { read });
        }
    }

    fn request_snapshot(&mut self) {
        let behind = self.delivered.get().saturating_sub(self.snapshot_index().get());
        let is_due = behind >= self.settings.snapshot_entry_count || self.log_bytes_need_snapshot();
        if self.snapshot_requested_at.is_none() && is_due {
            self.snapshot_requested_at = Some(self.delivered);
            self.outputs.committed.push(Committed::SnapshotRequested { index: self.delivered });
        }
    }
}
