//! Plans calls whose read was confirmed: each gets a response at once or proposes a command.

use std::sync::Arc;

use yuccatack_core::{DataCentreName, DurationMs, JobName};
use yuccatack_queue_client::protocol::{CallTarget, Request, Response};
use yuccatack_queues::{Acceptance, Access, Configuration, ConfigurationVersion, EvacuationStore};
use yuccatack_replication::{ProposalId, ReplicaId};
use yuccatack_runs::{CancelOutcome, JobSpec, JobSubmission};

use crate::command::Command;
use crate::job_names::{find_job, free_name, is_of_queue, job_origin};
use crate::state::{Applied, ENDED_JOB_RETENTION, QueueState};

/// Maximum number of stored jobs. A stored job takes some kilobytes, and the control process has a
/// few hundred megabytes of memory.
const JOB_LIMIT_COUNT: usize = 20_000;

/// Retry delay of a submission that is refused because [`JOB_LIMIT_COUNT`] is reached. Jobs last
/// some seconds, so an earlier retry would rarely succeed.
const JOB_LIMIT_RETRY_DELAY: DurationMs = DurationMs::new(2_000);

/// Shortest delay after which the caller of a change that no disk can take may try again. Space is
/// freed by an operator, or within seconds by a compaction.
const NO_SPACE_RETRY_DELAY: DurationMs = DurationMs::new(2_000);

/// Number of delays, each a second longer than the one before, over which callers are spread. The
/// header of the response states whole seconds.
const NO_SPACE_RETRY_DELAY_COUNT: u64 = 3;

/// Outcome of planning a call.
#[derive(Debug)]
pub(crate) enum Plan {
    Respond(Response),
    Propose(CallSubject, Command),
    /// Stores a new job if the dispatcher admits it.
    Submit(Box<NewJob>),
    /// Begins or ends an evacuation, unless that order is in force.
    Evacuate(EvacuationOrder),
    /// Responds with the progress of the replica's replacement.
    LeaveGroup(ReplicaId),
}

/// Subject of a call that changes the state without storing a job.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum CallSubject {
    /// Cancellation of the job that is stored under this name.
    Cancellation(JobName),
    Configuration(ConfigurationVersion),
    Evacuation(EvacuationOrder),
}

/// Order of an operator that concerns the evacuation of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct EvacuationOrder {
    pub data_centre: DataCentreName,
    /// `true` if nothing more is to start in the data centre, `false` if the evacuation ends.
    pub evacuated: bool,
}

impl EvacuationOrder {
    /// Returns `true` if the order holds, so that it needs no entry in the log.
    pub fn is_in_force(&self, evacuations: &EvacuationStore) -> bool {
        evacuations.contains(&self.data_centre) == self.evacuated
    }
}

impl From<EvacuationOrder> for Command {
    fn from(order: EvacuationOrder) -> Self {
        let EvacuationOrder { data_centre, evacuated } = order;
        if evacuated { Self::Evacuate { data_centre } } else { Self::Readmit { data_centre } }
    }
}

/// New job that is to be stored.
#[derive(Debug)]
pub(crate) struct NewJob {
    /// Name that the caller chose. The submission has the name under which the job is stored.
    pub called: JobName,
    pub submission: JobSubmission,
}

/// Plans a call; `state` must include every command that was committed before the call arrived.
pub(crate) fn plan(state: &QueueState, request: Request, now_unix_ms: u64) -> Plan {
    match request {
        Request::Submit(target, spec) => plan_submit(state, &target, *spec, now_unix_ms),
        Request::Read(target) => Plan::Respond(read(state, &target)),
        Request::Cancel(target) => plan_cancel(state, &target, now_unix_ms),
        Request::Configure(configuration) => match configuration.validate() {
            Ok(()) => plan_configure(state, configuration),
            Err(error) => Plan::Respond(invalid(&error)),
        },
        Request::ReadConfiguration => {
            let document =
                state.configuration.current().map(|current| Arc::clone(&current.document));
            Plan::Respond(Response::Configuration(document))
        }
        Request::Join { .. } => Plan::Respond(Response::Joined),
        Request::Leave { replica_id } => Plan::LeaveGroup(ReplicaId::new(replica_id)),
        Request::Ping => Plan::Respond(Response::Pong),
        Request::Evacuate { data_centre } => plan_evacuate(state, data_centre),
        Request::Readmit { data_centre } => {
            Plan::Evacuate(EvacuationOrder { data_centre, evacuated: false })
        }
        Request::ReadEvacuations => Plan::Respond(evacuations(state)),
    }
}

/// Returns the response to an operator whose order holds or who asks for the evacuations.
pub(crate) fn evacuations(state: &QueueState) -> Response {
    Response::Evacuations(state.evacuations.iter().cloned().collect())
}

fn plan_evacuate(state: &QueueState, data_centre: DataCentreName) -> Plan {
    if state.evacuations.is_full() && !state.evacuations.contains(&data_centre) {
        let detail = format!(
            "cannot evacuate `{data_centre}`: {} data centres are evacuated already; withdraw an \
             evacuation first",
            state.evacuations.count()
        );
        return Plan::Respond(Response::Invalid(Arc::from(detail)));
    }
    Plan::Evacuate(EvacuationOrder { data_centre, evacuated: true })
}

