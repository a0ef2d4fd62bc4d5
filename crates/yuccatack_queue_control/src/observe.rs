//! Log lines and metrics of committed commands, written by the leader.

use std::collections::BTreeSet;

use yuccatack_core::JobName;
use yuccatack_dispatch::{Refusal, TableChange};
use yuccatack_replication::LogIndex;
use yuccatack_runs::{JobPhase, JobSubmission, RunEnd, RunOutcome};
use yuccatack_telemetry::Metrics;
use yuccatack_telemetry::metrics::RunEndKind;

use crate::actor::PendingProposal;
use crate::calls::{CallSubject, NewJob};
use crate::command::Command;
use crate::run_lines::RunLines;
use crate::state::{Applied, QueueState};

/// Logs a command that is about to be applied to `state`. Returns the unfinished jobs that the
/// command may end.
pub(crate) fn log_before_apply(
    command: &Command,
    state: &QueueState,
    index: LogIndex,
    metrics: &Metrics,
) -> BTreeSet<JobName> {
    let mut unfinished = BTreeSet::new();
    match command {
        Command::Submit(submission) => log::info!(
            event = "job_stored", job = submission.name.as_str(),
            queue = submission.queue.as_str(), priority = submission.priority,
            steps:% = submission.spec, index = index.get(),
            configuration = state.configuration.version().get();
            "a submitted job is stored and will be scheduled"
        ),
        Command::Change { changes, .. } => {
            let mut ends = RunLines::new();
            for change in changes {
                let run = match change {
                    TableChange::End(end) => &end.run,
                    TableChange::CompleteLate(run) => run,
                    TableChange::Begin(_) | TableChange::AcknowledgeEnds(..) => continue,
                };
                match (change, state.jobs.open_runs().get(run)) {
                    (TableChange::End(end), Some(open)) => {
                        ends.add(run, format!("{:?}", end.outcome), &open.incarnation.node);
                        count_end(end, metrics);
                    }
                    (TableChange::CompleteLate(_), _) if state.jobs.may_complete_late(run) => {
                        log::info!(
                            event = "task_completed_late", run:% = run, index = index.get();
                            "a run that was given up had ended on its worker; its task is complete \
                             and does not begin again"
                        );
                    }
                    _ => {}
                }
                let job = &run.task.job;
                if state.jobs.job(job).is_some_and(|job| !job.phase.is_final()) {
                    unfinished.insert(job.clone());
                }
            }
            ends.for_each(|runs, outcome, count, tasks| {
                log::info!(
                    event = "run_ended", run:% = runs, outcome = outcome.as_str(), count = count,
                    tasks = tasks, index = index.get();
                    "runs of the step have ended and their outcome is stored"
                );
            });
        }
        Command::Cancel { .. }
        | Command::Configure(_)
        | Command::RemoveEnded(_)
        | Command::Evacuate { .. }
        | Command::Readmit { .. }
        | Command::StoreSpeeds { .. } => {}
    }
    unfinished
}

fn count_end(end: &RunEnd, metrics: &Metrics) {
    metrics.queues.count_run_end(match end.outcome {
        RunOutcome::Done => RunEndKind::Done,
        RunOutcome::Failed => RunEndKind::Failed,
        RunOutcome::Stopped => RunEndKind::Stopped,
        RunOutcome::Lapsed => RunEndKind::Lapsed,
        RunOutcome::Broken | RunOutcome::Alone => RunEndKind::Broken,
        RunOutcome::NeverBegan => RunEndKind::NeverBegan,
        RunOutcome::WorkerLost => RunEndKind::WorkerLost,
    });
}

/// Logs the name under which a job will be stored because another job has the name that its caller
/// chose.
pub(crate) fn log_derived_name(job: &NewJob) {
    log::info!(
        event = "job_name_derived", job = job.submission.name.as_str(),
        called = job.called.as_str(), queue = job.submission.queue.as_str();
        "another caller's job has the name, so this job is stored under a derived one"
    );
}

