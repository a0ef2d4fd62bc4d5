//! Membership changes, one at a time.
//!
//! A change of voters passes through a joint membership, in which both the old and the new voters
//! must agree: a promotion that replaces a failed voter changes two members at once.

use std::net::SocketAddr;

use yuccatack_core::{Incarnation, TimestampMs};

use super::{Replica, Role};
use crate::error::ChangeError;
use crate::identifiers::{ChangeNumber, LogIndex, ReplicaId};
use crate::membership::{Member, Membership, MembershipChange};
use crate::replicated_log::EntryPayload;

/// Number of election timeouts that a promotion waits for the learner to catch up.
const PROMOTION_TIMEOUT_FACTOR: u64 = 10;

/// Requested change that is not committed yet.
#[derive(Debug)]
pub(super) struct ActiveChange {
    pub number: ChangeNumber,
    change: MembershipChange,
    /// Commit index at the time of the request.
    required_index: LogIndex,
    deadline: TimestampMs,
    /// `true` once the change is in the log.
    appended: bool,
}

impl Replica {
    pub(super) fn on_change_request(&mut self, number: ChangeNumber, change: MembershipChange) {
        if let Err(error) = self.begin_change(number, change) {
            self.outputs.changes.push((number, Err(error)));
            return;
        }
        self.continue_change();
    }

    fn begin_change(
        &mut self,
        number: ChangeNumber,
        change: MembershipChange,
    ) -> Result<(), ChangeError> {
        let Role::Leader(leader) = &self.role else {
            return Err(ChangeError::NotLeader { leader_address: self.leader_address() });
        };
        let settled = self.membership().outgoing.is_none()
            && self.membership_index() <= self.commit
            && self.commit >= leader.first_index;
        if leader.change.is_some() || leader.transfer.is_some() || !settled {
            return Err(ChangeError::InProgress);
        }
        apply_change(self.membership(), change, Incarnation::default())?;
        let timeout_ms = PROMOTION_TIMEOUT_FACTOR * self.settings.election_timeout.get();
        let deadline = self.now + yuccatack_core::DurationMs::new(timeout_ms);
        let required_index = self.commit;
        let active = ActiveChange { number, change, required_index, deadline, appended: false };
        if let Role::Leader(leader) = &mut self.role {
            leader.change = Some(active);
        }
        Ok(())
    }

    /// Appends the requested change once its conditions are met, or fails it after its deadline.
    pub(super) fn continue_change(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(active) = &leader.change else { return };
        if active.appended {
            return;
        }
        match self.ready_membership(active) {
            Ok(membership) => {
                self.append_as_leader(EntryPayload::Membership(membership));
                if let Role::Leader(leader) = &mut self.role
                    && let Some(active) = &mut leader.change
                {
                    active.appended = true;
                }
            }
            Err(ChangeError::LearnerBehind { .. }) if self.now < active.deadline => {}
            Err(error) => self.finish_change(Err(error)),
        }
    }

    /// Returns the membership to append, or the condition that the change does not meet.
    fn ready_membership(&self, active: &ActiveChange) -> Result<Membership, ChangeError> {
        let mut incarnation = Incarnation::default();
        if let MembershipChange::Promote { replica, .. } = active.change {
            incarnation = self.caught_up_incarnation(replica, active.required_index)?;
        }
        let next = apply_change(self.membership(), active.change, incarnation)?;
        self.require_quorum_holds(&next, active.required_index)?;
        if next.voters == self.membership().voters {
            return Ok(next);
        }
        let outgoing = Some(self.membership().voters.clone());
        Ok(Membership { outgoing, ..next })
    }

