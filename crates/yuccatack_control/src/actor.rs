//! The control actor: owns the replicated state and everything that only the leader keeps.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_leases::{LeaseCommand, LeaseEvent};
use yuccatack_records::{Change, ChangeOutcome, RecordKey, RecordKind};
use yuccatack_replication::{
    Committed, Leadership, LogIndex, ProposalId, ReadFailure, ReadId, ReplicationHandle,
};
use yuccatack_requests::claims::{ClaimCommand, ClaimLimits, ClaimOutcome};
use yuccatack_telemetry::Telemetry;
use yuccatack_view::{PublishedRecord, RecordUpdate, ViewPublisher};

use crate::clock::Clock;
use crate::error::ControlFailure;
use crate::events::log_event;
use crate::heartbeat;
use crate::held::{affected_workers, freed_workers};
use crate::lead::Lead;
use crate::membership::{WantedReplicas, wanted_replicas};
use crate::message::{ControlMessage, HeartbeatAnswer, Query, QueryAnswer, Reply};
use crate::observe;
use crate::pending::{Pending, PendingProposal, PendingRead, not_leader};
use crate::queries;
use crate::retention;
use crate::state::{ControlCommand, ControlOutcome, ControlState};
use crate::wire;

/// How many entries lie between two comparisons of the state hash among the replicas. Hashing reads
/// the whole state, so it must stay rare.
const HASH_INTERVAL_ENTRIES: u64 = 4_096;

/// How often the gauges are set; setting them reads every job.
const OBSERVE_INTERVAL: DurationMs = DurationMs::from_seconds(5);

/// How often the records of forgotten jobs are looked for; the search reads every job record.
const RETENTION_INTERVAL: DurationMs = DurationMs::from_seconds(60);

/// What the actor starts with.
pub struct ControlArguments {
    /// The replicated log.
    pub replication: ReplicationHandle,
    /// The publisher of the read view.
    pub publisher: ViewPublisher,
    /// Bounds of the claim table.
    pub claim_limits: ClaimLimits,
    /// Metrics and readiness.
    pub telemetry: Telemetry,
    /// Takes the voters that the membership record wants.
    pub wanted_replicas: watch::Sender<WantedReplicas>,
}

/// The actor; its state is [`ControlActorState`].
pub struct ControlActor;

/// Whether this replica leads.
enum Role {
    Leader(Box<Lead>),
    Follower { leader_address: Option<SocketAddr> },
}

/// The state of the control actor.
pub struct ControlActorState {
    replication: ReplicationHandle,
    publisher: ViewPublisher,
    clock: Clock,
    state: ControlState,
    applied_index: LogIndex,
    pending: Pending,
    role: Role,
    draining: bool,
    telemetry: Telemetry,
    wanted_replicas: watch::Sender<WantedReplicas>,
    observed_at: TimestampMs,
    cleaned_at: TimestampMs,
}

impl Actor for ControlActor {
    type Msg = ControlMessage;
    type State = ControlActorState;
    type Arguments = ControlArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(ControlActorState {
            replication: arguments.replication,
            publisher: arguments.publisher,
            clock: Clock::new(),
            state: ControlState::new(arguments.claim_limits),
            applied_index: LogIndex::default(),
            pending: Pending::default(),
            role: Role::Follower { leader_address: None },
            draining: false,
            telemetry: arguments.telemetry,
            wanted_replicas: arguments.wanted_replicas,
            observed_at: TimestampMs::default(),
            cleaned_at: TimestampMs::default(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ControlMessage::Committed(committed) => state.committed(committed).await?,
            ControlMessage::Tick => state.tick().await?,
            ControlMessage::SubmitChange { change, reply } => state.submit_change(change, reply)?,
            ControlMessage::Read { query, reply } => state.read(query, reply),
            ControlMessage::Claim { command, reply } => state.claim(command, reply)?,
            ControlMessage::Heartbeat { worker, body_json, reply } => {
                state.heartbeat(&worker, &body_json, reply)?;
            }
            ControlMessage::Drain { reply } => {
                state.draining = true;
                state.replication.transfer_leadership().await;
                // The process may have given up waiting; it then ends anyway.
                let _ = reply.send(());
            }
            ControlMessage::WaitingCount { reply } => {
                let _ = reply.send(state.pending.count());
            }
        }
        Ok(())
    }
}

impl ControlActorState {
    async fn committed(&mut self, committed: Committed) -> Result<(), ActorProcessingErr> {
        match committed {
            Committed::Entry { index, proposal, payload, .. } => {
                self.apply(index, proposal, &payload).await?;
            }
            Committed::Snapshot { index, payload } => self.restore(index, &payload).await?,
            Committed::SnapshotRequested { index } => self.store_snapshot(index)?,
            Committed::ProposalFailed { proposal, failure } => self.pending.fail(proposal, failure),
            Committed::ReadReady { read } => self.answer_read(read).await,
            Committed::ReadFailed { read, failure } => self.fail_read(read, failure),
            Committed::Leadership(leadership) => self.change_role(leadership).await,
        }
        Ok(())
    }

