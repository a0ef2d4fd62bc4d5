//! Brings the voters of the replicated log in line with the membership record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_records::{MembershipRecord, Record, RecordKey, RecordKind, RecordStore};
use yuccatack_replication::{
    ChangeError, MembershipChange, ReplicaId, ReplicationHandle, ReplicationStatus, RoleName,
};

/// The wanted voters; `None` while no membership record is in force.
pub type WantedReplicas = Option<BTreeMap<ReplicaId, SocketAddr>>;

/// How often the leader compares the wanted replicas with the members.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// The only name that a membership record may have.
const MEMBERSHIP_NAME: &str = "control";

/// The wanted replicas of the record in force.
pub fn wanted_replicas(records: &RecordStore) -> WantedReplicas {
    let name = RecordName::new(MEMBERSHIP_NAME).ok()?;
    let stored = records.get(&RecordKey { kind: RecordKind::Membership, name })?;
    match stored.record.as_ref() {
        Record::Membership(membership) => Some(addresses(membership)),
        _ => None,
    }
}

fn addresses(membership: &MembershipRecord) -> BTreeMap<ReplicaId, SocketAddr> {
    let replicas = membership.replicas.iter().filter_map(|replica| {
        Some((ReplicaId::new(replica.replica_id), replica.address.parse().ok()?))
    });
    replicas.collect()
}

/// The next step from the present members to the wanted voters, one replica at a time.
///
/// A missing replica first learns, then takes the place of an unwanted voter in one step, so that
/// the number of voters that hold the log never shrinks for the sake of a repair. The present
/// leader is removed last, because each removal ends its lead.
pub fn next_change(
    wanted: &BTreeMap<ReplicaId, SocketAddr>,
    status: &ReplicationStatus,
) -> Option<MembershipChange> {
    let missing = wanted.iter().find(|(replica, _)| {
        !status.voters.contains_key(replica) && !status.learners.contains_key(replica)
    });
    if let Some((&replica, &address)) = missing {
        return Some(MembershipChange::AddLearner { replica, address });
    }
    let unwanted_learner = status.learners.keys().find(|replica| !wanted.contains_key(replica));
    if let Some(&replica) = unwanted_learner {
        return Some(MembershipChange::RemoveLearner { replica });
    }
    let mut unwanted: Vec<ReplicaId> =
        status.voters.keys().filter(|replica| !wanted.contains_key(replica)).copied().collect();
    unwanted.sort_by_key(|replica| (status.leader == Some(*replica), *replica));
    if let Some(&replica) = status.learners.keys().next() {
        return Some(MembershipChange::Promote { replica, replaces: unwanted.first().copied() });
    }
    unwanted.first().map(|&replica| MembershipChange::RemoveVoter { replica })
}

/// Applies one step after the other while this replica leads.
pub async fn reconcile(wanted: watch::Receiver<WantedReplicas>, replication: ReplicationHandle) {
    let mut interval = tokio::time::interval(RECONCILE_INTERVAL);
    loop {
        interval.tick().await;
        let Some(wanted) = wanted.borrow().clone() else { continue };
        let status = replication.status().borrow().clone();
        if status.role != RoleName::Leader {
            continue;
        }
        let Some(change) = next_change(&wanted, &status) else { continue };
        match replication.change_membership(change).await {
            Ok(()) => {
                log::info!(event = "membership_changed"; "membership change applied: {change:?}");
            }
            Err(ChangeError::NotLeader { .. } | ChangeError::Stopped) => {}
            Err(error) => {
                log::warn!(
                    event = "membership_change_refused";
                    "membership change {change:?} must wait: {error}"
                );
            }
        }
    }
}