/// Logs that a job was not stored.
pub(crate) fn log_refusal(submission: &JobSubmission, refusal: &Refusal) {
    log::info!(
        event = "job_refused", job = submission.name.as_str(), queue = submission.queue.as_str(),
        priority = submission.priority, steps:% = submission.spec, cause:? = refusal.cause,
        retry_after_ms = refusal.retry_after_ms.get();
        "a submitted job was refused and does not run; its caller may try again later"
    );
}

/// Logs that a job was not stored because the stored jobs take too much of the disk.
pub(crate) fn log_too_many_stored_bytes(
    submission: &JobSubmission,
    stored_bytes: u64,
    limit_bytes: u64,
) {
    log::info!(
        event = "job_refused", job = submission.name.as_str(), queue = submission.queue.as_str(),
        priority = submission.priority, steps:% = submission.spec, cause = "StoredBytes",
        stored_bytes = stored_bytes, limit_bytes = limit_bytes;
        "a submitted job was refused and does not run: the stored jobs take the part of the disk \
         that is meant for them"
    );
}

/// Logs that the replicated log refused a proposal for lack of space, so that nothing was stored.
pub(crate) fn log_refused_proposal(pending: &PendingProposal) {
    let (proposal, subject) = match pending {
        PendingProposal::Call(CallSubject::Cancellation(name), _) => {
            ("cancellation", name.to_string())
        }
        PendingProposal::Call(CallSubject::Configuration(version), _) => {
            ("configuration", version.to_string())
        }
        PendingProposal::Call(CallSubject::Evacuation(order), _) => (
            if order.evacuated { "evacuation" } else { "readmission" },
            order.data_centre.to_string(),
        ),
        PendingProposal::Submission(job, _) => ("submission", job.submission.name.to_string()),
        PendingProposal::Changes => ("table_changes", String::new()),
        PendingProposal::Housekeeping => ("removal", String::new()),
        PendingProposal::Speeds => ("machine_speeds", String::new()),
    };
    log::warn!(
        event = "proposal_refused", proposal = proposal, subject = subject.as_str(),
        cause = "no_space";
        "the {proposal} was not stored: the disks of a quorum are full or nearly full, or too much \
         waits to be written to them"
    );
}

/// Logs the result of a command that was applied. `state` is the state after it, and `unfinished`
/// is the return value of [`log_before_apply`].
pub(crate) fn log_after_apply(
    command: &Command,
    applied: Applied,
    unfinished: &BTreeSet<JobName>,
    state: &QueueState,
    index: LogIndex,
) {
    match (command, applied) {
        (Command::Cancel { name, .. }, Applied::Cancelled(outcome)) => log::info!(
            event = "job_cancelled", job = name.as_str(), outcome:? = outcome, index = index.get();
            "a request to cancel the job was applied"
        ),
        (Command::Configure(configuration), Applied::Configured(acceptance)) => log::info!(
            event = "configuration_in_force", version = configuration.version.get(),
            outcome:? = acceptance, index = index.get();
            "a submitted configuration was put in force, or a version at least as high already was"
        ),
        (Command::Evacuate { data_centre }, Applied::Evacuated { changed: true }) => log::warn!(
            event = "evacuation_began", data_centre = data_centre.as_str(), index = index.get();
            "an operator evacuates the data centre: nothing more starts there, and what runs there \
             continues"
        ),
        (Command::Readmit { data_centre }, Applied::Evacuated { changed: true }) => log::info!(
            event = "evacuation_ended", data_centre = data_centre.as_str(), index = index.get();
            "an operator withdrew the evacuation of the data centre: work starts there again"
        ),
        (Command::Change { .. }, _) => {
            for name in unfinished {
                let Some(job) = state.jobs.job(name) else { continue };
                if matches!(job.phase, JobPhase::Completed | JobPhase::Failed) {
                    log::info!(
                        event = "job_ended", job = name.as_str(), phase:? = job.phase,
                        index = index.get();
                        "a job has ended and starts no more runs"
                    );
                }
            }
        }
        _ => {}
    }
}