    async fn apply(
        &mut self,
        index: LogIndex,
        proposal: Option<ProposalId>,
        payload: &[u8],
    ) -> Result<(), ActorProcessingErr> {
        let command: ControlCommand = wire::decode(payload)?;
        let revision_before = self.state.records().revision();
        let changed_key = changed_key(&command);
        let leases_changed = matches!(&command, ControlCommand::Leases { .. });
        let freed = self.freed_workers(&command);
        let outcome = self.state.apply(command);
        self.applied_index = index;
        if self.state.records().revision() != revision_before
            && let Some(key) = changed_key
        {
            self.record_changed(key).await;
        }
        if let ControlOutcome::Leases(events) = &outcome {
            self.leases_changed(events, freed);
        }
        if let Some(proposal) = proposal
            && let Some(latency) = self.pending.complete(proposal, outcome)
        {
            self.telemetry.metrics.replication.observe_commit(latency);
        }
        if leases_changed {
            // The next step of a gang need not wait for the next tick.
            self.schedule(self.clock.now())?;
        }
        if index.get().is_multiple_of(HASH_INTERVAL_ENTRIES) {
            let hash = wire::state_hash(&self.state)?;
            self.replication.report_state_hash(index, hash);
        }
        Ok(())
    }

    fn freed_workers(&self, command: &ControlCommand) -> BTreeSet<WorkerName> {
        match command {
            ControlCommand::Leases { commands } => freed_workers(self.state.leases(), commands),
            ControlCommand::Change { .. } | ControlCommand::Claim { .. } => BTreeSet::new(),
        }
    }

    async fn record_changed(&mut self, key: RecordKey) {
        if matches!(key.kind, RecordKind::Objective | RecordKind::Organisation) {
            observe::set_objectives(&self.telemetry.metrics, self.state.records());
        }
        if key.kind == RecordKind::Membership {
            self.wanted_replicas.send_replace(wanted_replicas(self.state.records()));
        }
        self.publish(key).await;
    }

    /// Logs the events and answers the held heartbeats of workers that may have a new command.
    fn leases_changed(&mut self, events: &[LeaseEvent], mut workers: BTreeSet<WorkerName>) {
        events.iter().for_each(log_event);
        let Role::Leader(lead) = &mut self.role else { return };
        let leases = self.state.leases();
        observe::observe_events(&self.telemetry.metrics, leases, events);
        workers.append(&mut affected_workers(leases, events));
        lead.release_workers(leases, &workers);
        self.check_leadership();
    }

    async fn publish(&self, key: RecordKey) {
        let mut update = RecordUpdate::from_last_change(self.state.records(), &key);
        if !PublishedRecord::is_published(key.kind) {
            update.changed.clear();
            update.removed.clear();
        }
        self.publisher.publish(update).await;
    }

    async fn restore(&mut self, index: LogIndex, payload: &[u8]) -> Result<(), ActorProcessingErr> {
        self.state = wire::decode(payload)?;
        self.applied_index = index;
        let records = self.state.records();
        let published = records
            .iter()
            .filter(|(key, _)| PublishedRecord::is_published(key.kind))
            .map(PublishedRecord::from)
            .collect();
        observe::set_objectives(&self.telemetry.metrics, records);
        self.wanted_replicas.send_replace(wanted_replicas(records));
        self.publisher.reset(records.revision(), published).await;
        Ok(())
    }

    fn store_snapshot(&self, index: LogIndex) -> Result<(), ActorProcessingErr> {
        let payload = wire::encode(&self.state)?;
        self.replication.store_snapshot(index, payload.into());
        Ok(())
    }

