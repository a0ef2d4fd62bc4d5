//! Space on disk: byte limits, and refusal of proposals that no quorum can store.

use super::{Replica, Role};
use crate::committed::ProposalClass;
use crate::identifiers::{LogIndex, ReplicaId};

/// Byte limits that follow from the capacity of the disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct ByteLimits {
    /// Size of the entries since the last snapshot at which the next one is requested.
    pub log_bytes: u64,
    /// Size of the entries before a snapshot that stay in the log. Their copy during a compaction fits
    /// into the reserve of a full disk.
    pub kept_bytes: u64,
    /// Size of uncommitted entries above which proposals are refused. They are held in memory.
    pub uncommitted_bytes: u64,
    /// Size of all files, with their copies during a compaction, above which growth is refused. The
    /// rest of the disk is left for essential proposals and the reserve.
    pub growth_bytes: u64,
}

impl ByteLimits {
    pub fn new(disk_capacity_bytes: u64) -> Self {
        Self {
            log_bytes: disk_capacity_bytes / 16,
            kept_bytes: disk_capacity_bytes / 64,
            uncommitted_bytes: disk_capacity_bytes / 16,
            growth_bytes: disk_capacity_bytes / 4 * 3,
        }
    }
}

/// Reason for refusing a proposal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SpaceShortage {
    /// The disks of so many voters are full that no quorum can store an entry.
    DisksFull,
    /// The own files would take too much of the disk.
    NearlyFull,
    /// Too many bytes are not committed yet.
    Backlog,
}

impl Replica {
    pub(super) fn on_disk_full(&mut self, full: bool) {
        self.disk_full = full;
    }

    /// Returns `true` if the entries since the last snapshot take so much space that the next one is
    /// due. A large state is written less often, since each snapshot writes all of it.
    pub(super) fn log_bytes_need_snapshot(&self) -> bool {
        let snapshot = self.snapshot.as_ref();
        let snapshot_index = snapshot.map_or(LogIndex::default(), |snapshot| snapshot.last.index);
        let snapshot_bytes = snapshot.map_or(0, |snapshot| snapshot.payload.len() as u64);
        let due_bytes = self.byte_limits.log_bytes.max(snapshot_bytes / 2);
        self.log.bytes_between(snapshot_index, self.delivered) >= due_bytes
    }

    /// Returns the last index that a compaction after a snapshot at `index` removes.
    pub(super) fn compaction_index(&self, index: LogIndex, kept_entry_count: u64) -> LogIndex {
        let mut compacted = LogIndex::new(index.get().saturating_sub(kept_entry_count));
        compacted = compacted.max(self.log.base().index);
        while compacted < index
            && self.log.bytes_between(compacted, index) > self.byte_limits.kept_bytes
        {
            compacted = compacted.next();
        }
        compacted
    }

    /// Returns the reason for which a proposal must be refused, if any.
    pub(super) fn space_shortage(
        &self,
        class: ProposalClass,
        payload_bytes: u64,
    ) -> Option<SpaceShortage> {
        let uncommitted_bytes = self.log.bytes_between(self.commit, self.log.last().index);
        let disks_full = !self.quorum_has_space();
        match class {
            ProposalClass::Growth if disks_full => Some(SpaceShortage::DisksFull),
            ProposalClass::Growth
                if self.files_bytes() + payload_bytes > self.byte_limits.growth_bytes =>
            {
                Some(SpaceShortage::NearlyFull)
            }
            ProposalClass::Growth if uncommitted_bytes > self.byte_limits.uncommitted_bytes => {
                Some(SpaceShortage::Backlog)
            }
            // The reserve of a full disk may still take the entry, unless it already waits for one.
            ProposalClass::Essential if disks_full && uncommitted_bytes > 0 => {
                Some(SpaceShortage::DisksFull)
            }
            ProposalClass::Essential
                if uncommitted_bytes > 2 * self.byte_limits.uncommitted_bytes =>
            {
                Some(SpaceShortage::Backlog)
            }
            ProposalClass::Growth | ProposalClass::Essential => None,
        }
    }

    /// Size of the files after the next snapshot and while the compacted log is written beside the
    /// old one.
    fn files_bytes(&self) -> u64 {
        let snapshot = self.snapshot.as_ref();
        let snapshot_index = snapshot.map_or(LogIndex::default(), |snapshot| snapshot.last.index);
        let snapshot_bytes = snapshot.map_or(0, |snapshot| snapshot.payload.len() as u64);
        let added_bytes = self.log.bytes_between(snapshot_index, self.log.last().index);
        self.stored_log_bytes + self.byte_limits.kept_bytes + 2 * snapshot_bytes + added_bytes
    }

    fn quorum_has_space(&self) -> bool {
        let Role::Leader(leader) = &self.role else { return true };
        let own = self.settings.replica;
        self.membership().has_quorum(|replica: ReplicaId| {
            if replica == own {
                return !self.disk_full;
            }
            leader.progress.get(&replica).is_some_and(|progress| !progress.disk_full)
        })
    }
}
