//! Space on disk: byte limits, and refusal of proposals that no quorum can store.

use super::{Replica, Role};
use crate::committed::ProposalClass;
use crate::identifiers::{LogIndex, ReplicaId};

/// Largest log between two snapshots, on a disk of any size. The log is also held in memory.
const MAX_LOG_BYTES: u64 = 32 * 1024 * 1024;

/// Largest size of the entries kept before a snapshot. With their encoding they fit into the reserve,
/// whose size also follows from the capacity of the disk.
const MAX_KEPT_BYTES: u64 = 3 * 1024 * 1024;

/// Largest size of uncommitted entries, of which the leader and each member hold a copy in memory.
const MAX_UNCOMMITTED_BYTES: u64 = 16 * 1024 * 1024;

/// Number of entries since the last snapshot after which another one is due while the disk is nearly
/// full. Fewer would let a large state be written again for each entry.
const NEARLY_FULL_ENTRY_COUNT: u64 = 32;

/// Byte limits that follow from the capacity of the disk. The disk holds two snapshots, the log and
/// its copy during a compaction, so the log may take a small part of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ByteLimits {
    /// Size of the entries since the last snapshot at which the next one is requested.
    pub log_bytes: u64,
    /// Size of the entries before a snapshot that stay in the log.
    pub kept_bytes: u64,
    /// Size of uncommitted entries above which proposals are refused.
    pub uncommitted_bytes: u64,
    /// Size of all files, with their copies during a compaction, above which growth is refused. The
    /// rest of the disk is left for essential proposals and the reserve.
    pub growth_bytes: u64,
    /// Size of the essential entries that a leader accepts while the disks of a quorum are full. They
    /// are written into the reserves, which must keep space for votes.
    pub essential_bytes: u64,
}

impl ByteLimits {
    pub fn new(disk_capacity_bytes: u64) -> Self {
        Self {
            log_bytes: (disk_capacity_bytes / 16).min(MAX_LOG_BYTES),
            kept_bytes: (disk_capacity_bytes / 86).min(MAX_KEPT_BYTES),
            uncommitted_bytes: (disk_capacity_bytes / 16).min(MAX_UNCOMMITTED_BYTES),
            growth_bytes: disk_capacity_bytes / 4 * 3,
            essential_bytes: disk_capacity_bytes / 256,
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
        let since = self.snapshot_index();
        let due_bytes = self.byte_limits.log_bytes.max(self.snapshot_bytes() / 2);
        // Growth is refused by then, so that the log hardly grows, and a snapshot after removals may
        // be smaller.
        let nearly_full = self.files_bytes() > self.byte_limits.growth_bytes
            && self.delivered.get().saturating_sub(since.get()) >= NEARLY_FULL_ENTRY_COUNT;
        nearly_full || self.log.bytes_between(since, self.delivered) >= due_bytes
    }

    fn snapshot_bytes(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.payload.len() as u64)
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
            ProposalClass::Essential
                if disks_full && (uncommitted_bytes > 0 || self.essential_space_is_used()) =>
            {
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

    fn essential_space_is_used(&self) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        leader.full_from_log_bytes.is_some_and(|from| {
            self.stored_log_bytes.saturating_sub(from) > self.byte_limits.essential_bytes
        })
    }

    /// Records when the disks of a quorum become full, or have space again.
    pub(super) fn note_full_disks(&mut self) {
        let (has_space, log_bytes) = (self.quorum_has_space(), self.stored_log_bytes);
        let Role::Leader(leader) = &mut self.role else { return };
        if has_space {
            leader.full_from_log_bytes = None;
        } else {
            leader.full_from_log_bytes.get_or_insert(log_bytes);
        }
    }

    /// Size of the files after the next snapshot and while the compacted log is written beside the
    /// old one.
    fn files_bytes(&self) -> u64 {
        let added_bytes = self.log.bytes_between(self.snapshot_index(), self.log.last().index);
        self.stored_log_bytes
            + self.byte_limits.kept_bytes
            + 2 * self.snapshot_bytes()
            + added_bytes
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
