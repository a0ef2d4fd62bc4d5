//! Which replicas vote: joining, replacing wiped and lost ones.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use yuccatack_replication::{
    MembershipChange, ReplicaId, ReplicationHandle, ReplicationStatus, RoleName,
};

use crate::message::JoinRequest;

/// How often the leader looks whether a change of membership is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What the next change of membership follows from.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Who votes.
    pub voters: BTreeMap<ReplicaId, SocketAddr>,
    /// Who receives the log and does not vote.
    pub learners: BTreeMap<ReplicaId, SocketAddr>,
    /// The voters that have been silent for long.
    pub silent_voters: BTreeSet<ReplicaId>,
    /// Who asked to become a member.
    pub joins: BTreeMap<ReplicaId, SocketAddr>,
    /// How many voters there are to be.
    pub wanted_voter_count: usize,
}

impl MembershipView {
    fn from_status(
        status: &ReplicationStatus,
        joins: &BTreeMap<ReplicaId, SocketAddr>,
        wanted_voter_count: usize,
    ) -> Self {
        let learners = status.learners.iter().map(|(replica, learner)| (*replica, learner.address));
        Self {
            voters: status.voters.clone(),
            learners: learners.collect(),
            silent_voters: status.silent_voters.clone(),
            joins: joins.clone(),
            wanted_voter_count,
        }
    }

    fn holder(members: &BTreeMap<ReplicaId, SocketAddr>, address: SocketAddr) -> Option<ReplicaId> {
        members.iter().find(|(_, held)| **held == address).map(|(replica, _)| *replica)
    }

    fn is_member(&self, replica: ReplicaId) -> bool {
        self.voters.contains_key(&replica) || self.learners.contains_key(&replica)
    }
}

/// The change that is due, if any.
///
/// Voters are never removed because of silence alone, since in a split silence proves nothing; a
/// silent one gives way only to a learner that holds the log.
pub fn next_change(view: &MembershipView) -> Option<MembershipChange> {
    for (replica, address) in &view.joins {
        if view.is_member(*replica) {
            continue;
        }
        // A learner at the same address lost its folder; nothing of it is left.
        if let Some(old) = MembershipView::holder(&view.learners, *address) {
            return Some(MembershipChange::RemoveLearner { replica: old });
        }
        return Some(MembershipChange::AddLearner { replica: *replica, address: *address });
    }
    for (replica, address) in &view.learners {
        let wiped = MembershipView::holder(&view.voters, *address);
        if wiped.is_some() {
            return Some(MembershipChange::Promote { replica: *replica, replaces: wiped });
        }
        if view.voters.len() < view.wanted_voter_count {
            return Some(MembershipChange::Promote { replica: *replica, replaces: None });
        }
        if let Some(silent) = view.silent_voters.first() {
            return Some(MembershipChange::Promote { replica: *replica, replaces: Some(*silent) });
        }
    }
    None
}

/// Carries out one change at a time while this replica leads.
pub(crate) async fn keep_membership(
    replication: ReplicationHandle,
    mut requests: mpsc::Receiver<JoinRequest>,
    wanted_voter_count: usize,
) {
    let status = replication.status();
    let mut joins = BTreeMap::new();
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = checks.tick() => {}
            request = requests.recv() => match request {
                Some(JoinRequest { replica, address }) => {
                    joins.retain(|_, held| *held != address);
                    joins.insert(replica, address);
                }
                None => return,
            }
        }
        let change = {
            let status = status.borrow();
            if status.role != RoleName::Leader {
                joins.clear();
                continue;
            }
            joins.retain(|replica, _| {
                !status.voters.contains_key(replica) && !status.learners.contains_key(replica)
            });
            next_change(&MembershipView::from_status(&status, &joins, wanted_voter_count))
        };
        let Some(change) = change else { continue };
        match replication.change_membership(change).await {
            Ok(()) => {
                log::info!(event = "membership_changed", change:? = change; "members changed")
            }
            Err(error) => log::warn!(
                event = "membership_not_changed", change:? = change;
                "the members stay as they are: {error}"
            ),
        }
    }
}