    async fn change_role(&mut self, leadership: Leadership) {
        let leads = matches!(leadership, Leadership::Leader { .. });
        self.telemetry.metrics.replication.count_leader_change(leads);
        let known = match leadership {
            Leadership::Leader { .. } => true,
            Leadership::Follower { leader_address } => leader_address.is_some(),
        };
        let reason = "no leader is known; check that a quorum of control replicas runs";
        self.telemetry.set_readiness(if known { Vec::new() } else { vec![reason.to_owned()] });
        match leadership {
            Leadership::Leader { term } => {
                log::info!(event = "leadership_gained", term = term.get(); "this replica leads");
                self.role = Role::Leader(Box::new(Lead::new(self.clock.now())));
                self.publisher.become_leader().await;
                self.check_leadership();
            }
            Leadership::Follower { leader_address } => {
                self.role = Role::Follower { leader_address };
                self.publisher.become_follower(leader_address).await;
            }
        }
    }

    /// Asks the log for a confirmation that this replica still leads. Without one, nodes start no
    /// new work and workers get no lease.
    fn check_leadership(&mut self) {
        let Role::Leader(lead) = &mut self.role else { return };
        if !lead.begin_check() {
            return;
        }
        let read = self.pending.add_read(PendingRead::LeadershipCheck(Instant::now()));
        self.replication.read(read);
    }

    async fn leadership_confirmed(&mut self, requested_at: Instant) {
        self.publisher.confirm_leadership(requested_at).await;
        let Role::Leader(lead) = &mut self.role else { return };
        if lead.check_succeeded() {
            self.check_leadership();
        }
    }

    async fn tick(&mut self) -> Result<(), ActorProcessingErr> {
        let now = self.clock.now();
        self.observe(now).await;
        self.withdraw_forgotten_jobs(now)?;
        let Role::Leader(lead) = &mut self.role else { return Ok(()) };
        lead.release_expired(self.state.leases(), now);
        self.check_leadership();
        self.schedule(now)
    }

    /// Proposes what the scheduler decides, unless earlier decisions are still on their way.
    fn schedule(&mut self, now: TimestampMs) -> Result<(), ActorProcessingErr> {
        let Role::Leader(lead) = &mut self.role else { return Ok(()) };
        if self.pending.is_scheduling() {
            return Ok(());
        }
        let commands = lead.schedule(self.state.leases(), now);
        self.propose_leases(commands, PendingProposal::Schedule)
    }

    fn withdraw_forgotten_jobs(&mut self, now: TimestampMs) -> Result<(), ActorProcessingErr> {
        let leads = matches!(self.role, Role::Leader(_));
        if !leads || now.since(self.cleaned_at) < RETENTION_INTERVAL {
            return Ok(());
        }
        self.cleaned_at = now;
        for change in retention::withdrawals(self.state.records(), self.state.leases()) {
            self.propose(&ControlCommand::Change { change, now }, PendingProposal::Retention)?;
        }
        Ok(())
    }

    async fn observe(&mut self, now: TimestampMs) {
        if now.since(self.observed_at) < OBSERVE_INTERVAL {
            return;
        }
        self.observed_at = now;
        let metrics = &self.telemetry.metrics;
        let commit = self.replication.status().borrow().commit;
        metrics.replication.set_committed_index(commit.get());
        metrics.view.set_revision(self.state.records().revision());
        let Role::Leader(lead) = &self.role else { return };
        observe::observe_state(metrics, self.state.leases());
        metrics.capacity.set_fragmentation(lead.scheduler().fragmentation(self.state.leases()));
        let in_force = self.publisher.in_force(self.state.records().revision()).await;
        let missing_count = u32::try_from(in_force.missing_nodes.len()).unwrap_or(u32::MAX);
        metrics.view.set_nodes_not_in_force(missing_count);
    }

    fn propose_leases(
        &mut self,
        commands: Vec<LeaseCommand>,
        waiting: PendingProposal,
    ) -> Result<(), ActorProcessingErr> {
        if commands.is_empty() {
            return Ok(());
        }
        self.propose(&ControlCommand::Leases { commands }, waiting)
    }

    fn propose(
        &mut self,
        command: &ControlCommand,
        waiting: PendingProposal,
    ) -> Result<(), ActorProcessingErr> {
        let payload = Bytes::from(wire::encode(command)?);
        let proposal = self.pending.add_proposal(waiting);
        self.replication.propose(proposal, payload);
        Ok(())
    }

    fn submit_change(
        &mut self,
        change: Change,
        reply: Reply<ChangeOutcome>,
    ) -> Result<(), ActorProcessingErr> {
        let Some(reply) = self.admit(reply) else { return Ok(()) };
        let now = self.clock.now();
        self.propose(&ControlCommand::Change { change, now }, PendingProposal::Change(reply))
    }

