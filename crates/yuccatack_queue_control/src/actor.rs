//! Control actor, which owns the replicated state and the leader's unreplicated state.

use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc, oneshot};
use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};
use yuccatack_dispatch::{AgentMessage, DispatchSettings, Dispatcher, PendingChanges};
use yuccatack_queue_client::protocol::{LeaderFrame, LeaderHint, Request, Response};
use yuccatack_replication::{
    Committed, Leadership, LogIndex, ProposalFailure, ProposalId, ReadFailure, ReadId, ReplicaId,
    ReplicationHandle, decode, encode,
};
use yuccatack_telemetry::Metrics;

use crate::agents::Agents;
use crate::calls::{
    CallSubject, EvacuationOrder, NewJob, Plan, evacuations, no_free_name, no_space, plan,
    response_for, too_many_stored_bytes,
};
use crate::command::Command;
use crate::job_names::{free_name, is_same_job, is_stored};
use crate::membership::leave_progress;
use crate::message::{ControlMessage, MemberRequest};
use crate::observe::{
    log_after_apply, log_before_apply, log_derived_name, log_refusal, log_refused_proposal,
    log_too_many_stored_bytes,
};
use crate::state::{Applied, QueueState, REMOVAL_LIMIT_COUNT};
use crate::stored_bytes::{
    begun_occurrence_bytes, job_bytes, stored_limit_bytes, submission_bytes,
};

/// Interval of heartbeats to agents. An agent closes its stream after about three missed ones.
const AGENT_HEARTBEAT_INTERVAL: DurationMs = DurationMs::new(250);

/// Interval at which the leader removes ended jobs whose retention period is over.
const JOB_REMOVAL_INTERVAL: DurationMs = DurationMs::new(30_000);

/// Interval of batches of [`REMOVAL_LIMIT_COUNT`] jobs while further ones wait for their removal.
const FULL_BATCH_REMOVAL_INTERVAL: DurationMs = DurationMs::new(1_000);

/// Interval at which the leader adds up the bytes of all stored jobs.
const STORED_BYTES_INTERVAL: DurationMs = DurationMs::new(1_000);

/// Pause after a batch of table changes that was refused for lack of space. Scheduling passes come
/// every few milliseconds, and space is freed within seconds at best.
const CHANGES_RETRY_DELAY: DurationMs = DurationMs::new(250);

/// Continuation of a proposal once it is committed or has failed.
pub(crate) enum PendingProposal {
    Call(CallSubject, oneshot::Sender<Response>),
    /// A job is being stored.
    Submission(Box<NewJob>, oneshot::Sender<Response>),
    /// A batch of table changes; no other batch is proposed until this one completes.
    Changes,
    Housekeeping,
    /// A batch of estimates of machine speeds.
    Speeds,
}

/// Continuation of a read once a quorum has confirmed the leadership.
pub(crate) enum PendingRead {
    Call(Request, oneshot::Sender<Response>),
    /// Allows leases based on reports that arrived no later than `began_at`.
    Leases {
        began_at: TimestampMs,
    },
}

pub(crate) struct ControlActor;

pub(crate) struct ControlArguments {
    pub replication: ReplicationHandle,
    pub settings: DispatchSettings,
    pub member_requests: mpsc::Sender<MemberRequest>,
    pub metrics: Metrics,
    /// Size of the disk that holds the data folder.
    pub disk_capacity_bytes: u64,
}

