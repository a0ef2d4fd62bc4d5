//! Leader: appends proposals, replicates them and advances the commit index.

use std::collections::BTreeMap;

use bytes::Bytes;
use yuccatack_core::{Incarnation, TimestampMs};

use super::handover::OwnLag;
use super::membership_change::ActiveChange;
use super::progress::{
    Progress, ReplicationMode, SnapshotTransfer, WINDOW_BYTES, WINDOW_ENTRY_COUNT,
};
use super::reads::ReadQueue;
use super::space::SpaceShortage;
use super::{Replica, Role};
use crate::committed::{Committed, ProposalClass, ProposalFailure};
use crate::error::ChangeError;
use crate::identifiers::{LogIndex, ProposalId, ReplicaId};
use crate::message::{AppendOutcome, MessageBody};
use crate::persistence::{PersistOperation, StateSnapshot};
use crate::replicated_log::{EntryPayload, Log, LogEntry, LogPosition};

/// Leadership transfer in progress.
#[derive(Debug)]
pub(super) struct LeadershipTransfer {
    pub target: ReplicaId,
    deadline: TimestampMs,
    requested: bool,
}

/// State that only a leader has.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub next_heartbeat: TimestampMs,
    pub progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of the leader's own term; reads wait until it is committed.
    pub first_index: LogIndex,
    /// `true` once the user of the log has been notified of the leadership.
    pub announced: bool,
    pub proposals: BTreeMap<LogIndex, ProposalId>,
    pub reads: ReadQueue,
    pub change: Option<ActiveChange>,
    pub transfer: Option<LeadershipTransfer>,
    pub own_lag: Option<OwnLag>,
    /// Size of the log file when the disks of a quorum became full; `None` while they have space.
    pub full_from_log_bytes: Option<u64>,
    /// Reason for which the last proposal was refused, if it was.
    shortage: Option<SpaceShortage>,
}

impl LeaderState {
    pub fn new(now: TimestampMs, first_index: LogIndex) -> Self {
        Self {
            next_heartbeat: now,
            progress: BTreeMap::new(),
            first_index,
            announced: false,
            proposals: BTreeMap::new(),
            reads: ReadQueue::default(),
            change: None,
            transfer: None,
            own_lag: None,
            full_from_log_bytes: None,
            shortage: None,
        }
    }
}

impl Replica {
    pub(super) fn start_leading(&mut self) {
        self.append_as_leader(EntryPayload::Empty);
        self.match_progress_to_membership();
    }

