//! Follower: handles entries and heartbeats of the leader and advances the commit index.

use yuccatack_core::Incarnation;

use super::{Replica, Role};
use crate::identifiers::{LogIndex, ReplicaId};
use crate::message::{AppendOutcome, MessageBody};
use crate::persistence::PersistOperation;
use crate::replicated_log::{EntryPayload, LogEntry, LogPosition};

impl Replica {
    /// Accepts `leader` as the leader of the current term.
    pub(super) fn follow(&mut self, leader: ReplicaId) {
        assert!(!self.is_leader(), "two leaders in term {}", self.hard_state.term);
        let known = self.leader == Some(leader) && matches!(self.role, Role::Follower);
        if known {
            self.reset_election_deadline();
        } else {
            self.discard_incoming_snapshot();
            self.become_follower(self.hard_state.term, Some(leader));
        }
        self.last_leader_contact = Some(self.now);
    }

    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        incarnation: Incarnation,
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit: LogIndex,
    ) {
        if let Some(outcome) = self.reject(previous) {
            let body = MessageBody::AppendResponse(outcome);
            return self.send_after_hard_state(from, incarnation, body);
        }
        let matched = entries.last().map_or(previous.index, |entry| entry.index);
        self.append_from_leader(entries);
        self.advance_commit_to(commit.min(matched));
        let body = MessageBody::AppendResponse(AppendOutcome::Accepted { matched });
        self.send_after_sync(from, incarnation, body);
    }

    fn reject(&self, previous: LogPosition) -> Option<AppendOutcome> {
        // All entries up to the commit index match the log of every later leader.
        if previous.index <= self.commit || self.log.term_at(previous.index) == Some(previous.term)
        {
            return None;
        }
        let hint = self.log.last_with_term_up_to(previous.index.previous(), previous.term);
        Some(AppendOutcome::Rejected { previous: previous.index, hint })
    }

    fn append_from_leader(&mut self, entries: Vec<LogEntry>) {
        let mut added = Vec::new();
        let mut memberships_changed = false;
        for entry in entries {
            if added.is_empty() {
                if entry.index <= self.commit {
                    self.assert_committed_agrees(&entry);
                    continue;
                }
                if self.log.term_at(entry.index) == Some(entry.term) {
                    continue;
                }
                memberships_changed |= self.truncate_conflict(entry.index);
            }
            memberships_changed |= matches!(entry.payload, EntryPayload::Membership(_));
            self.log.push(entry.clone());
            self.stored_log_bytes += entry.size_bytes() as u64;
            added.push(entry);
        }
        if memberships_changed {
            self.reload_memberships();
        }
        if !added.is_empty() {
            self.operations.push(PersistOperation::Append(added));
        }
    }

    fn assert_committed_agrees(&self, entry: &LogEntry) {
        let agrees = self.log.term_at(entry.index).is_none_or(|term| term == entry.term);
        assert!(agrees, "the leader's entry {} differs from the committed one", entry.index);
    }

    /// Removes the entries from `index` on; returns `true` if that may have removed a membership.
    fn truncate_conflict(&mut self, index: LogIndex) -> bool {
        let last_kept = index.previous();
        if last_kept >= self.log.last().index {
            return false;
        }
        assert!(last_kept >= self.commit, "truncation after {last_kept} removes committed entries");
        self.log.truncate_after(last_kept);
        self.synced_index = self.synced_index.min(last_kept);
        for (_, covered) in &mut self.unsynced {
            *covered = last_kept.min(*covered);
        }
        self.membership_index() > last_kept
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: ReplicaId,
        incarnation: Incarnation,
        commit: LogIndex,
        round: u64,
    ) {
        // The leader never sends a commit index above the index that this replica has acknowledged
        // in the leader's term.
        if commit <= self.log.last().index {
            self.advance_commit_to(commit);
        }
        let body = MessageBody::HeartbeatResponse { round, disk_full: self.disk_full };
        self.send_after_hard_state(from, incarnation, body);
    }

    pub(super) fn advance_commit_to(&mut self, commit: LogIndex) {
        if commit <= self.commit {
            return;
        }
        assert!(commit <= self.log.last().index, "commit index {commit} is beyond the log");
        self.commit = commit;
    }
}