pub(crate) struct ControlState {
    pub(crate) replication: ReplicationHandle,
    pub(crate) settings: DispatchSettings,
    pub(crate) member_requests: mpsc::Sender<MemberRequest>,
    pub(crate) metrics: Metrics,
    pub(crate) started_at: Instant,
    pub(crate) queue_state: QueueState,
    pub(crate) applied_index: LogIndex,
    /// Address of another replica that leads, if known.
    pub(crate) leader_address: Option<SocketAddr>,
    /// Present only while this replica leads.
    pub(crate) dispatcher: Option<Dispatcher>,
    pub(crate) agents: Agents,
    pub(crate) proposals: FastHashMap<ProposalId, PendingProposal>,
    pub(crate) reads: FastHashMap<ReadId, PendingRead>,
    /// Last ID given to a proposal or a read.
    pub(crate) last_id: u64,
    /// Table changes of the current leadership that are not known to be committed.
    pub(crate) pending_changes: PendingChanges<ProposalId>,
    /// Time before which no table changes are proposed.
    pub(crate) changes_paused_until: TimestampMs,
    /// Estimated bytes of the stored jobs and of those that are being stored; only for the leader.
    pub(crate) stored_bytes: u64,
    pub(crate) stored_limit_bytes: u64,
    pub(crate) stored_bytes_at: TimestampMs,
    pub(crate) schedule_requested: bool,
    /// `true` if the job table or a worker changed since the last scheduling pass.
    pub(crate) changed_since_pass: bool,
    pub(crate) scheduled_at: TimestampMs,
    /// Time before which no scheduling pass starts, so that other messages are handled first.
    pub(crate) paused_until: TimestampMs,
    /// `true` while a [`PendingRead::Leases`] is in flight.
    pub(crate) lease_read_pending: bool,
    pub(crate) lease_read_at: TimestampMs,
    pub(crate) jobs_removed_at: TimestampMs,
    /// Time until the next search for ended jobs whose retention period is over.
    pub(crate) job_removal_interval: DurationMs,
    pub(crate) speeds_stored_at: TimestampMs,
    pub(crate) agent_heartbeat_at: TimestampMs,
    pub(crate) drain_replies: Vec<oneshot::Sender<()>>,
}

impl Actor for ControlActor {
    type Msg = ControlMessage;
    type State = ControlState;
    type Arguments = ControlArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<ControlMessage>,
        arguments: ControlArguments,
    ) -> Result<ControlState, ActorProcessingErr> {
        let ControlArguments {
            replication,
            settings,
            member_requests,
            metrics,
            disk_capacity_bytes,
        } = arguments;
        Ok(ControlState {
            replication,
            settings,
            member_requests,
            metrics,
            started_at: Instant::now(),
            queue_state: QueueState::default(),
            applied_index: LogIndex::default(),
            leader_address: None,
            dispatcher: None,
            agents: Agents::default(),
            proposals: FastHashMap::default(),
            reads: FastHashMap::default(),
            last_id: 0,
            pending_changes: PendingChanges::new(TimestampMs::default()),
            changes_paused_until: TimestampMs::default(),
            stored_bytes: 0,
            stored_limit_bytes: stored_limit_bytes(disk_capacity_bytes),
            stored_bytes_at: TimestampMs::default(),
            schedule_requested: false,
            changed_since_pass: false,
            scheduled_at: TimestampMs::default(),
            paused_until: TimestampMs::default(),
            lease_read_pending: false,
            lease_read_at: TimestampMs::default(),
            jobs_removed_at: TimestampMs::default(),
            job_removal_interval: JOB_REMOVAL_INTERVAL,
            speeds_stored_at: TimestampMs::default(),
            agent_heartbeat_at: TimestampMs::default(),
            drain_replies: Vec::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<ControlMessage>,
        message: ControlMessage,
        state: &mut ControlState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ControlMessage::Committed(item) => state.on_committed(item)?,
            ControlMessage::Call { request, reply } => state.on_call(request, reply),
            ControlMessage::AgentConnected { stream, node, frames } => {
                match &mut state.dispatcher {
                    Some(dispatcher) => {
                        log::info!(
                            event = "agent_attached", agent = node.as_str();
                            "an agent attached to this leader"
                        );
                        dispatcher.connect(&node);
                        state.agents.connect(node, stream, frames, dispatcher.token());
                    }
                    None => {
                        let hint = state.leader_hint();
                        // The agent may have closed the stream already.
                        let _ = frames.try_send(LeaderFrame::NotLeader(hint));
                    }
                }
            }
            ControlMessage::AgentReport { stream, node, message } => {
                let now = state.now();
                if state.agents.is_current(&node, stream)
                    && let Some(dispatcher) = &mut state.dispatcher
                {
                    // Most observations change nothing, so they do not trigger a scheduling pass.
                    let is_observation = matches!(message, AgentMessage::Observed(_));
                    let changes =
                        dispatcher.on_message(&node, message, &state.queue_state.jobs, now);
                    state.changed_since_pass |= !is_observation || !changes.is_empty();
                    state.pending_changes.report(changes);
                }
            }
            ControlMessage::AgentDisconnected { stream, node } => {
                if state.agents.is_current(&node, stream) {
                    log::warn!(
                        event = "agent_detached", agent = node.as_str();
                        "an agent's stream ended; it gets no orders until it attaches again"
                    );
                    state.agents.disconnect(&node);
                    if let Some(dispatcher) = &mut state.dispatcher {
                        dispatcher.disconnect(&node);
                    }
                }
            }
            ControlMessage::Schedule => return state.schedule(),
            ControlMessage::Tick => state.on_tick()?,
            ControlMessage::Drain { reply } => state.drain_replies.push(reply),
        }
        state.reply_to_drains();
        if state.schedule_is_due() && !state.schedule_requested {
            // The mailbox is ordered, so one scheduling pass covers every message queued now.
            state.schedule_requested = myself.cast(ControlMessage::Schedule).is_ok();
        }
        Ok(())
    }
}

