//! Log lines for events of jobs, guarantees and workers, with a stable event name each.

use yuccatack_leases::LeaseEvent;

/// Logs an event at a level that depends on its severity.
pub fn log_event(event: &LeaseEvent) {
    match event {
        LeaseEvent::JobAccepted(job) => {
            log::info!(event = "job_accepted", job:% = job; "job {job} was accepted and waits");
        }
        LeaseEvent::JobRefused(job, refusal) => {
            log::info!(event = "job_refused", job:% = job; "job {job} was refused: {refusal}");
        }
        LeaseEvent::AttemptBegan(job, epoch) => {
            log::info!(
                event = "attempt_began", job:% = job;
                "attempt {epoch} of job {job} was placed"
            );
        }
        LeaseEvent::AttemptRefused(job, epoch) => {
            log::debug!(
                event = "attempt_outdated", job:% = job;
                "the placement of attempt {epoch} of job {job} was out of date and had no effect"
            );
        }
        LeaseEvent::AttemptStarted(job, epoch) => {
            log::info!(
                event = "attempt_started", job:% = job;
                "attempt {epoch} of job {job} starts"
            );
        }
        LeaseEvent::AttemptStopping(job, epoch, reason) => {
            log::info!(
                event = "attempt_stopping", job:% = job;
                "attempt {epoch} of job {job} is stopped on its workers: {reason:?}"
            );
        }
        LeaseEvent::AttemptReleased(job, epoch) => {
            log::info!(
                event = "attempt_released", job:% = job;
                "attempt {epoch} of job {job} has released all of its capacity"
            );
        }
        LeaseEvent::JobRequeued(job) => {
            log::info!(event = "job_requeued", job:% = job; "job {job} waits to run again");
        }
        LeaseEvent::JobFinished(job) => {
            log::info!(event = "job_finished", job:% = job; "job {job} reached its final state");
        }
        LeaseEvent::GuaranteeAccepted(_)
        | LeaseEvent::GuaranteeRefused(_, _)
        | LeaseEvent::GuaranteeUnbacked(_)
        | LeaseEvent::WorkerRegistered(_)
        | LeaseEvent::WorkerLost(_)
        | LeaseEvent::WorkerQuarantined(_)
        | LeaseEvent::WorkerRestored(_) => log_capacity_event(event),
    }
}

fn log_capacity_event(event: &LeaseEvent) {
    match event {
        LeaseEvent::GuaranteeAccepted(guarantee) => {
            log::info!(
                event = "guarantee_accepted", guarantee:% = guarantee;
                "guarantee {guarantee} is in force"
            );
        }
        LeaseEvent::GuaranteeRefused(guarantee, refusal) => {
            log::info!(
                event = "guarantee_refused", guarantee:% = guarantee;
                "guarantee {guarantee} was refused: {refusal}"
            );
        }
        LeaseEvent::GuaranteeUnbacked(guarantee) => {
            log::error!(
                event = "guarantee_unbacked", guarantee:% = guarantee;
                "the remaining workers cannot back all shapes of guarantee {guarantee}; \
                 restore lost or quarantined workers"
            );
        }
        LeaseEvent::WorkerRegistered(worker) => {
            log::info!(
                event = "worker_registered", worker:% = worker;
                "worker {worker} registered"
            );
        }
        LeaseEvent::WorkerLost(worker) => {
            log::warn!(
                event = "worker_lost", worker:% = worker;
                "the lease of worker {worker} has expired; its tasks are lost"
            );
        }
        LeaseEvent::WorkerQuarantined(worker) => {
            log::warn!(
                event = "worker_quarantined", worker:% = worker;
                "worker {worker} failed several jobs and gets only probe jobs; check the worker"
            );
        }
        LeaseEvent::WorkerRestored(worker) => {
            log::info!(
                event = "worker_restored", worker:% = worker;
                "worker {worker} leaves quarantine and gets jobs again"
            );
        }
        _ => {}
    }
}