    pub(super) fn append_as_leader(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last().index.next();
        let entry = LogEntry { term: self.hard_state.term, index, payload };
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push((index, membership.clone()));
            self.match_progress_to_membership();
        }
        self.log.push(entry.clone());
        self.stored_log_bytes += entry.size_bytes() as u64;
        match self.operations.last_mut() {
            Some(PersistOperation::Append(entries)) => entries.push(entry),
            _ => self.operations.push(PersistOperation::Append(vec![entry])),
        }
        index
    }

    pub(super) fn match_progress_to_membership(&mut self) {
        let membership = self.memberships[self.memberships.len() - 1].1.clone();
        let next = self.log.last().index.next();
        let Role::Leader(leader) = &mut self.role else { return };
        let members = membership.replicas();
        leader.progress.retain(|replica, _| members.contains(replica));
        for replica in members {
            if replica == self.settings.replica {
                continue;
            }
            let incarnation =
                membership.member(replica).map_or(Incarnation::default(), |m| m.incarnation);
            leader
                .progress
                .entry(replica)
                .or_insert_with(|| Progress::new(incarnation, next, self.now));
        }
    }

    pub(super) fn on_propose(
        &mut self,
        proposal: ProposalId,
        class: ProposalClass,
        payload: Bytes,
    ) {
        let accepts_proposals =
            matches!(&self.role, Role::Leader(leader) if leader.transfer.is_none());
        if !accepts_proposals {
            let leader_address = self.leader_address();
            let failure = ProposalFailure::NotLeader { leader_address };
            self.outputs.committed.push(Committed::ProposalFailed { proposal, failure });
            return;
        }
        self.note_full_disks();
        let shortage = self.space_shortage(class, payload.len() as u64);
        self.log_shortage(class, shortage);
        if shortage.is_some() {
            let failure = ProposalFailure::NoSpace;
            self.outputs.committed.push(Committed::ProposalFailed { proposal, failure });
            return;
        }
        let index = self.append_as_leader(EntryPayload::Command(payload));
        if let Role::Leader(leader) = &mut self.role {
            leader.proposals.insert(index, proposal);
        }
    }

    /// Logs that proposals that add to the state begin or cease to be refused.
    fn log_shortage(&mut self, class: ProposalClass, shortage: Option<SpaceShortage>) {
        let stored_log_bytes = self.stored_log_bytes;
        let Role::Leader(leader) = &mut self.role else { return };
        if class == ProposalClass::Essential || leader.shortage == shortage {
            return;
        }
        leader.shortage = shortage;
        match shortage {
            Some(cause) => log::warn!(
                event = "growth_refused", cause:? = cause, log_bytes = stored_log_bytes;
                "refusing proposals that add to the state"
            ),
            None => log::info!(
                event = "growth_accepted", log_bytes = stored_log_bytes;
                "accepting proposals that add to the state again"
            ),
        }
    }

    /// Reports all pending proposals, reads and membership changes as failed.
    pub(super) fn fail_pending(&mut self, state: LeaderState) {
        for proposal in state.proposals.into_values() {
            let failure = ProposalFailure::Unknown;
            self.outputs.committed.push(Committed::ProposalFailed { proposal, failure });
        }
        for read in state.reads.into_pending() {
            self.fail_read(read);
        }
        if let Some(change) = state.change {
            self.outputs.changes.push((change.number, Err(ChangeError::Unknown)));
        }
    }

    /// Steps down if no quorum has responded within an election timeout.
    pub(super) fn check_quorum(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let own = self.settings.replica;
        let in_contact = |replica: ReplicaId| {
            replica == own
                || leader.progress.get(&replica).is_some_and(|progress| {
                    self.now.since(progress.last_response) <= self.settings.election_timeout
                })
        };
        if !self.membership().has_quorum(in_contact) {
            log::warn!(
                event = "quorum_lost", replica = own.get(), term = self.hard_state.term.get();
                "no quorum has responded within the election timeout; this replica steps down"
            );
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(super) fn run_leader_timers(&mut self) {
        self.continue_change();
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.transfer.as_ref().is_some_and(|transfer| self.now >= transfer.deadline) {
            leader.transfer = None;
        }
        if self.now < leader.next_heartbeat {
            return;
        }
        leader.next_heartbeat = self.now + self.settings.heartbeat;
        for (replica, progress) in &mut leader.progress {
            let is_learner =
                self.memberships[self.memberships.len() - 1].1.voter(*replica).is_none();
            let silent = self.now.since(progress.last_response) > self.settings.election_timeout;
            if is_learner && silent && progress.incarnation != Incarnation::default() {
                // The learner's data folder may have been replaced; 0 reaches any folder.
                let next = self.log.last().index.next();
                *progress = Progress::new(Incarnation::default(), next, self.now);
            }
        }
        self.send_heartbeats();
    }

    pub(super) fn send_heartbeats(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let round = leader.reads.round();
        let bodies: Vec<_> = leader
            .progress
            .iter()
            .map(|(replica, progress)| {
                let commit = self.commit.min(progress.matched);
                let body = MessageBody::Heartbeat { commit, round };
                (*replica, progress.incarnation, body)
            })
            .collect();
        for (replica, incarnation, body) in bodies {
            self.send_now(replica, incarnation, body);
        }
    }

    /// Sends every member the entries or the snapshot that it lacks.
    pub(super) fn replicate(&mut self) {
        self.start_read_round();
        let Role::Leader(leader) = &mut self.role else { return };
        let mut messages = Vec::new();
        for (replica, progress) in &mut leader.progress {
            let incarnation = progress.incarnation;
            let limit_bytes = self.settings.append_limit_bytes;
            let source =
                EntrySource { log: &self.log, snapshot: self.snapshot.as_ref(), limit_bytes };
            while let Some(body) = next_message(progress, &source, self.commit, self.now) {
                messages.push((*replica, incarnation, body));
            }
        }
        for (replica, incarnation, body) in messages {
            self.send_now(replica, incarnation, body);
        }
    }

    /// Records the response of a member and returns its progress.
    pub(super) fn progress_of_responder(
        &mut self,
        from: ReplicaId,
        incarnation: Incarnation,
    ) -> Option<&mut Progress> {
        let next = self.log.last().index.next();
        let Role::Leader(leader) = &mut self.role else { return None };
        let progress = leader.progress.get_mut(&from)?;
        if progress.incarnation == Incarnation::default() {
            progress.incarnation = incarnation;
        }
        if progress.incarnation != incarnation {
            *progress = Progress::new(incarnation, next, self.now);
        }
        progress.last_response = self.now;
        Some(progress)
    }

    pub(super) fn on_append_response(
        &mut self,
        from: ReplicaId,
        incarnation: Incarnation,
        outcome: AppendOutcome,
    ) {
        let now = self.now;
        let last = self.log.last().index;
        let match_index = match outcome {
            AppendOutcome::Rejected { hint, .. } => {
                self.log.last_with_term_up_to(hint.index, hint.term).index
            }
            AppendOutcome::Accepted { matched } => matched,
        };
        let Some(progress) = self.progress_of_responder(from, incarnation) else { return };
        match outcome {
            AppendOutcome::Accepted { matched } => {
                assert!(matched <= last, "replica {from} acknowledged {matched}, beyond the log");
                progress.accept(matched, now);
            }
            AppendOutcome::Rejected { previous, .. } => {
                if previous > progress.matched && previous < progress.next {
                    progress.reject(match_index.min(previous.previous()));
                }
            }
        }
        self.advance_commit();
        self.continue_transfer();
        self.continue_change();
    }

    /// Advances the commit index to the last entry of the own term that a quorum holds on disk.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let own = self.settings.replica;
        let synced_index_of = |replica: ReplicaId| {
            if replica == own {
                return self.synced_index;
            }
            leader.progress.get(&replica).map_or(LogIndex::default(), |progress| progress.matched)
        };
        let index = self.membership().quorum_index(synced_index_of);
        // An entry of an older term can still be replaced even if a quorum holds it.
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.advance_commit_to(index);
            self.on_commit_advanced();
        }
    }

    pub(super) fn on_transfer_request(&mut self) {
        let deadline = self.now + self.settings.election_timeout;
        let Some((target, _)) = self.most_up_to_date_voter() else { return };
        // A further request joins the transfer in progress. A new deadline would let its requesters
        // wait, and proposals be refused, for as long as requests come.
        if let Role::Leader(leader) = &mut self.role
            && leader.transfer.is_none()
        {
            leader.transfer = Some(LeadershipTransfer { target, deadline, requested: false });
            self.continue_transfer();
        }
    }

    /// Returns the other voter with the longest matching log among those that responded recently.
    /// Voters that hold all committed entries come first, and among them those whose disk has space.
    fn most_up_to_date_voter(&self) -> Option<(ReplicaId, Incarnation)> {
        let Role::Leader(leader) = &self.role else { return None };
        let responded_recently = |progress: &Progress| {
            self.now.since(progress.last_response) <= self.settings.election_timeout
        };
        let voters = self.membership().voters.keys();
        voters
            .filter_map(|replica| leader.progress.get(replica).map(|progress| (replica, progress)))
            .filter(|(_, progress)| responded_recently(progress))
            .max_by_key(|(_, progress)| {
                (progress.matched >= self.commit, !progress.disk_full, progress.matched)
            })
            .map(|(replica, progress)| (*replica, progress.incarnation))
    }

    /// Requests another voter to start an election, after the removal of this leader.
    pub(super) fn request_successor_election(&mut self) {
        if let Some((target, incarnation)) = self.most_up_to_date_voter() {
            self.send_now(target, incarnation, MessageBody::TimeoutNow);
        }
    }

    fn continue_transfer(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(transfer) = &mut leader.transfer else { return };
        let target = transfer.target;
        let Some(progress) = leader.progress.get(&target) else { return };
        if transfer.requested || progress.matched < last {
            return;
        }
        transfer.requested = true;
        let incarnation = progress.incarnation;
        self.send_now(target, incarnation, MessageBody::TimeoutNow);
    }
}