    fn claim(
        &mut self,
        command: ClaimCommand,
        reply: Reply<ClaimOutcome>,
    ) -> Result<(), ActorProcessingErr> {
        let Some(reply) = self.admit(reply) else { return Ok(()) };
        let now = self.clock.now();
        self.propose(&ControlCommand::Claim { command, now }, PendingProposal::Claim(reply))
    }

    fn read(&mut self, query: Query, reply: Reply<QueryAnswer>) {
        let Some(reply) = self.admit(reply) else { return };
        let read = self.pending.add_read(PendingRead::Query(query, reply));
        self.replication.read(read);
    }

    /// Gives the reply port back if this replica leads and is not stopping; else answers it.
    fn admit<Answer>(&self, reply: Reply<Answer>) -> Option<Reply<Answer>>
    where
        Answer: Send + 'static,
    {
        let failure = match &self.role {
            Role::Leader(_) if self.draining => ControlFailure::Stopping,
            Role::Leader(_) => return Some(reply),
            Role::Follower { leader_address } => not_leader(*leader_address),
        };
        // A caller that gave up needs no answer.
        let _ = reply.send(Err(failure));
        None
    }

    async fn answer_read(&mut self, read: ReadId) {
        match self.pending.take_read(read) {
            Some(PendingRead::Query(query, reply)) => {
                let answer = self.answer(query).await;
                let _ = reply.send(Ok(answer));
            }
            Some(PendingRead::LeadershipCheck(requested_at)) => {
                self.leadership_confirmed(requested_at).await;
            }
            None => {}
        }
    }

    fn fail_read(&mut self, read: ReadId, failure: ReadFailure) {
        let ReadFailure::NotLeader { leader_address } = failure;
        match self.pending.take_read(read) {
            Some(PendingRead::Query(_, reply)) => {
                let _ = reply.send(Err(not_leader(leader_address)));
            }
            Some(PendingRead::LeadershipCheck(_)) => {
                let Role::Leader(lead) = &mut self.role else { return };
                lead.check_failed(leader_address);
            }
            None => {}
        }
    }

    async fn answer(&self, query: Query) -> QueryAnswer {
        match query {
            Query::Record(kind, name) => {
                let key = RecordKey { kind, name };
                let record = self.state.records().get(&key);
                QueryAnswer::Record(record.map(|stored| (key, stored.clone())))
            }
            Query::Records(kind) => {
                let records = self.state.records().list(kind);
                QueryAnswer::Records(
                    records.map(|(key, stored)| (key.clone(), stored.clone())).collect(),
                )
            }
            Query::Change(change_id) => {
                let status = queries::change_status(&self.state, &self.publisher, &change_id).await;
                QueryAnswer::Change(status)
            }
            Query::Status => {
                let replication = self.replication.status().borrow().clone();
                let scheduler = match &self.role {
                    Role::Leader(lead) => Some((lead.scheduler(), self.clock.now())),
                    Role::Follower { .. } => None,
                };
                let document =
                    queries::status(&self.state, &replication, &self.publisher, scheduler).await;
                QueryAnswer::Document(document)
            }
            Query::Job(name) => QueryAnswer::Document(queries::job(&self.state, &name)),
        }
    }

    fn heartbeat(
        &mut self,
        worker: &WorkerName,
        body_json: &[u8],
        reply: Reply<HeartbeatAnswer>,
    ) -> Result<(), ActorProcessingErr> {
        let Some(reply) = self.admit(reply) else { return Ok(()) };
        let report = match heartbeat::decode(worker, body_json) {
            Ok(report) => report,
            Err(answer) => {
                let _ = reply.send(Ok(answer));
                return Ok(());
            }
        };
        let now = self.clock.now();
        let Role::Leader(lead) = &mut self.role else { return Ok(()) };
        let commands = lead.heartbeat(self.state.leases(), report, reply, now);
        self.check_leadership();
        self.propose_leases(commands, PendingProposal::Reports)
    }
}

/// The record that a command may change.
fn changed_key(command: &ControlCommand) -> Option<RecordKey> {
    match command {
        ControlCommand::Change { change, .. } => {
            yuccatack_records::decode_key(change.document.as_bytes()).ok()
        }
        ControlCommand::Leases { .. } | ControlCommand::Claim { .. } => None,
    }
}