    /// Returns the data folder of a learner, if it holds all entries up to `required_index` on disk
    /// and has responded recently.
    ///
    /// Otherwise the repaired cluster would count a voter that lacks committed entries, which
    /// cannot help when another voter is lost right after the repair.
    fn caught_up_incarnation(
        &self,
        replica: ReplicaId,
        required_index: LogIndex,
    ) -> Result<Incarnation, ChangeError> {
        let Role::Leader(leader) = &self.role else { return Err(ChangeError::Unknown) };
        let progress = leader.progress.get(&replica).ok_or(ChangeError::WrongRole { replica })?;
        let known = progress.incarnation != Incarnation::default();
        if !known
            || progress.matched < required_index
            || !self.responded_recently(progress.last_response)
        {
            let matched = progress.matched;
            return Err(ChangeError::LearnerBehind { replica, matched, needed: required_index });
        }
        Ok(progress.incarnation)
    }

    fn responded_recently(&self, response: TimestampMs) -> bool {
        self.now.since(response) <= self.settings.election_timeout
    }

    fn require_quorum_holds(
        &self,
        next: &Membership,
        required_index: LogIndex,
    ) -> Result<(), ChangeError> {
        let Role::Leader(leader) = &self.role else { return Err(ChangeError::Unknown) };
        let has_required_entries = |replica: &ReplicaId| {
            if *replica == self.settings.replica {
                return self.synced_index >= required_index;
            }
            // A voter that has not responded recently may have lost its data folder.
            leader.progress.get(replica).is_some_and(|progress| {
                progress.matched >= required_index
                    && self.responded_recently(progress.last_response)
            })
        };
        let holders = next.voters.keys().filter(|replica| has_required_entries(replica)).count();
        let needed = next.voters.len() / 2 + 1;
        if holders < needed {
            return Err(ChangeError::TooFewHolders { holders, needed });
        }
        Ok(())
    }

    /// Leaves a joint membership once it is committed, and reports the completed change.
    pub(super) fn on_commit_advanced(&mut self) {
        if self.membership_index() > self.commit || !self.is_leader() {
            return;
        }
        if self.membership().outgoing.is_some() {
            let membership = Membership { outgoing: None, ..self.membership().clone() };
            self.append_as_leader(EntryPayload::Membership(membership));
            return;
        }
        let appended = matches!(&self.role, Role::Leader(leader)
            if leader.change.as_ref().is_some_and(|active| active.appended));
        if appended {
            self.finish_change(Ok(()));
        }
        if !self.is_voter() {
            // The other replicas learn of the commit from the next leader, which is elected without
            // waiting for a timeout.
            self.request_successor_election();
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn finish_change(&mut self, result: Result<(), ChangeError>) {
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(active) = leader.change.take() {
            self.outputs.changes.push((active.number, result));
        }
    }

    /// Returns the address of the leader, if known.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.leader?;
        let member = self.membership().member(leader).map(|member| member.address);
        member.or_else(|| self.settings.initial_voters.get(&leader).copied())
    }
}

/// Returns the membership after `change`; `incarnation` is that of a promoted learner's data
/// folder.
fn apply_change(
    current: &Membership,
    change: MembershipChange,
    incarnation: Incarnation,
) -> Result<Membership, ChangeError> {
    let mut next = current.clone();
    match change {
        MembershipChange::AddLearner { replica, address } => {
            if current.member(replica).is_some() || replica == ReplicaId::NONE {
                return Err(ChangeError::AlreadyMember { replica });
            }
            next.learners.insert(replica, Member { address, incarnation });
        }
        MembershipChange::Promote { replica, replaces } => {
            let learner =
                next.learners.remove(&replica).ok_or(ChangeError::WrongRole { replica })?;
            next.voters.insert(replica, Member { incarnation, ..learner });
            if let Some(failed) = replaces {
                next.voters.remove(&failed).ok_or(ChangeError::WrongRole { replica: failed })?;
            }
        }
        MembershipChange::RemoveVoter { replica } => {
            next.voters.remove(&replica).ok_or(ChangeError::WrongRole { replica })?;
            if next.voters.is_empty() {
                return Err(ChangeError::LastVoter);
            }
        }
        MembershipChange::RemoveLearner { replica } => {
            next.learners.remove(&replica).ok_or(ChangeError::WrongRole { replica })?;
        }
    }
    Ok(next)
}