/// Source of the entries or the snapshot that members lack.
struct EntrySource<'a> {
    log: &'a Log,
    snapshot: Option<&'a StateSnapshot>,
    limit_bytes: usize,
}

/// Returns the next message that brings a member up to date, if one may be sent now.
fn next_message(
    progress: &mut Progress,
    source: &EntrySource<'_>,
    commit: LogIndex,
    now: TimestampMs,
) -> Option<MessageBody> {
    let log = source.log;
    let previous = progress.next.previous();
    let term = log.term_at(previous);
    if term.is_none() && !matches!(progress.mode, ReplicationMode::Snapshot(_)) {
        let snapshot = source.snapshot?.clone();
        progress.mode = ReplicationMode::Snapshot(SnapshotTransfer {
            snapshot,
            offset_bytes: 0,
            sent_at: None,
        });
    }
    match &mut progress.mode {
        ReplicationMode::Snapshot(transfer) => return transfer.next_chunk(now),
        ReplicationMode::Probe { waiting: true } => return None,
        ReplicationMode::Probe { waiting } => *waiting = true,
        ReplicationMode::Stream => {
            let outstanding = progress.next.get() - progress.matched.next().get();
            let outstanding_bytes = log.bytes_between(progress.matched, previous);
            if progress.next > log.last().index
                || outstanding > WINDOW_ENTRY_COUNT
                || outstanding_bytes > WINDOW_BYTES
            {
                return None;
            }
            if outstanding == 0 {
                progress.last_progress = now;
            }
        }
    }
    let entries = log.slice(progress.next, source.limit_bytes).to_vec();
    if matches!(progress.mode, ReplicationMode::Stream) {
        progress.next = entries.last().map_or(progress.next, |entry| entry.index.next());
    }
    let previous = LogPosition { index: previous, term: term? };
    Some(MessageBody::Append { previous, entries, commit })
}
