//! Elections: pre-votes, votes and the change of role.

use std::collections::BTreeMap;

use rand::RngExt;
use yuccatack_core::{DurationMs, Incarnation};

use super::leader::LeaderState;
use super::{Replica, Role};
use crate::identifiers::{ReplicaId, Term};
use crate::message::{Message, MessageBody};
use crate::persistence::HardState;

/// Votes of one election or pre-vote.
#[derive(Debug, Default)]
pub(super) struct VoteTally {
    votes: BTreeMap<ReplicaId, bool>,
    /// Sequence number of the batch with the own vote, which counts once the batch is synced.
    own_vote_sequence: u64,
}

impl Replica {
    pub(super) fn reset_election_deadline(&mut self) {
        let shortest = self.settings.election_timeout.get();
        let timeout = self.random.random_range(shortest..shortest.max(1) * 2);
        self.election_deadline = self.now + DurationMs::new(timeout);
    }

    pub(super) fn on_election_timeout(&mut self) {
        self.reset_election_deadline();
        if !self.may_start_election() {
            return;
        }
        if self.leader.is_some() {
            self.announce_leader(None);
        }
        // Another election would only queue one more vote behind the one that is being written.
        let writes_own_vote = matches!(&self.role, Role::Candidate(tally)
            if tally.own_vote_sequence > self.synced_sequence);
        if writes_own_vote {
            return;
        }
        self.start_pre_vote();
    }

    fn start_pre_vote(&mut self) {
        let mut tally = VoteTally::default();
        tally.votes.insert(self.settings.replica, true);
        self.role = Role::PreCandidate(tally);
        if !self.advance_on_quorum() {
            self.request_votes(true, false);
        }
    }

    fn start_election(&mut self, transfer: bool) {
        let hard_state = HardState {
            term: self.hard_state.term.next(),
            voted_for: self.settings.replica,
            cluster: self.cluster(),
        };
        self.set_hard_state(hard_state);
        let own_vote_sequence = self.hard_state_sequence;
        self.role = Role::Candidate(VoteTally { votes: BTreeMap::new(), own_vote_sequence });
        self.reset_election_deadline();
        self.request_votes(false, transfer);
    }

    /// Counts the own vote once it is on disk.
    pub(super) fn count_own_vote(&mut self) {
        let own = self.settings.replica;
        let synced = self.synced_sequence;
        let Role::Candidate(tally) = &mut self.role else { return };
        if synced >= tally.own_vote_sequence && tally.votes.insert(own, true).is_none() {
            self.advance_on_quorum();
        }
    }

    fn request_votes(&mut self, pre_vote: bool, transfer: bool) {
        let current = self.hard_state.term;
        let for_term = if pre_vote { current.next() } else { current };
        let last = self.log.last();
        for (replica, incarnation) in self.other_voters() {
            let body = MessageBody::VoteRequest { for_term, pre_vote, transfer, last };
            self.send_after_hard_state(replica, incarnation, body);
        }
    }

    fn other_voters(&self) -> Vec<(ReplicaId, Incarnation)> {
        let membership = self.membership();
        let voters = membership.replicas().into_iter().filter_map(|replica| {
            membership.voter(replica).map(|member| (replica, member.incarnation))
        });
        voters.filter(|(replica, _)| *replica != self.settings.replica).collect()
    }

    /// Returns `true` if this replica leads or has heard from a leader within the last election
    /// timeout, so that no other election is needed.
    fn has_recent_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        self.leader.is_some()
            && self
                .last_leader_contact
                .is_some_and(|contact| self.now.since(contact) < self.settings.election_timeout)
    }

    pub(super) fn on_vote_request(&mut self, message: &Message) {
        let MessageBody::VoteRequest { for_term, pre_vote, transfer, last } = message.body else {
            return;
        };
        // Only the data folder that the candidate's membership names may vote.
        if message.to_incarnation != self.incarnation() {
            return;
        }
        if self.has_recent_leader() && !transfer {
            return;
        }
        if !pre_vote && for_term > self.hard_state.term {
            self.become_follower(for_term, None);
        }
        let up_to_date = last.is_up_to_date_with(self.log.last());
        let granted = up_to_date
            && if pre_vote {
                for_term > self.hard_state.term
            } else {
                self.may_vote_for(message.from, for_term)
            };
        if granted && !pre_vote {
            let HardState { term, cluster, .. } = self.hard_state;
            self.set_hard_state(HardState { term, voted_for: message.from, cluster });
            self.reset_election_deadline();
        }
        let body = MessageBody::VoteResponse { for_term, pre_vote, granted };
        self.send_after_sync(message.from, message.from_incarnation, body);
    }

    fn may_vote_for(&self, candidate: ReplicaId, for_term: Term) -> bool {
        let free = matches!(
            self.hard_state.voted_for, vote if vote == ReplicaId::NONE || vote == candidate
        );
        for_term == self.hard_state.term && free && !self.is_leader()
    }

    pub(super) fn on_vote_response(
        &mut self,
        from: ReplicaId,
        for_term: Term,
        pre_vote: bool,
        granted: bool,
    ) {
        let current = self.hard_state.term;
        match &mut self.role {
            Role::PreCandidate(tally) if pre_vote && for_term == current.next() => {
                tally.votes.insert(from, granted);
            }
            Role::Candidate(tally) if !pre_vote && for_term == current => {
                tally.votes.insert(from, granted);
            }
            _ => return,
        }
        self.advance_on_quorum();
    }

    fn advance_on_quorum(&mut self) -> bool {
        let (Role::PreCandidate(tally) | Role::Candidate(tally)) = &self.role else {
            return false;
        };
        let granted = |replica| tally.votes.get(&replica) == Some(&true);
        if !self.membership().has_quorum(granted) {
            return false;
        }
        if matches!(self.role, Role::PreCandidate(_)) {
            self.start_election(false);
        } else {
            self.become_leader();
        }
        true
    }

    fn become_leader(&mut self) {
        log::info!(
            event = "leader_elected", replica = self.settings.replica.get(),
            term = self.hard_state.term.get();
            "this replica was elected leader"
        );
        self.leader = Some(self.settings.replica);
        let state = LeaderState::new(self.now, self.log.last().index.next());
        self.role = Role::Leader(Box::new(state));
        self.start_leading();
    }

    pub(super) fn on_timeout_now(&mut self, from: ReplicaId) {
        if self.leader == Some(from) && self.may_start_election() && !self.is_leader() {
            self.start_election(true);
        }
    }
}
