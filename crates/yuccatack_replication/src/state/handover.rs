//! Handover of the leadership by a leader whose disk stays behind.

use yuccatack_core::TimestampMs;

use super::{Replica, Role};
use crate::identifiers::LogIndex;

/// Committed entry that is not on the leader's own disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnLag {
    index: LogIndex,
    since: TimestampMs,
}

impl Replica {
    /// Hands the leadership over if entries that a quorum holds are not on the own disk for longer
    /// than an election timeout. They would pile up in memory.
    pub(super) fn hand_over_if_disk_lags(&mut self) {
        let (commit, synced, now) = (self.commit, self.synced_index, self.now);
        let timeout = self.settings.election_timeout;
        let Role::Leader(leader) = &mut self.role else { return };
        if commit <= synced {
            leader.own_lag = None;
            return;
        }
        let lag = match leader.own_lag {
            Some(lag) if synced < lag.index => lag,
            _ => *leader.own_lag.insert(OwnLag { index: commit, since: now }),
        };
        if now.since(lag.since) <= timeout || leader.transfer.is_some() {
            return;
        }
        // A successor needs the committed entries and space for its own.
        let has_successor = leader
            .progress
            .values()
            .any(|progress| progress.matched >= commit && !progress.disk_full);
        if !has_successor {
            return;
        }
        log::warn!(
            event = "leadership_handed_over", replica = self.settings.replica.get(),
            term = self.hard_state.term.get(), committed = commit.get(), synced = synced.get(),
            disk_full = self.disk_full;
            "the disk of this leader does not take entries that a quorum holds; handing the \
             leadership over"
        );
        // A transfer that fails is not repeated at once: proposals are refused while one goes on.
        leader.own_lag = Some(OwnLag { index: commit, since: now });
        self.on_transfer_request();
    }
}