impl ControlState {
    pub(crate) fn now(&self) -> TimestampMs {
        TimestampMs::default() + DurationMs::from(self.started_at.elapsed())
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn leader_hint(&self) -> LeaderHint {
        let status = self.replication.status();
        let status = status.borrow();
        let members = status.voters.values().copied();
        let members = members.chain(status.learners.values().map(|learner| learner.address));
        LeaderHint { leader: self.leader_address, members: members.collect() }
    }

    fn on_call(&mut self, request: Request, reply: oneshot::Sender<Response>) {
        if self.dispatcher.is_none() {
            let hint = self.leader_hint();
            respond(reply, Response::NotLeader(hint));
            return;
        }
        let member_request = match request {
            Request::Join { replica_id, address } => {
                Some(MemberRequest::Join { replica: ReplicaId::new(replica_id), address })
            }
            Request::Leave { replica_id } => {
                Some(MemberRequest::Leave { replica: ReplicaId::new(replica_id) })
            }
            _ => None,
        };
        if let Some(member_request) = member_request {
            // A request that does not fit into the queue is dropped; the replica repeats it.
            let _ = self.member_requests.try_send(member_request);
        }
        let read = ReadId::new(self.next_id());
        self.reads.insert(read, PendingRead::Call(request, reply));
        self.replication.read(read);
    }

    fn on_committed(&mut self, item: Committed) -> Result<(), ActorProcessingErr> {
        match item {
            Committed::Entry { index, proposal, payload, .. } => {
                self.apply(index, proposal, &payload)?;
            }
            Committed::Snapshot { index, payload } => {
                if !payload.is_empty() {
                    self.queue_state = decode(&payload)?;
                }
                self.applied_index = index;
            }
            Committed::SnapshotRequested { index } => {
                // The entries between the last command and `index` do not change the state.
                self.replication.store_snapshot(index, Bytes::from(encode(&self.queue_state)?));
            }
            Committed::ProposalFailed { proposal, failure } => {
                self.on_proposal_failed(proposal, failure);
            }
            Committed::ReadReady { read } => self.on_read_ready(read)?,
            Committed::ReadFailed { read, failure } => {
                let ReadFailure::NotLeader { leader_address } = failure;
                match self.reads.remove(&read) {
                    Some(PendingRead::Call(_, reply)) => {
                        let hint = LeaderHint { leader: leader_address, ..self.leader_hint() };
                        respond(reply, Response::NotLeader(hint));
                    }
                    Some(PendingRead::Leases { .. }) => self.lease_read_pending = false,
                    None => {}
                }
            }
            Committed::Leadership(leadership) => self.on_leadership(leadership),
        }
        Ok(())
    }

    fn on_leadership(&mut self, leadership: Leadership) {
        // The next dispatcher returns the ends again that the table does not hold by then.
        self.pending_changes = PendingChanges::new(self.now());
        self.changes_paused_until = self.now();
        self.lease_read_pending = false;
        match leadership {
            Leadership::Leader { term } => {
                log::info!(
                    event = "lead_gained", term = term.get(),
                    configuration = self.queue_state.configuration.version().get(),
                    open_runs = self.queue_state.jobs.open_runs().len();
                    "this replica became the leader and schedules jobs"
                );
                let now = self.now();
                self.leader_address = None;
                self.add_up_stored_bytes(now);
                let mut dispatcher = Dispatcher::new(self.settings.clone(), term.get(), now);
                dispatcher.set_evacuations(&self.queue_state.evacuations, now);
                self.dispatcher = Some(dispatcher);
                self.restore_speeds(now);
            }
            Leadership::Follower { leader_address } => {
                self.leader_address = leader_address;
                if self.dispatcher.take().is_some() {
                    log::warn!(
                        event = "lead_lost";
                        "this replica lost the leadership and stops scheduling"
                    );
                }
                let hint = self.leader_hint();
                self.agents.close_all(&hint);
            }
        }
    }

    fn apply(
        &mut self,
        index: LogIndex,
        proposal: Option<ProposalId>,
        payload: &[u8],
    ) -> Result<(), ActorProcessingErr> {
        let command = decode::<Command>(payload)?;
        // Every replica applies the command; only the leader logs it.
        let is_leader = self.dispatcher.is_some();
        let logged = is_leader.then(|| {
            let unfinished = log_before_apply(&command, &self.queue_state, index, &self.metrics);
            let begun_bytes = begun_occurrence_bytes(&command, &self.queue_state.jobs);
            self.stored_bytes = self.stored_bytes.saturating_add(begun_bytes);
            (command.clone(), unfinished)
        });
        let applied = self.queue_state.apply(command);
        if matches!(applied, Applied::Evacuated { .. }) {
            let now = self.now();
            if let Some(dispatcher) = &mut self.dispatcher {
                dispatcher.set_evacuations(&self.queue_state.evacuations, now);
            }
        }
        if let Some((command, unfinished)) = &logged {
            self.on_speeds_applied(command);
            log_after_apply(command, applied, unfinished, &self.queue_state, index);
            self.metrics.queues.set_open_runs(self.queue_state.jobs.open_runs().len());
        }
        self.applied_index = index;
        self.changed_since_pass = true;
        let Some(proposal) = proposal else { return Ok(()) };
        match self.proposals.remove(&proposal) {
            Some(PendingProposal::Submission(job, reply))
                if !is_stored(&self.queue_state, &job.submission) =>
            {
                // A job of another caller took the name while this one was in flight.
                self.store_under_next_name(job, reply)?;
            }
            Some(PendingProposal::Call(_, reply) | PendingProposal::Submission(_, reply)) => {
                respond(reply, response_for(applied, &self.queue_state));
            }
            Some(PendingProposal::Changes) => self.pending_changes.on_committed(&proposal),
            Some(PendingProposal::Housekeeping | PendingProposal::Speeds) | None => {}
        }
        Ok(())
    }

    fn on_proposal_failed(&mut self, proposal: ProposalId, failure: ProposalFailure) {
        let Some(pending) = self.proposals.remove(&proposal) else { return };
        if failure == ProposalFailure::NoSpace {
            self.metrics.replication.count_refused_proposal();
            log_refused_proposal(&pending);
        }
        match pending {
            PendingProposal::Call(subject, reply) => {
                let is_in_flight = self.is_being_changed(&subject);
                respond(reply, self.failure_response(proposal, failure, is_in_flight));
            }
            PendingProposal::Submission(job, reply) => {
                let is_in_flight = self.is_being_stored(&job);
                respond(reply, self.failure_response(proposal, failure, is_in_flight));
            }
            PendingProposal::Changes => {
                self.pending_changes.on_failed(&proposal);
                if failure == ProposalFailure::NoSpace {
                    self.changes_paused_until = self.now() + CHANGES_RETRY_DELAY;
                }
            }
            PendingProposal::Housekeeping | PendingProposal::Speeds => {}
        }
    }

    fn failure_response(
        &self,
        proposal: ProposalId,
        failure: ProposalFailure,
        is_in_flight: bool,
    ) -> Response {
        match failure {
            ProposalFailure::NotLeader { leader_address } => {
                Response::NotLeader(LeaderHint { leader: leader_address, ..self.leader_hint() })
            }
            ProposalFailure::NoSpace => no_space(proposal, is_in_flight),
            ProposalFailure::Unknown => Response::Unknown,
        }
    }

    /// Returns `true` while another call with the same subject is in flight.
    fn is_being_changed(&self, subject: &CallSubject) -> bool {
        self.proposals
            .values()
            .any(|pending| matches!(pending, PendingProposal::Call(other, _) if other == subject))
    }

    /// Returns `true` while a proposal to store the same job is in flight.
    fn is_being_stored(&self, job: &NewJob) -> bool {
        self.proposals.values().any(|pending| match pending {
            PendingProposal::Submission(other, _) => {
                is_same_job(&self.queue_state, &other.submission, &job.submission)
            }
            _ => false,
        })
    }

    fn on_read_ready(&mut self, read: ReadId) -> Result<(), ActorProcessingErr> {
        match self.reads.remove(&read) {
            Some(PendingRead::Call(request, reply)) => {
                match plan(&self.queue_state, request, unix_now_ms()) {
                    Plan::Respond(response) => respond(reply, response),
                    Plan::Propose(subject, command) => {
                        self.propose(&command, PendingProposal::Call(subject, reply))?
                    }
                    Plan::Submit(job) => self.submit(job, reply)?,
                    Plan::Evacuate(order) => self.evacuate(order, reply)?,
                    Plan::LeaveGroup(replica) => {
                        let progress = leave_progress(&self.replication.status().borrow(), replica);
                        respond(reply, Response::Leaving(progress));
                    }
                }
            }
            Some(PendingRead::Leases { began_at }) => {
                self.lease_read_pending = false;
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.confirm_leadership(began_at);
                }
                self.changed_since_pass = true;
            }
            None => {}
        }
        Ok(())
    }