/// Returns the response to the caller of a committed command. `state` is the state after it.
pub(crate) fn response_for(applied: Applied, state: &QueueState) -> Response {
    match applied {
        Applied::Submitted(_) => Response::Accepted,
        Applied::Cancelled(CancelOutcome::NotFound) => Response::NoSuchJob,
        Applied::Cancelled(CancelOutcome::Cancelled | CancelOutcome::AlreadyEnded) => {
            Response::Cancelled
        }
        Applied::Configured(acceptance) => Response::Configured(acceptance),
        Applied::Evacuated { .. } => evacuations(state),
        Applied::Changed => Response::Pong,
    }
}

/// Returns the response to a submission whose possible names are all taken. The earliest name is
/// free again when the retention period of an ended job is over.
pub(crate) fn no_free_name() -> Response {
    Response::Busy { retry_after_ms: ENDED_JOB_RETENTION }
}

/// Returns the response to a call whose proposal was refused for lack of space.
///
/// If an equal call is in flight, the change may take effect after all, so the caller must not learn
/// that nothing was done.
pub(crate) fn no_space(proposal: ProposalId, is_in_flight: bool) -> Response {
    if is_in_flight {
        return Response::Unknown;
    }
    // Equal sequences of calls use up equally many IDs each, so the ID itself may not spread them.
    let hash = proposal.get().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let longer_ms = 1_000 * (hash % NO_SPACE_RETRY_DELAY_COUNT);
    Response::Busy { retry_after_ms: NO_SPACE_RETRY_DELAY + DurationMs::new(longer_ms) }
}

/// Returns the response to a submission for which too many bytes of jobs are stored.
pub(crate) fn too_many_stored_bytes() -> Response {
    Response::Busy { retry_after_ms: JOB_LIMIT_RETRY_DELAY }
}

fn invalid<Error>(error: &Error) -> Response
where
    Error: ToString,
{
    Response::Invalid(Arc::from(error.to_string()))
}

/// Resolves the queue and the job that a call addresses, and checks the caller's access.
fn resolve_target<'a>(
    state: &'a QueueState,
    target: &'a CallTarget,
) -> Result<(Access<'a>, JobName), Response> {
    let access = state
        .configuration
        .authorise(&target.host, &target.path, target.key.as_ref())
        .map_err(Response::Denied)?;
    let name = JobName::new(access.remainder).map_err(|error| invalid(&error))?;
    Ok((access, name))
}

fn plan_submit(state: &QueueState, target: &CallTarget, spec: JobSpec, now_unix_ms: u64) -> Plan {
    let (access, name) = match resolve_target(state, target) {
        Ok(found) => found,
        Err(refusal) => return Plan::Respond(refusal),
    };
    if find_job(state, &access, &name).is_some() {
        return Plan::Respond(Response::Accepted);
    }
    if let Err(error) = spec.validate() {
        return Plan::Respond(invalid(&error));
    }
    if state.jobs.jobs().count() >= JOB_LIMIT_COUNT {
        return Plan::Respond(Response::Busy { retry_after_ms: JOB_LIMIT_RETRY_DELAY });
    }
    let queue = access.queue;
    let Some(stored_name) = free_name(state, &queue.name, &name) else {
        return Plan::Respond(no_free_name());
    };
    let submission = JobSubmission {
        name: stored_name,
        queue: queue.name.clone(),
        service: queue.service.clone(),
        organisation: access.organisation.cloned(),
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        stretch: queue.stretch,
        allowance_ms: queue.allowance_ms,
        accepted_at_unix_ms: now_unix_ms,
        origin: Some(job_origin(queue, Some(name.clone()))),
        spec,
    };
    Plan::Submit(Box::new(NewJob { called: name, submission }))
}

/// A version that is not higher than the one in force changes nothing, so it is acknowledged without
/// a log entry and also while disks are full.
fn plan_configure(state: &QueueState, configuration: Arc<Configuration>) -> Plan {
    let by = state.configuration.version();
    if state.configuration.current().is_some() && by >= configuration.version {
        return Plan::Respond(Response::Configured(Acceptance::Superseded { by }));
    }
    let subject = CallSubject::Configuration(configuration.version);
    Plan::Propose(subject, Command::Configure(configuration))
}

fn plan_cancel(state: &QueueState, target: &CallTarget, now_unix_ms: u64) -> Plan {
    let (access, name) = match resolve_target(state, target) {
        Ok(found) => found,
        Err(refusal) => return Plan::Respond(refusal),
    };
    match find_job(state, &access, &name) {
        None => Plan::Respond(Response::NoSuchJob),
        Some(job) if job.phase.is_final() => Plan::Respond(Response::Cancelled),
        Some(job) => {
            let name = job.submission.name.clone();
            let subject = CallSubject::Cancellation(name.clone());
            Plan::Propose(subject, Command::Cancel { name, now_unix_ms })
        }
    }
}

fn read(state: &QueueState, target: &CallTarget) -> Response {
    let access = state.configuration.authorise(&target.host, &target.path, target.key.as_ref());
    let access = match access {
        Ok(access) => access,
        Err(refusal) => return Response::Denied(refusal),
    };
    if access.remainder.is_empty() {
        let is_in_queue = |submission: &JobSubmission| is_of_queue(submission, access.queue);
        let count = state.jobs.waiting_count(is_in_queue);
        return Response::Waiting(u64::try_from(count).unwrap_or(u64::MAX));
    }
    let name = JobName::new(access.remainder).ok();
    let job = name.and_then(|name| find_job(state, &access, &name));
    job.map_or(Response::NoSuchJob, |job| Response::Job(job.phase))
}
