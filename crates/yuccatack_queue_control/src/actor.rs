//! The actor that owns the replicated state and the leader's memory.

use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc, oneshot};
use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};
use yuccatack_dispatch::{AgentMessage, DispatchSettings, Dispatcher, TableChange};
use yuccatack_queue_client::protocol::{LeaderFrame, LeaderHint, Request, Response};
use yuccatack_replication::{
    Committed, Leadership, LogIndex, ProposalFailure, ProposalId, ReadFailure, ReadId, ReplicaId,
    ReplicationHandle, decode, encode,
};
use yuccatack_telemetry::Metrics;

use crate::agents::Agents;
use crate::calls::{Plan, answer, plan};
use crate::command::Command;
use crate::message::{ControlMessage, JoinRequest};
use crate::observe::{log_applied, log_command};
use crate::state::QueueState;

/// How often agents are shown that the leader is alive. They give a stream up after three misses.
const BEAT_INTERVAL: DurationMs = DurationMs::new(250);

/// How often ended jobs are dropped.
const FORGET_INTERVAL: DurationMs = DurationMs::new(30_000);

/// What waits for a proposal.
pub(crate) enum Proposed {
    Call(oneshot::Sender<Response>),
    /// A batch of table changes; the next one is decided after it.
    Changes,
    Housekeeping,
}

/// What waits for a confirmation of the lead.
pub(crate) enum Confirmed {
    Call(Request, oneshot::Sender<Response>),
    Leases { began_at: TimestampMs },
}

pub(crate) struct ControlActor;

pub(crate) struct ControlArguments {
    pub replication: ReplicationHandle,
    pub settings: DispatchSettings,
    pub joins: mpsc::Sender<JoinRequest>,
    pub metrics: Metrics,
}

pub(crate) struct ControlState {
    pub(crate) replication: ReplicationHandle,
    pub(crate) settings: DispatchSettings,
    pub(crate) joins: mpsc::Sender<JoinRequest>,
    pub(crate) metrics: Metrics,
    pub(crate) started: Instant,
    pub(crate) state: QueueState,
    pub(crate) applied: LogIndex,
    pub(crate) leader_address: Option<SocketAddr>,
    pub(crate) dispatcher: Option<Dispatcher>,
    pub(crate) agents: Agents,
    pub(crate) proposals: FastHashMap<ProposalId, Proposed>,
    pub(crate) reads: FastHashMap<ReadId, Confirmed>,
    pub(crate) next_number: u64,
    pub(crate) changes: Vec<TableChange>,
    pub(crate) changes_proposed: bool,
    pub(crate) schedule_requested: bool,
    /// Whether anything changed since the last decision.
    pub(crate) decision_due: bool,
    pub(crate) decided_at: TimestampMs,
    /// Until when other work comes first.
    pub(crate) paused_until: TimestampMs,
    pub(crate) lease_read: bool,
    pub(crate) confirmed_at: TimestampMs,
    pub(crate) forgot_at: TimestampMs,
    pub(crate) beat_at: TimestampMs,
    pub(crate) drains: Vec<oneshot::Sender<()>>,
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
        let ControlArguments { replication, settings, joins, metrics } = arguments;
        Ok(ControlState {
            replication,
            settings,
            joins,
            metrics,
            started: Instant::now(),
            state: QueueState::default(),
            applied: LogIndex::default(),
            leader_address: None,
            dispatcher: None,
            agents: Agents::default(),
            proposals: FastHashMap::default(),
            reads: FastHashMap::default(),
            next_number: 0,
            changes: Vec::new(),
            changes_proposed: false,
            schedule_requested: false,
            decision_due: false,
            decided_at: TimestampMs::default(),
            paused_until: TimestampMs::default(),
            lease_read: false,
            confirmed_at: TimestampMs::default(),
            forgot_at: TimestampMs::default(),
            beat_at: TimestampMs::default(),
            drains: Vec::new(),
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
                        log::info!(event = "agent_attached", node = node.as_str(); "an agent attached");
                        dispatcher.connect(&node);
                        state.agents.connect(node, stream, frames, dispatcher.token());
                    }
                    None => {
                        let hint = state.hint();
                        // The agent may be gone already.
                        let _ = frames.try_send(LeaderFrame::NotLeader(hint));
                    }
                }
            }
            ControlMessage::AgentReport { stream, node, message } => {
                let now = state.now();
                if state.agents.is_current(&node, stream)
                    && let Some(dispatcher) = &mut state.dispatcher
                {
                    // Most observations change nothing and wait for the next decision.
                    let observed = matches!(message, AgentMessage::Observed(_));
                    let changes = dispatcher.on_message(&node, message, &state.state.jobs, now);
                    state.decision_due |= !observed || !changes.is_empty();
                    state.changes.extend(changes);
                }
            }
            ControlMessage::AgentGone { stream, node } => {
                if state.agents.is_current(&node, stream) {
                    log::warn!(event = "agent_detached", node = node.as_str(); "an agent's stream ended");
                    state.agents.disconnect(&node);
                    if let Some(dispatcher) = &mut state.dispatcher {
                        dispatcher.disconnect(&node);
                    }
                }
            }
            ControlMessage::Schedule => return state.schedule(),
            ControlMessage::Tick => state.on_tick()?,
            ControlMessage::Drain { reply } => state.drains.push(reply),
        }
        state.finish_drains();
        if state.schedule_is_due() && !state.schedule_requested {
            // The mailbox is in order, so one decision covers everything that waits now.
            state.schedule_requested = myself.cast(ControlMessage::Schedule).is_ok();
        }
        Ok(())
    }
}

