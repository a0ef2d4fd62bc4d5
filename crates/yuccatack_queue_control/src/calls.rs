//! What a confirmed call means: an answer at once, or a command for the log.

use std::sync::Arc;

use yuccatack_core::{DurationMs, JobName};
use yuccatack_queue_client::protocol::{CallTarget, Request, Response};
use yuccatack_queues::Access;
use yuccatack_runs::{CancelOutcome, JobSpec, JobSubmission};

use crate::command::Command;
use crate::state::{Applied, QueueState};

/// How many jobs are stored at most. A stored job takes some kilobytes, and control has a few
/// hundred megabytes.
const JOB_LIMIT_COUNT: usize = 20_000;

/// When a caller comes back after it was refused for want of room; jobs last some seconds.
const FULL_RETRY: DurationMs = DurationMs::new(2_000);

/// What a call leads to.
#[derive(Debug)]
pub(crate) enum Plan {
    Answer(Response),
    Propose(Command),
}

/// Decides on a call by a state that is known to be the newest.
pub(crate) fn plan(state: &QueueState, request: Request, now_unix_ms: u64) -> Plan {
    match request {
        Request::Submit(target, spec) => plan_submit(state, &target, *spec, now_unix_ms),
        Request::Read(target) => Plan::Answer(read(state, &target)),
        Request::Cancel(target) => plan_cancel(state, &target, now_unix_ms),
        Request::Configure(configuration) => match configuration.validate() {
            Ok(()) => Plan::Propose(Command::Configure(configuration)),
            Err(problem) => Plan::Answer(invalid(&problem)),
        },
        Request::ReadConfiguration => {
            let document = state.configuration.current().map(|held| Arc::clone(&held.document));
            Plan::Answer(Response::Configuration(document))
        }
        Request::Join { .. } => Plan::Answer(Response::Joined),
        Request::Ping => Plan::Answer(Response::Pong),
    }
}

/// What a committed command answers its caller.
pub(crate) fn answer(applied: Applied) -> Response {
    match applied {
        Applied::Submitted(_) => Response::Accepted,
        Applied::Cancelled(CancelOutcome::NotFound) => Response::NoSuchJob,
        Applied::Cancelled(CancelOutcome::Cancelled | CancelOutcome::AlreadyEnded) => {
            Response::Cancelled
        }
        Applied::Configured(acceptance) => Response::Configured(acceptance),
        Applied::Changed => Response::Pong,
    }
}

fn invalid<Problem>(problem: &Problem) -> Response
where
    Problem: ToString,
{
    Response::Invalid(Arc::from(problem.to_string()))
}

/// The queue that a call addresses and the job that it names.
fn job_of<'a>(
    state: &'a QueueState,
    target: &'a CallTarget,
) -> Result<(Access<'a>, JobName), Response> {
    let access = state
        .configuration
        .authorise(&target.host, &target.path, target.key.as_ref())
        .map_err(Response::Denied)?;
    let name = JobName::new(access.remainder).map_err(|problem| invalid(&problem))?;
    Ok((access, name))
}

fn plan_submit(state: &QueueState, target: &CallTarget, spec: JobSpec, now_unix_ms: u64) -> Plan {
    let (access, name) = match job_of(state, target) {
        Ok(found) => found,
        Err(refusal) => return Plan::Answer(refusal),
    };
    if state.jobs.job(&name).is_some() {
        return Plan::Answer(Response::Accepted);
    }
    if let Err(problem) = spec.validate() {
        return Plan::Answer(invalid(&problem));
    }
    if state.jobs.jobs().count() >= JOB_LIMIT_COUNT {
        return Plan::Answer(Response::Busy { retry_after_ms: FULL_RETRY });
    }
    let queue = access.queue;
    Plan::Propose(Command::Submit(Box::new(JobSubmission {
        name,
        queue: queue.name.clone(),
        service: queue.service.clone(),
        organisation: access.organisation.cloned(),
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        stretch: queue.stretch,
        allowance_ms: queue.allowance_ms,
        accepted_at_unix_ms: now_unix_ms,
        spec,
    })))
}

fn plan_cancel(state: &QueueState, target: &CallTarget, now_unix_ms: u64) -> Plan {
    let name = match job_of(state, target) {
        Ok((_, name)) => name,
        Err(refusal) => return Plan::Answer(refusal),
    };
    match state.jobs.job(&name) {
        None => Plan::Answer(Response::NoSuchJob),
        Some(job) if job.phase.is_final() => Plan::Answer(Response::Cancelled),
        Some(_) => Plan::Propose(Command::Cancel { name, now_unix_ms }),
    }
}

fn read(state: &QueueState, target: &CallTarget) -> Response {
    let access = state.configuration.authorise(&target.host, &target.path, target.key.as_ref());
    let access = match access {
        Ok(access) => access,
        Err(refusal) => return Response::Denied(refusal),
    };
    if access.remainder.is_empty() {
        let count = state.jobs.waiting_count(&access.queue.name);
        return Response::Waiting(u64::try_from(count).unwrap_or(u64::MAX));
    }
    let job = JobName::new(access.remainder).ok().and_then(|name| state.jobs.job(&name));
    job.map_or(Response::NoSuchJob, |job| Response::Job(job.phase))
}
