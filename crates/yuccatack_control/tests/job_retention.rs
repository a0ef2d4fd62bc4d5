//! Guards against job records that are never withdrawn, which lets the state grow without bound,
//! and against the withdrawal of the record of a job that the lease table still has.

#![allow(clippy::unwrap_used, missing_docs)]

use serde_json::json;
use yuccatack_control::retention::withdrawals;
use yuccatack_control::state::{ControlCommand, ControlState};
use yuccatack_core::prelude::*;
use yuccatack_leases::{LeaseCommand, LeaseTable, WorkerRegistration};
use yuccatack_records::{Change, Operation};
use yuccatack_requests::claims::ClaimLimits;

const NOW: TimestampMs = TimestampMs::new(1_700_000_000_000);

fn submit(state: &mut ControlState, id: &str, document: &serde_json::Value) {
    let change = Change {
        change_id: ChangeId::new(id),
        operation: Operation::Submit,
        replaces_generation: Generation::default(),
        document: document.to_string().into(),
    };
    state.apply(ControlCommand::Change { change, now: NOW });
}

fn state_with_job() -> ControlState {
    let mut state = ControlState::new(ClaimLimits::default());
    let worker = WorkerRegistration {
        worker: WorkerName::new("worker-1").unwrap(),
        incarnation: Incarnation::new(1),
        data_centre: DataCentreName::new("putrajaya").unwrap(),
        rack: RackName::new("rack-1").unwrap(),
        resources: Resources { cores_milli: 32_000, memory_bytes: 1 << 37, accelerator_count: 8 },
    };
    let commands = vec![LeaseCommand::RegisterWorker { worker, at: NOW }];
    state.apply(ControlCommand::Leases { commands });
    let organisation = json!({
        "schema_version": 2, "kind": "organisation", "name": "club",
        "accelerator_quota_count": 8, "fair_share_weight": 1,
        "request_rate_per_s": 10, "request_concurrency_count": 4,
    });
    submit(&mut state, "organisation", &organisation);
    let job = json!({
        "schema_version": 2, "kind": "job", "name": "rank", "organisation": "club",
        "tasks": 1, "accelerators_per_task": 1, "cores_milli_per_task": 1000,
        "memory_bytes_per_task": 1_073_741_824_u64, "adjacency": "worker", "class": "urgent",
        "declared_run_time_s": 1, "idempotent": true, "checkpointable": false,
        "command": ["rank"],
    });
    submit(&mut state, "job", &job);
    state
}

#[test]
fn known_job_kept() {
    let state = state_with_job();
    assert!(state.leases().job(&JobName::new("rank").unwrap()).is_some());
    assert!(withdrawals(state.records(), state.leases()).is_empty());
}

#[test]
fn evicted_job_withdrawn_once() {
    let mut state = state_with_job();
    let evicted = withdrawals(state.records(), &LeaseTable::default());
    assert_eq!(evicted.len(), 1);
    for change in evicted.iter().chain(&evicted) {
        state.apply(ControlCommand::Change { change: change.clone(), now: NOW });
    }
    assert!(withdrawals(state.records(), &LeaseTable::default()).is_empty());
    assert_eq!(state.records().revision().get(), 3);
}