    /// Proposes an order for a data centre, unless it is in force and stays so. An order in flight may
    /// be one that the operator gave up and now reverses, so the later one needs an entry after it.
    fn evacuate(
        &mut self,
        order: EvacuationOrder,
        reply: oneshot::Sender<Response>,
    ) -> Result<(), ActorProcessingErr> {
        let is_in_flight = self.proposals.values().any(|pending| {
            matches!(
                pending,
                PendingProposal::Call(CallSubject::Evacuation(other), _)
                    if other.data_centre == order.data_centre
            )
        });
        if !is_in_flight && order.is_in_force(&self.queue_state.evacuations) {
            respond(reply, evacuations(&self.queue_state));
            return Ok(());
        }
        let command = Command::from(order.clone());
        self.propose(&command, PendingProposal::Call(CallSubject::Evacuation(order), reply))
    }

    /// Stores a job if the dispatcher admits it. A job that is being stored already must not be
    /// refused: it may run.
    fn submit(
        &mut self,
        job: Box<NewJob>,
        reply: oneshot::Sender<Response>,
    ) -> Result<(), ActorProcessingErr> {
        let submission = &job.submission;
        let is_being_stored = self.is_being_stored(&job);
        let added_bytes = submission_bytes(submission);
        if !is_being_stored
            && self.stored_bytes.saturating_add(added_bytes) > self.stored_limit_bytes
        {
            log_too_many_stored_bytes(submission, self.stored_bytes, self.stored_limit_bytes);
            respond(reply, too_many_stored_bytes());
            return Ok(());
        }
        if !is_being_stored && let Some(dispatcher) = &mut self.dispatcher {
            let QueueState { configuration, jobs, .. } = &self.queue_state;
            let admission = dispatcher.admit(submission, jobs, configuration, unix_now_ms());
            if let Err(refusal) = admission {
                log_refusal(submission, &refusal);
                let retry_after_ms = refusal.retry_after_ms;
                respond(reply, Response::Busy { retry_after_ms });
                return Ok(());
            }
        }
        self.store(job, reply)
    }

