//! Answers to operators' questions, as JSON documents.

use serde_json::{Value, json};
use yuccatack_core::prelude::*;
use yuccatack_leases::{JobStatus, LeaseTable, Scheduler, WaitReason, WorkerHealth};
use yuccatack_replication::{LogIndex, ReplicaId, ReplicationStatus};
use yuccatack_view::{InForceStatus, MinionState, ViewPublisher};

use crate::message::ChangeStatus;
use crate::state::ControlState;

/// What became of a change and which nodes do not apply it yet.
pub async fn change_status(
    state: &ControlState,
    publisher: &ViewPublisher,
    change_id: &ChangeId,
) -> ChangeStatus {
    let outcome = state.records().change(change_id).map(|remembered| remembered.outcome.clone());
    let revision = outcome.as_ref().and_then(|outcome| outcome.revision());
    let in_force = match revision {
        Some(revision) => publisher.in_force(revision).await,
        None => InForceStatus { everywhere: false, missing_nodes: Vec::new() },
    };
    ChangeStatus {
        outcome,
        in_force_everywhere: in_force.everywhere,
        missing_nodes: in_force.missing_nodes,
    }
}

/// Replicas, nodes, workers, minions, jobs and guarantees.
pub async fn status(
    state: &ControlState,
    replication: &ReplicationStatus,
    publisher: &ViewPublisher,
    scheduler: Option<(&Scheduler, TimestampMs)>,
) -> Value {
    let published = publisher.status().await;
    let in_force = publisher.in_force(state.records().revision()).await;
    json!({
        "revision": state.records().revision().get(),
        "replication": replication_document(replication),
        "nodes": {
            "known": published.node_count,
            "not_yet_in_force": names(&in_force.missing_nodes),
        },
        "minions": published.minions.iter().map(|entry| minion_document(entry)).collect::<Vec<_>>(),
        "workers": workers_document(state.leases(), scheduler),
        "guarantees": guarantees_document(state.leases()),
        "waiting_jobs": state.leases().waiting_job_count(),
        "claims": state.claims().len(),
    })
}

fn names(nodes: &[NodeName]) -> Vec<&str> {
    nodes.iter().map(NodeName::as_str).collect()
}

fn replication_document(replication: &ReplicationStatus) -> Value {
    let voters: Vec<Value> = replication
        .voters
        .iter()
        .map(|(replica, address)| json!({"replica_id": replica.get(), "address": address}))
        .collect();
    let learners: Vec<Value> = replication
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
        "leader": replication.leader.map(ReplicaId::get),
        "voters": voters,
        "learners": learners,
        "role": format!("{:?}", replication.role),
        "term": replication.term.get(),
        "commit_index": replication.commit.get(),
        "leader_address": replication.leader_address.map(|address| address.to_string()),
    })
}

fn minion_document(entry: &yuccatack_view::MinionEntry) -> Value {
    let state = match entry.status.state {
        MinionState::Ready => "ready",
        MinionState::Leaving => "leaving",
        MinionState::Unhealthy => "unhealthy",
    };
    json!({
        "minion": entry.status.minion.as_str(),
        "service": entry.status.service.as_str(),
        "data_centre": entry.data_centre.as_str(),
        "state": state,
        "slots_in_use": entry.status.slots_in_use,
        "slot_count": entry.status.slot_count,
    })
}

fn workers_document(leases: &LeaseTable, scheduler: Option<(&Scheduler, TimestampMs)>) -> Value {
    let workers = leases.workers().map(|(name, worker)| {
        let health = match &worker.health {
            WorkerHealth::Healthy => "healthy",
            WorkerHealth::Quarantined { .. } => "quarantined",
            WorkerHealth::Lost { .. } => "lost",
        };
        json!({
            "worker": name.as_str(),
            "health": health,
            "has_lease": scheduler.is_some_and(|(scheduler, now)| scheduler.has_lease(name, now)),
            "accelerator_count": worker.resources.accelerator_count,
        })
    });
    workers.collect()
}

fn guarantees_document(leases: &LeaseTable) -> Value {
    let guarantees = leases.guarantees().map(|guarantee| {
        let claimed = guarantee.instances.iter().filter(|shape| shape.claimed_by.is_some());
        // A shape without a binding lost its capacity; all others can be reclaimed at any time.
        let unbacked = guarantee.instances.iter().filter(|shape| shape.binding.is_empty());
        let unbacked_count = unbacked.count();
        json!({
            "guarantee": guarantee.spec.name.as_str(),
            "organisation": guarantee.spec.organisation.as_str(),
            "shape_count": guarantee.spec.shape_count,
            "claimed_count": claimed.count(),
            "can_be_reclaimed": unbacked_count == 0,
            "unbacked_count": unbacked_count,
        })
    });
    guarantees.collect()
}

/// Where a job stands and why.
pub fn job(state: &ControlState, name: &JobName) -> Value {
    let explanation = state.leases().explain(name);
    json!({
        "job": name.as_str(),
        "known": state.leases().job(name).is_some(),
        "state": state_word(explanation.status),
        "not_run": explanation.not_run,
        "waits_for": explanation.wait.as_ref().map(wait_word),
        "text": explanation.text,
    })
}

fn state_word(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Waiting => "waiting",
        JobStatus::Preparing => "preparing",
        JobStatus::Running => "running",
        JobStatus::Succeeded => "succeeded",
        JobStatus::Failed => "failed",
        JobStatus::Refused => "refused",
        JobStatus::Cancelled => "cancelled",
        JobStatus::Unknown => "unknown",
    }
}

fn wait_word(reason: &WaitReason) -> &'static str {
    match reason {
        WaitReason::Quota { .. } => "quota",
        WaitReason::Capacity { .. } => "capacity",
        WaitReason::Guarantees => "guarantees",
    }
}
