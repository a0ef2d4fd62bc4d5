//! Log lines for what happened to jobs, guarantees and workers, one stable event name each.

use yuccatack_leases::LeaseEvent;

/// Logs one event.
pub fn log_event(event: &LeaseEvent) {
    match event {
        LeaseEvent::JobAccepted(job) => {
            log::info!(event = "job_accepted", job:% = job; "job {job} waits");
        }
        LeaseEvent::JobRefused(job, refusal) => {
            log::info!(event = "job_refused", job:% = job; "job {job} is refused: {refusal}");
        }
        LeaseEvent::AttemptBegan(job, epoch) => {
            log::info!(event = "attempt_began", job:% = job; "attempt {epoch} of {job} is placed");
        }
        LeaseEvent::AttemptRefused(job, epoch) => {
            log::debug!(
                event = "attempt_outdated", job:% = job;
                "the placement of attempt {epoch} of {job} was out of date and changed nothing"
            );
        }
        LeaseEvent::AttemptStarted(job, epoch) => {
            log::info!(event = "attempt_started", job:% = job; "attempt {epoch} of {job} starts");
        }
        LeaseEvent::AttemptStopping(job, epoch, reason) => {
            log::info!(
                event = "attempt_stopping", job:% = job;
                "attempt {epoch} of {job} leaves its workers: {reason:?}"
            );
        }
        LeaseEvent::AttemptReleased(job, epoch) => {
            log::info!(
                event = "attempt_released", job:% = job;
                "attempt {epoch} of {job} holds nothing any more"
            );
        }
        LeaseEvent::JobRequeued(job) => {
            log::info!(event = "job_requeued", job:% = job; "job {job} waits again");
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
                "guarantee {guarantee} is refused: {refusal}"
            );
        }
        LeaseEvent::GuaranteeUnbacked(guarantee) => {
            log::error!(
                event = "guarantee_unbacked", guarantee:% = guarantee;
                "lost capacity leaves guarantee {guarantee} without a place; bring workers back"
            );
        }
        LeaseEvent::WorkerRegistered(worker) => {
            log::info!(event = "worker_registered", worker:% = worker; "worker {worker} joined");
        }
        LeaseEvent::WorkerLost(worker) => {
            log::warn!(
                event = "worker_lost", worker:% = worker;
                "the lease of worker {worker} has ended"
            );
        }
        LeaseEvent::WorkerQuarantined(worker) => {
            log::warn!(
                event = "worker_quarantined", worker:% = worker;
                "worker {worker} failed several jobs and gets only probes; check it"
            );
        }
        LeaseEvent::WorkerRestored(worker) => {
            log::info!(
                event = "worker_restored", worker:% = worker;
                "worker {worker} ran a job and gets work again"
            );
        }
        _ => {}
    }
}
