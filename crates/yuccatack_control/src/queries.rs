//! Results of operators' queries, most of them as JSON documents.

use serde_json::{Value, json};
use yuccatack_core::prelude::*;
use yuccatack_leases::{JobStatus, LeaseTable, Scheduler, WaitReason, WorkerHealth};
use yuccatack_replication::ReplicationStatus;
use yuccatack_view::{InForceStatus, MinionState, ViewPublisher};

use crate::membership::replication_document;
use crate::message::ChangeStatus;
use crate::state::ControlState;

/// Returns the outcome of a change and the nodes that do not apply it yet.
pub async fn change_status(
    state: &ControlState,
    publisher: &ViewPublisher,
    change_id: &ChangeId,
) -> ChangeStatus {
    let outcome = state.records().change(change_id).map(|recorded| recorded.outcome.clone());
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

/// Returns the status of replicas, nodes, workers, minions, jobs and guarantees. `scheduler` is
/// `None` on a follower, which does not know the leases of workers.
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
        // An instance without a binding has lost its capacity; all others can always be reclaimed.
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

/// Returns the state of a job with the reason for it.
pub fn job(state: &ControlState, name: &JobName) -> Value {
    let explanation = state.leases().explain(name);
    json!({
        "job": name.as_str(),
        "known": state.leases().job(name).is_some(),
        "state": state_name(explanation.status),
        "not_run": explanation.not_run,
        "waits_for": explanation.wait.as_ref().map(wait_reason_name),
        "text": explanation.text,
    })
}

fn state_name(status: JobStatus) -> &'static str {
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

fn wait_reason_name(reason: &WaitReason) -> &'static str {
    match reason {
        WaitReason::Quota { .. } => "quota",
        WaitReason::Capacity { .. } => "capacity",
        WaitReason::Guarantees => "guarantees",
    }
}
