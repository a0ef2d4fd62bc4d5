//! Members of the replicated log: reconciles them with the membership record and reports them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_records::{MembershipRecord, Record, RecordKey, RecordKind, RecordStore};
use yuccatack_replication::{
    ChangeError, LogIndex, MembershipChange, ReplicaId, ReplicationHandle, ReplicationStatus,
    RoleName,
};

/// Desired voters; `None` while no membership record is in force.
pub type DesiredReplicas = Option<BTreeMap<ReplicaId, SocketAddr>>;

/// Interval at which the leader compares the desired voters with the members.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// Name of the membership record; no other name is valid.
const MEMBERSHIP_RECORD_NAME: &str = "control";

/// Returns the desired voters from the membership record in force.
pub fn desired_replicas(records: &RecordStore) -> DesiredReplicas {
    let name = RecordName::new(MEMBERSHIP_RECORD_NAME).ok()?;
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

/// Returns the next change from the current members to the desired voters, or `None` if they agree.
///
/// Each change concerns one replica. A missing replica becomes a learner first and then replaces a
/// surplus voter in a single change, so that a repair never reduces the number of voters that hold
/// the log. The leader is removed last, because its removal ends its leadership.
pub fn next_change(
    desired: &BTreeMap<ReplicaId, SocketAddr>,
    status: &ReplicationStatus,
) -> Option<MembershipChange> {
    let missing = desired.iter().find(|(replica, _)| {
        !status.voters.contains_key(replica) && !status.learners.contains_key(replica)
    });
    if let Some((&replica, &address)) = missing {
        return Some(MembershipChange::AddLearner { replica, address });
    }
    let surplus_learner = status.learners.keys().find(|replica| !desired.contains_key(replica));
    if let Some(&replica) = surplus_learner {
        return Some(MembershipChange::RemoveLearner { replica });
    }
    let mut surplus: Vec<ReplicaId> =
        status.voters.keys().filter(|replica| !desired.contains_key(replica)).copied().collect();
    surplus.sort_by_key(|replica| (status.leader == Some(*replica), *replica));
    if let Some(&replica) = status.learners.keys().next() {
        return Some(MembershipChange::Promote { replica, replaces: surplus.first().copied() });
    }
    surplus.first().map(|&replica| MembershipChange::RemoveVoter { replica })
}

/// Returns the part of the operators' status that shows the replicas.
///
/// `voters` are those in force, so that an operator who finds a replacement there may lose the old
/// voter and any minority of the new ones. `pending_voters` are those of a change that is not
/// complete, and empty otherwise.
pub fn replication_document(status: &ReplicationStatus) -> Value {
    let learners: Vec<Value> = status
        .learners
        .iter()
        .map(|(replica, learner)| {
            json!({
                "replica_id": replica.get(),
                "address": learner.address,
                "matched_index": learner.matched.map(LogIndex::get),
            })
        })
        .collect();
    json!({
        "leader": status.leader.map(ReplicaId::get),
        "voters": voter_list(&status.voters_in_force),
        "pending_voters": status.pending_voters().map(voter_list).unwrap_or_default(),
        "learners": learners,
        "role": format!("{:?}", status.role),
        "term": status.term.get(),
        "commit_index": status.commit.get(),
        "leader_address": status.leader_address.map(|address| address.to_string()),
    })
}

fn voter_list(voters: &BTreeMap<ReplicaId, SocketAddr>) -> Vec<Value> {
    let voters = voters
        .iter()
        .map(|(replica, address)| json!({"replica_id": replica.get(), "address": address}));
    voters.collect()
}

/// Applies the changes one by one while this replica leads.
pub async fn reconcile(desired: watch::Receiver<DesiredReplicas>, replication: ReplicationHandle) {
    let mut interval = tokio::time::interval(RECONCILE_INTERVAL);
    loop {
        interval.tick().await;
        let Some(desired) = desired.borrow().clone() else { continue };
        let status = replication.status().borrow().clone();
        if status.role != RoleName::Leader {
            continue;
        }
        let Some(change) = next_change(&desired, &status) else { continue };
        match replication.change_membership(change).await {
            Ok(()) => {
                log::info!(event = "membership_changed"; "membership change applied: {change:?}");
            }
            Err(ChangeError::NotLeader { .. } | ChangeError::Stopped) => {}
            Err(error) => {
                log::warn!(
                    event = "membership_change_refused";
                    "membership change {change:?} was refused and is tried again: {error}"
                );
            }
        }
    }
}