impl ControlState {
    pub(crate) fn now(&self) -> TimestampMs {
        TimestampMs::default() + DurationMs::from(self.started.elapsed())
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn hint(&self) -> LeaderHint {
        let status = self.replication.status();
        let status = status.borrow();
        let members = status.voters.values().copied();
        let members = members.chain(status.learners.values().map(|learner| learner.address));
        LeaderHint { leader: self.leader_address, members: members.collect() }
    }

    fn on_call(&mut self, request: Request, reply: oneshot::Sender<Response>) {
        if self.dispatcher.is_none() {
            let hint = self.hint();
            respond(reply, Response::NotLeader(hint));
            return;
        }
        if let Request::Join { replica_id, address } = request {
            let join = JoinRequest { replica: ReplicaId::new(replica_id), address };
            // A full queue only means that the replica asks again.
            let _ = self.joins.try_send(join);
        }
        let read = ReadId::new(self.number());
        self.reads.insert(read, Confirmed::Call(request, reply));
        self.replication.read(read);
    }

    fn on_committed(&mut self, item: Committed) -> Result<(), ActorProcessingErr> {
        match item {
            Committed::Entry { index, proposal, payload, .. } => {
                self.apply(index, proposal, &payload)?;
            }
            Committed::Snapshot { index, payload } => {
                if !payload.is_empty() {
                    self.state = decode(&payload)?;
                }
                self.applied = index;
            }
            Committed::SnapshotRequested { index } => {
                if index == self.applied {
                    self.replication.store_snapshot(index, Bytes::from(encode(&self.state)?));
                }
            }
            Committed::ProposalFailed { proposal, failure } => {
                self.on_proposal_failed(proposal, failure);
            }
            Committed::ReadReady { read } => self.on_read_ready(read)?,
            Committed::ReadFailed { read, failure } => {
                let ReadFailure::NotLeader { leader_address } = failure;
                match self.reads.remove(&read) {
                    Some(Confirmed::Call(_, reply)) => {
                        let hint = LeaderHint { leader: leader_address, ..self.hint() };
                        respond(reply, Response::NotLeader(hint));
                    }
                    Some(Confirmed::Leases { .. }) => self.lease_read = false,
                    None => {}
                }
            }
            Committed::Leadership(leadership) => self.on_leadership(leadership),
        }
        Ok(())
    }

    fn on_leadership(&mut self, leadership: Leadership) {
        self.changes.clear();
        self.changes_proposed = false;
        self.lease_read = false;
        match leadership {
            Leadership::Leader { term } => {
                log::info!(
                    event = "lead_gained", term = term.get(),
                    configuration = self.state.configuration.version().get(),
                    open_runs = self.state.jobs.open_runs().len();
                    "this replica leads and schedules"
                );
                let now = self.now();
                self.leader_address = None;
                self.dispatcher = Some(Dispatcher::new(self.settings.clone(), term.get(), now));
            }
            Leadership::Follower { leader_address } => {
                self.leader_address = leader_address;
                if self.dispatcher.take().is_some() {
                    log::warn!(event = "lead_lost"; "another replica leads or will");
                }
                let hint = self.hint();
                self.agents.end_all(&hint);
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
        // Followers apply the same; one copy of each line is enough.
        let leads = self.dispatcher.is_some();
        let record = leads.then(|| {
            let unfinished = log_command(&command, &self.state, index, &self.metrics);
            (command.clone(), unfinished)
        });
        let applied = self.state.apply(command);
        if let Some((record, unfinished)) = &record {
            log_applied(record, applied, unfinished, &self.state, index);
            self.metrics.queues.set_open_runs(self.state.jobs.open_runs().len());
        }
        self.applied = index;
        self.decision_due = true;
        match proposal.and_then(|proposal| self.proposals.remove(&proposal)) {
            Some(Proposed::Call(reply)) => respond(reply, answer(applied)),
            Some(Proposed::Changes) => self.changes_proposed = false,
            Some(Proposed::Housekeeping) | None => {}
        }
        Ok(())
    }

    fn on_proposal_failed(&mut self, proposal: ProposalId, failure: ProposalFailure) {
        match self.proposals.remove(&proposal) {
            Some(Proposed::Call(reply)) => {
                let response = match failure {
                    ProposalFailure::NotLeader { leader_address } => {
                        Response::NotLeader(LeaderHint { leader: leader_address, ..self.hint() })
                    }
                    ProposalFailure::Unknown => Response::Unknown,
                };
                respond(reply, response);
            }
            Some(Proposed::Changes) => self.changes_proposed = false,
            Some(Proposed::Housekeeping) | None => {}
        }
    }

    fn on_read_ready(&mut self, read: ReadId) -> Result<(), ActorProcessingErr> {
        match self.reads.remove(&read) {
            Some(Confirmed::Call(request, reply)) => {
                match plan(&self.state, request, unix_now_ms()) {
                    Plan::Answer(response) => respond(reply, response),
                    Plan::Propose(command) => self.propose(&command, Proposed::Call(reply))?,
                }
            }
            Some(Confirmed::Leases { began_at }) => {
                self.lease_read = false;
                if let Some(dispatcher) = &mut self.dispatcher {
                    dispatcher.confirm_leadership(began_at);
                }
                self.decision_due = true;
            }
            None => {}
        }
        Ok(())
    }

    pub(crate) fn propose(
        &mut self,
        command: &Command,
        waits: Proposed,
    ) -> Result<(), ActorProcessingErr> {
        let proposal = ProposalId::new(self.number());
        let payload = Bytes::from(encode(command)?);
        self.proposals.insert(proposal, waits);
        self.replication.propose(proposal, payload);
        Ok(())
    }

    fn on_tick(&mut self) -> Result<(), ActorProcessingErr> {
        let now = self.now();
        if let Some(dispatcher) = &self.dispatcher
            && now.since(self.beat_at) >= BEAT_INTERVAL
        {
            self.beat_at = now;
            self.metrics.queues.set_agents(dispatcher.connected_count());
            self.agents.beat(dispatcher.token());
        }
        if self.dispatcher.is_some() && now.since(self.forgot_at) >= FORGET_INTERVAL {
            self.forgot_at = now;
            let expired = self.state.expired_jobs(unix_now_ms());
            if !expired.is_empty() {
                self.propose(&Command::Forget(expired), Proposed::Housekeeping)?;
            }
        }
        Ok(())
    }

    fn finish_drains(&mut self) {
        if self.drains.is_empty() || self.has_waiting_calls() {
            return;
        }
        for reply in self.drains.drain(..) {
            // The process may have stopped waiting.
            let _ = reply.send(());
        }
    }

    fn has_waiting_calls(&self) -> bool {
        let proposed =
            self.proposals.values().any(|proposed| matches!(proposed, Proposed::Call(_)));
        proposed || self.reads.values().any(|read| matches!(read, Confirmed::Call(..)))
    }
}

fn respond(reply: oneshot::Sender<Response>, response: Response) {
    // The caller may have given up; its next call gets the same answer.
    let _ = reply.send(response);
}

pub(crate) fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
