//! Membership changes of the replication group: adds replicas and replaces wiped and failed ones.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use yuccatack_queue_client::protocol::LeaveProgress;
use yuccatack_replication::{
    LogIndex, MembershipChange, ReplicaId, ReplicationHandle, ReplicationStatus, RoleName,
};

use crate::message::MemberRequest;

/// Interval at which the leader checks for a due membership change.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a member that announced its end counts as leaving. It repeats the announcement
/// more often while it waits for its replacement.
const LEAVING_VALIDITY: Duration = Duration::from_secs(1);

/// Input of [`next_change`].
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Replicas that vote, with their addresses.
    pub voters: BTreeMap<ReplicaId, SocketAddr>,
    /// Replicas that receive the log but do not vote.
    pub learners: BTreeMap<ReplicaId, SocketAddr>,
    /// Last log index that each learner is known to hold.
    pub held_by_learners: BTreeMap<ReplicaId, LogIndex>,
    /// Voters that have not responded for a long time.
    pub silent_voters: BTreeSet<ReplicaId>,
    /// Learners that do not respond at present.
    pub silent_learners: BTreeSet<ReplicaId>,
    /// Members that have announced that they stop.
    pub leaving: BTreeSet<ReplicaId>,
    /// Replicas that requested to join and are not members yet.
    pub joins: BTreeMap<ReplicaId, SocketAddr>,
    /// Number of voters that the group grows to.
    pub target_voter_count: usize,
}

impl MembershipView {
    fn from_status(
        status: &ReplicationStatus,
        joins: &BTreeMap<ReplicaId, SocketAddr>,
        leaving: &BTreeMap<ReplicaId, Instant>,
        target_voter_count: usize,
    ) -> Self {
        let learners = status.learners.iter().map(|(replica, learner)| (*replica, learner.address));
        let held = status
            .learners
            .iter()
            .filter_map(|(replica, learner)| learner.matched.map(|matched| (*replica, matched)));
        Self {
            voters: status.voters.clone(),
            learners: learners.collect(),
            held_by_learners: held.collect(),
            silent_voters: status.silent_voters.clone(),
            silent_learners: status.silent_learners.clone(),
            leaving: leaving.keys().copied().collect(),
            joins: joins.clone(),
            target_voter_count,
        }
    }

    fn member_at(
        members: &BTreeMap<ReplicaId, SocketAddr>,
        address: SocketAddr,
    ) -> Option<ReplicaId> {
        members.iter().find(|(_, member)| **member == address).map(|(replica, _)| *replica)
    }

    fn is_member(&self, replica: ReplicaId) -> bool {
        self.voters.contains_key(&replica) || self.learners.contains_key(&replica)
    }
}

/// Returns the membership change that is due, if any.
///
/// A voter that stops or does not respond is not removed for that alone: it may come back, or still be
/// running in a network partition. Only a learner that has received the log replaces it.
pub fn next_change(view: &MembershipView) -> Option<MembershipChange> {
    for (replica, address) in &view.joins {
        if view.is_member(*replica) {
            continue;
        }
        // The new replica has the address of a learner, so the learner's data folder was wiped.
        if let Some(old) = MembershipView::member_at(&view.learners, *address) {
            return Some(MembershipChange::RemoveLearner { replica: old });
        }
        return Some(MembershipChange::AddLearner { replica: *replica, address: *address });
    }
    // The learner that holds most of the log comes first, since one whose disk takes no writes would
    // hold up the others.
    let is_eligible = |replica: &ReplicaId| {
        !view.silent_learners.contains(replica) && !view.leaving.contains(replica)
    };
    let mut learners: Vec<_> =
        view.learners.iter().filter(|(replica, _)| is_eligible(replica)).collect();
    learners.sort_by_key(|(replica, _)| Reverse(view.held_by_learners.get(replica)));
    for (replica, address) in learners {
        let wiped_voter = MembershipView::member_at(&view.voters, *address);
        if wiped_voter.is_some() {
            return Some(MembershipChange::Promote { replica: *replica, replaces: wiped_voter });
        }
        // A further voter beside one that is gone would raise the quorum, but not the number of
        // voters that respond beyond it.
        let mut leaving = view.leaving.iter().filter(|replica| view.voters.contains_key(replica));
        let gone = leaving.next().or_else(|| view.silent_voters.first());
        if let Some(voter) = gone {
            return Some(MembershipChange::Promote { replica: *replica, replaces: Some(*voter) });
        }
        if view.voters.len() < view.target_voter_count {
            return Some(MembershipChange::Promote { replica: *replica, replaces: None });
        }
    }
    None
}

/// Returns how far the replacement of a member that stops has come, by the status of the leader.
pub(crate) fn leave_progress(status: &ReplicationStatus, replica: ReplicaId) -> LeaveProgress {
    if !status.voters.contains_key(&replica) && !status.voters_in_force.contains_key(&replica) {
        return LeaveProgress::Complete;
    }
    let is_being_replaced = !status.voters.contains_key(&replica);
    let has_successor =
        status.learners.keys().any(|learner| !status.silent_learners.contains(learner));
    if is_being_replaced || has_successor {
        LeaveProgress::Replacing
    } else {
        LeaveProgress::NoSuccessor
    }
}

/// Carries out due membership changes, one at a time, while this replica leads.
pub(crate) async fn maintain_membership(
    replication: ReplicationHandle,
    mut requests: mpsc::Receiver<MemberRequest>,
    target_voter_count: usize,
) {
    let status = replication.status();
    let mut joins = BTreeMap::new();
    let mut leaving = BTreeMap::new();
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = checks.tick() => {}
            request = requests.recv() => match request {
                Some(MemberRequest::Join { replica, address }) => {
                    joins.retain(|_, joining| *joining != address);
                    joins.insert(replica, address);
                    leaving.remove(&replica);
                }
                Some(MemberRequest::Leave { replica }) => {
                    leaving.insert(replica, Instant::now());
                }
                None => return,
            }
        }
        leaving.retain(|_, announced_at: &mut Instant| announced_at.elapsed() <= LEAVING_VALIDITY);
        let change = {
            let status = status.borrow();
            if status.role != RoleName::Leader {
                joins.clear();
                continue;
            }
            joins.retain(|replica, _| {
                !status.voters.contains_key(replica) && !status.learners.contains_key(replica)
            });
            let view = MembershipView::from_status(&status, &joins, &leaving, target_voter_count);
            next_change(&view)
        };
        let Some(change) = change else { continue };
        match replication.change_membership(change).await {
            Ok(()) => {
                log::info!(
                    event = "membership_changed", change:? = change;
                    "the members of the replication group changed"
                )
            }
            Err(error) => log::warn!(
                event = "membership_not_changed", change:? = change;
                "the membership change was not confirmed; checking the members again: {error}"
            ),
        }
    }
}