    fn store(
        &mut self,
        job: Box<NewJob>,
        reply: oneshot::Sender<Response>,
    ) -> Result<(), ActorProcessingErr> {
        if job.called != job.submission.name {
            log_derived_name(&job);
        }
        self.stored_bytes = self.stored_bytes.saturating_add(submission_bytes(&job.submission));
        let command = Command::Submit(Box::new(job.submission.clone()));
        self.propose(&command, PendingProposal::Submission(job, reply))
    }

    fn store_under_next_name(
        &mut self,
        mut job: Box<NewJob>,
        reply: oneshot::Sender<Response>,
    ) -> Result<(), ActorProcessingErr> {
        match free_name(&self.queue_state, &job.submission.queue, &job.called) {
            Some(name) => {
                job.submission.name = name;
                self.store(job, reply)
            }
            None => {
                respond(reply, no_free_name());
                Ok(())
            }
        }
    }

    pub(crate) fn propose(
        &mut self,
        command: &Command,
        pending: PendingProposal,
    ) -> Result<(), ActorProcessingErr> {
        let proposal = ProposalId::new(self.next_id());
        self.propose_as(proposal, command, pending)
    }

    pub(crate) fn propose_as(
        &mut self,
        proposal: ProposalId,
        command: &Command,
        pending: PendingProposal,
    ) -> Result<(), ActorProcessingErr> {
        let payload = Bytes::from(encode(command)?);
        self.proposals.insert(proposal, pending);
        self.replication.propose(proposal, command.class(), payload);
        Ok(())
    }

