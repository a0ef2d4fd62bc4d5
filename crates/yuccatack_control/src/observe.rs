//! Metrics of jobs, capacity and objectives.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;
use yuccatack_leases::{AttemptPhase, JobEntry, JobPhase, LeaseEvent, LeaseTable};
use yuccatack_records::{Record, RecordKind, RecordStore};
use yuccatack_telemetry::Metrics;
use yuccatack_telemetry::metrics::{JobOutcome, JobPhase as PhaseLabel, WorkerHealth};

/// Records starts, reclaims and ends of jobs from lease events.
pub fn observe_events(metrics: &Metrics, leases: &LeaseTable, events: &[LeaseEvent]) {
    for event in events {
        match event {
            LeaseEvent::AttemptStarted(job, _) => observe_start(metrics, leases, job),
            LeaseEvent::JobFinished(job) => observe_end(metrics, leases, job),
            _ => {}
        }
    }
}

fn observe_start(metrics: &Metrics, leases: &LeaseTable, job: &JobName) {
    let Some(entry) = leases.job(job) else { return };
    let Some(attempt) = entry.attempt() else { return };
    let Some(started_at) = attempt.started_at else { return };
    if entry.started_count == 1 {
        let wait = started_at.since(entry.submitted_at);
        metrics.jobs.observe_start(&entry.spec.organisation, entry.spec.class, wait);
    }
    if let Some((guarantee, _)) = &attempt.claim {
        metrics.jobs.observe_reclaim(guarantee, started_at.since(attempt.began_at));
    }
}

fn observe_end(metrics: &Metrics, leases: &LeaseTable, job: &JobName) {
    let Some(entry) = leases.job(job) else { return };
    let outcome = match &entry.phase {
        JobPhase::Succeeded => JobOutcome::Succeeded,
        JobPhase::Failed(_) => JobOutcome::Failed,
        JobPhase::Refused(_) if entry.has_never_run() => JobOutcome::NotRun,
        JobPhase::Refused(_) => JobOutcome::Failed,
        JobPhase::Cancelled => JobOutcome::Cancelled,
        JobPhase::Unknown(_) => JobOutcome::Unknown,
        JobPhase::Waiting | JobPhase::Active(_) => return,
    };
    metrics.jobs.count_outcome(&entry.spec.organisation, entry.spec.class, outcome);
}

/// Sets the gauges of jobs and accelerators. Reads every job, so call it every few seconds only.
pub fn observe_state(metrics: &Metrics, leases: &LeaseTable) {
    let mut jobs: BTreeMap<(PriorityClass, &str), (PhaseLabel, u64)> = BTreeMap::new();
    for class in PriorityClass::ALL {
        for phase in
            [PhaseLabel::Waiting, PhaseLabel::Preparing, PhaseLabel::Running, PhaseLabel::Stopping]
        {
            jobs.insert((class, phase.as_str()), (phase, 0));
        }
    }
    for (_, entry) in leases.jobs() {
        let Some(phase) = phase_label(entry) else { continue };
        if let Some((_, count)) = jobs.get_mut(&(entry.spec.class, phase.as_str())) {
            *count += 1;
        }
    }
    for ((class, _), (phase, count)) in jobs {
        metrics.jobs.set_jobs(class, phase, count);
    }
    observe_workers(metrics, leases);
}

fn phase_label(entry: &JobEntry) -> Option<PhaseLabel> {
    match &entry.phase {
        JobPhase::Waiting => Some(PhaseLabel::Waiting),
        JobPhase::Active(attempt) => Some(match attempt.phase {
            AttemptPhase::Reclaiming | AttemptPhase::Preparing => PhaseLabel::Preparing,
            AttemptPhase::Running => PhaseLabel::Running,
            AttemptPhase::Checkpointing(_) | AttemptPhase::Stopping(_) => PhaseLabel::Stopping,
        }),
        JobPhase::Succeeded
        | JobPhase::Failed(_)
        | JobPhase::Refused(_)
        | JobPhase::Cancelled
        | JobPhase::Unknown(_) => None,
    }
}

fn observe_workers(metrics: &Metrics, leases: &LeaseTable) {
    let cluster = leases.cluster();
    let mut free: BTreeMap<&DataCentreName, u32> = BTreeMap::new();
    let mut healthy: BTreeMap<&DataCentreName, u32> = BTreeMap::new();
    for (_, worker) in cluster.workers() {
        let Some(data_centre) = cluster.data_centre_name(worker.data_centre) else { continue };
        *free.entry(data_centre).or_default() += worker.free().accelerator_count;
        *healthy.entry(data_centre).or_default() += 1;
    }
    for (data_centre, count) in free {
        metrics.capacity.set_free_accelerators(data_centre, count);
    }
    for (data_centre, count) in healthy {
        metrics.capacity.set_workers(data_centre, WorkerHealth::Healthy, count);
    }
}

/// Sets the objectives and organisations for which the objective metrics are recorded.
pub fn set_objectives(metrics: &Metrics, records: &RecordStore) {
    let objectives: Vec<_> = records
        .list(RecordKind::Objective)
        .filter_map(|(_, stored)| match stored.record.as_ref() {
            Record::Objective(objective) => Some(objective.clone()),
            _ => None,
        })
        .collect();
    let organisations: Vec<_> = records
        .list(RecordKind::Organisation)
        .filter_map(|(_, stored)| match stored.record.as_ref() {
            Record::Organisation(organisation) => Some(organisation.name.clone()),
            _ => None,
        })
        .collect();
    metrics.objectives.set_objectives(&objectives, &organisations);
}