    fn on_tick(&mut self) -> Result<(), ActorProcessingErr> {
        let now = self.now();
        let disk_full = self.replication.status().borrow().disk_full;
        self.metrics.replication.set_disk_full(disk_full);
        let evacuated_count = self.queue_state.evacuations.count();
        self.metrics.queues.set_evacuated_data_centres(evacuated_count);
        if self.dispatcher.is_some() && now.since(self.stored_bytes_at) >= STORED_BYTES_INTERVAL {
            self.add_up_stored_bytes(now);
        }
        if let Some(dispatcher) = &self.dispatcher
            && now.since(self.agent_heartbeat_at) >= AGENT_HEARTBEAT_INTERVAL
        {
            self.agent_heartbeat_at = now;
            self.metrics.queues.set_agents(dispatcher.connected_count());
            self.metrics.queues.set_slow_image_pairs(dispatcher.slow_pair_count());
            self.agents.send_heartbeats(dispatcher.token());
        }
        self.store_speeds(now)?;
        if self.dispatcher.is_some()
            && now.since(self.jobs_removed_at) >= self.job_removal_interval
            && !self.is_removing_jobs()
        {
            self.jobs_removed_at = now;
            let expired = self.queue_state.expired_jobs(unix_now_ms());
            self.job_removal_interval = if expired.len() == REMOVAL_LIMIT_COUNT {
                FULL_BATCH_REMOVAL_INTERVAL
            } else {
                JOB_REMOVAL_INTERVAL
            };
            if !expired.is_empty() {
                self.propose(&Command::RemoveEnded(expired), PendingProposal::Housekeeping)?;
            }
        }
        Ok(())
    }

    /// Returns `true` while a removal is in flight. Another one would propose the same jobs again
    /// while the disks do not respond.
    fn is_removing_jobs(&self) -> bool {
        self.proposals.values().any(|pending| matches!(pending, PendingProposal::Housekeeping))
    }

    fn add_up_stored_bytes(&mut self, now: TimestampMs) {
        self.stored_bytes_at = now;
        let in_flight = self.proposals.values().map(|pending| match pending {
            PendingProposal::Submission(job, _) => submission_bytes(&job.submission),
            _ => 0,
        });
        self.stored_bytes = self.queue_state.jobs.jobs().map(job_bytes).chain(in_flight).sum();
        self.metrics.queues.set_stored_bytes(self.stored_bytes);
    }

    fn reply_to_drains(&mut self) {
        if self.drain_replies.is_empty() || self.has_pending_calls() {
            return;
        }
        for reply in self.drain_replies.drain(..) {
            // The drain may have timed out.
            let _ = reply.send(());
        }
    }

    fn has_pending_calls(&self) -> bool {
        let waits_for_proposal = self.proposals.values().any(|pending| {
            matches!(pending, PendingProposal::Call(..) | PendingProposal::Submission(..))
        });
        waits_for_proposal
            || self.reads.values().any(|pending| matches!(pending, PendingRead::Call(..)))
    }
}

fn respond(reply: oneshot::Sender<Response>, response: Response) {
    // The caller may have stopped waiting; a repeated call gets the same response.
    let _ = reply.send(response);
}

pub(crate) fn unix_now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
