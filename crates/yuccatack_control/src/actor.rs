//! The control actor, which owns the replicated state and the leader's unreplicated state.

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
    Committed, Leadership, LogIndex, ProposalFailure, ProposalId, ReadFailure, ReadId,
    ReplicationHandle,
};
use yuccatack_requests::claims::{ClaimCommand, ClaimLimits, ClaimOutcome};
use yuccatack_telemetry::Telemetry;
use yuccatack_view::{PublishedRecord, RecordUpdate, ViewPublisher};

use crate::clock::Clock;
use crate::error::CallError;
use crate::events::log_event;
use crate::heartbeat;
use crate::leader::LeaderState;
use crate::long_poll::{affected_workers, freed_workers};
use crate::membership::{DesiredReplicas, desired_replicas};
use crate::message::{ControlMessage, HeartbeatResponse, Query, QueryResponse, Reply};
use crate::observe;
use crate::pending::{Pending, PendingProposal, PendingRead, not_leader};
use crate::queries;
use crate::retention;
use crate::state::{ControlCommand, ControlOutcome, ControlState};
use crate::wire;

/// Number of log entries between two comparisons of the state hash among the replicas. Hashing
/// reads the whole state, so it must be rare.
const HASH_INTERVAL_ENTRIES: u64 = 4_096;

/// Interval between updates of the gauges; each update reads every job.
const OBSERVE_INTERVAL: DurationMs = DurationMs::from_seconds(5);

/// Interval between searches for records of evicted jobs; each search reads every job record.
const RETENTION_INTERVAL: DurationMs = DurationMs::from_seconds(60);

/// Pause of the scheduler after its decisions were refused for lack of space. Space is freed within
/// seconds at best.
const SCHEDULE_RETRY_DELAY: DurationMs = DurationMs::new(250);

/// Arguments to start a [`ControlActor`].
pub struct ControlArguments {
    /// Handle of the replicated log.
    pub replication: ReplicationHandle,
    /// Publishes the records to nodes and collects their status.
    pub publisher: ViewPublisher,
    /// Age and count limits of the claim table.
    pub claim_limits: ClaimLimits,
    /// Metrics and readiness of the process.
    pub telemetry: Telemetry,
    /// Receives the desired voters when the membership record changes.
    pub desired_replicas: watch::Sender<DesiredReplicas>,
}

/// The control actor; its state is a [`ControlActorState`].
pub struct ControlActor;

/// Role of this replica, with the state that only the leader has.
enum Role {
    Leader(Box<LeaderState>),
    Follower { leader_address: Option<SocketAddr> },
}

/// State of the control actor.
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
    desired_replicas: watch::Sender<DesiredReplicas>,
    observed_at: TimestampMs,
    retention_checked_at: TimestampMs,
    /// Time before which the scheduler proposes nothing.
    schedule_paused_until: TimestampMs,
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
            desired_replicas: arguments.desired_replicas,
            observed_at: TimestampMs::default(),
            retention_checked_at: TimestampMs::default(),
            schedule_paused_until: TimestampMs::default(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ControlMessage::Committed(committed) => state.handle_committed(committed).await?,
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
                // An error means that the process no longer waits for the drain.
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
    async fn handle_committed(&mut self, committed: Committed) -> Result<(), ActorProcessingErr> {
        match committed {
            Committed::Entry { index, proposal, payload, .. } => {
                self.apply(index, proposal, &payload).await?;
            }
            Committed::Snapshot { index, payload } => self.restore(index, &payload).await?,
            Committed::SnapshotRequested { index } => self.store_snapshot(index)?,
            Committed::ProposalFailed { proposal, failure } => {
                if failure == ProposalFailure::NoSpace {
                    self.telemetry.metrics.replication.count_refused_proposal();
                    if self.pending.is_schedule(proposal) {
                        self.schedule_paused_until = self.clock.now() + SCHEDULE_RETRY_DELAY;
                    }
                }
                self.pending.fail(proposal, failure);
            }
            Committed::ReadReady { read } => self.complete_read(read).await,
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
        let has_lease_commands = matches!(&command, ControlCommand::Leases { .. });
        let freed = self.freed_workers(&command);
        let outcome = self.state.apply(command);
        self.applied_index = index;
        if self.state.records().revision() != revision_before
            && let Some(key) = changed_key
        {
            self.handle_record_change(key).await;
        }
        if let ControlOutcome::Leases(events) = &outcome {
            self.handle_lease_events(events, freed);
        }
        if let Some(proposal) = proposal
            && let Some(latency) = self.pending.complete(proposal, outcome)
        {
            self.telemetry.metrics.replication.observe_commit(latency);
        }
        if has_lease_commands {
            // Starts the next step of a gang without waiting for the next tick.
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

    async fn handle_record_change(&mut self, key: RecordKey) {
        if matches!(key.kind, RecordKind::Objective | RecordKind::Organisation) {
            observe::set_objectives(&self.telemetry.metrics, self.state.records());
        }
        if key.kind == RecordKind::Membership {
            self.desired_replicas.send_replace(desired_replicas(self.state.records()));
        }
        self.publish(key).await;
    }

    /// Logs the events and responds to the long polls of workers that may have a new command.
    fn handle_lease_events(&mut self, events: &[LeaseEvent], mut workers: BTreeSet<WorkerName>) {
        events.iter().for_each(log_event);
        let Role::Leader(leader) = &mut self.role else { return };
        let leases = self.state.leases();
        observe::observe_events(&self.telemetry.metrics, leases, events);
        workers.append(&mut affected_workers(leases, events));
        leader.complete_polls(leases, &workers);
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
        self.desired_replicas.send_replace(desired_replicas(records));
        self.publisher.reset(records.revision(), published).await;
        Ok(())
    }

    fn store_snapshot(&self, index: LogIndex) -> Result<(), ActorProcessingErr> {
        let payload = wire::encode(&self.state)?;
        self.replication.store_snapshot(index, payload.into());
        Ok(())
    }

    async fn change_role(&mut self, leadership: Leadership) {
        let is_leader = matches!(leadership, Leadership::Leader { .. });
        self.telemetry.metrics.replication.count_leader_change(is_leader);
        let leader_known = match leadership {
            Leadership::Leader { .. } => true,
            Leadership::Follower { leader_address } => leader_address.is_some(),
        };
        let reason = "no leader is known; check that a quorum of control replicas runs";
        self.telemetry.set_readiness(if leader_known {
            Vec::new()
        } else {
            vec![reason.to_owned()]
        });
        match leadership {
            Leadership::Leader { term } => {
                log::info!(
                    event = "leadership_gained", term = term.get();
                    "this replica is the leader of term {term}"
                );
                self.role = Role::Leader(Box::new(LeaderState::new(self.clock.now())));
                self.publisher.become_leader().await;
                self.check_leadership();
            }
            Leadership::Follower { leader_address } => {
                self.role = Role::Follower { leader_address };
                self.publisher.become_follower(leader_address).await;
            }
        }
    }

    /// Starts a log read that confirms that this replica still leads, unless one is running.
    /// Without a confirmation, nodes start no new work and workers get no lease.
    fn check_leadership(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if !leader.begin_check() {
            return;
        }
        let read = self.pending.add_read(PendingRead::LeadershipCheck(Instant::now()));
        self.replication.read(read);
    }

    async fn leadership_confirmed(&mut self, requested_at: Instant) {
        self.publisher.confirm_leadership(requested_at).await;
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.check_succeeded() {
            self.check_leadership();
        }
    }

    async fn tick(&mut self) -> Result<(), ActorProcessingErr> {
        let now = self.clock.now();
        self.observe(now).await;
        self.withdraw_evicted_jobs(now)?;
        let Role::Leader(leader) = &mut self.role else { return Ok(()) };
        leader.complete_expired_polls(self.state.leases(), now);
        self.check_leadership();
        self.schedule(now)
    }

    /// Proposes the scheduler's decisions, unless earlier ones are not applied yet.
    fn schedule(&mut self, now: TimestampMs) -> Result<(), ActorProcessingErr> {
        let Role::Leader(leader) = &mut self.role else { return Ok(()) };
        if self.pending.is_scheduling() || now < self.schedule_paused_until {
            return Ok(());
        }
        let commands = leader.schedule(self.state.leases(), now);
        self.propose_leases(commands, PendingProposal::Schedule)
    }

    fn withdraw_evicted_jobs(&mut self, now: TimestampMs) -> Result<(), ActorProcessingErr> {
        let is_leader = matches!(self.role, Role::Leader(_));
        if !is_leader || now.since(self.retention_checked_at) < RETENTION_INTERVAL {
            return Ok(());
        }
        self.retention_checked_at = now;
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
        let (commit, disk_full) = {
            let status = self.replication.status();
            let status = status.borrow();
            (status.commit, status.disk_full)
        };
        metrics.replication.set_committed_index(commit.get());
        metrics.replication.set_disk_full(disk_full);
        metrics.view.set_revision(self.state.records().revision());
        let Role::Leader(leader) = &self.role else { return };
        observe::observe_state(metrics, self.state.leases());
        metrics.capacity.set_fragmentation(leader.scheduler().fragmentation(self.state.leases()));
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
        self.replication.propose(proposal, self.state.class_of(command), payload);
        Ok(())
    }

    fn submit_change(
        &mut self,
        change: Change,
        reply: Reply<ChangeOutcome>,
    ) -> Result<(), ActorProcessingErr> {
        let Some(reply) = self.admit(reply) else { return Ok(()) };
        let now = self.clock.now();
        let waiting = PendingProposal::Change(change.change_id.clone(), reply);
        self.propose(&ControlCommand::Change { change, now }, waiting)
    }

    fn claim(
        &mut self,
        command: ClaimCommand,
        reply: Reply<ClaimOutcome>,
    ) -> Result<(), ActorProcessingErr> {
        let Some(reply) = self.admit(reply) else { return Ok(()) };
        let now = self.clock.now();
        let waiting = PendingProposal::Claim(command.clone(), reply);
        self.propose(&ControlCommand::Claim { command, now }, waiting)
    }

    fn read(&mut self, query: Query, reply: Reply<QueryResponse>) {
        let Some(reply) = self.admit(reply) else { return };
        let read = self.pending.add_read(PendingRead::Query(query, reply));
        self.replication.read(read);
    }

    /// Returns the reply port if this replica leads and is not stopping; otherwise sends the error
    /// and returns `None`.
    fn admit<Response>(&self, reply: Reply<Response>) -> Option<Reply<Response>>
    where
        Response: Send + 'static,
    {
        let failure = match &self.role {
            Role::Leader(_) if self.draining => CallError::Stopping,
            Role::Leader(_) => return Some(reply),
            Role::Follower { leader_address } => not_leader(*leader_address),
        };
        // An error means that the caller has stopped waiting.
        let _ = reply.send(Err(failure));
        None
    }

    async fn complete_read(&mut self, read: ReadId) {
        match self.pending.take_read(read) {
            Some(PendingRead::Query(query, reply)) => {
                let response = self.execute_query(query).await;
                let _ = reply.send(Ok(response));
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
                let Role::Leader(leader) = &mut self.role else { return };
                leader.check_failed(leader_address);
            }
            None => {}
        }
    }

    async fn execute_query(&self, query: Query) -> QueryResponse {
        match query {
            Query::Record(kind, name) => {
                let key = RecordKey { kind, name };
                let record = self.state.records().get(&key);
                QueryResponse::Record(record.map(|stored| (key, stored.clone())))
            }
            Query::Records(kind) => {
                let records = self.state.records().list(kind);
                QueryResponse::Records(
                    records.map(|(key, stored)| (key.clone(), stored.clone())).collect(),
                )
            }
            Query::Change(change_id) => {
                let status = queries::change_status(&self.state, &self.publisher, &change_id).await;
                QueryResponse::Change(status)
            }
            Query::Status => {
                let replication = self.replication.status().borrow().clone();
                let scheduler = match &self.role {
                    Role::Leader(leader) => Some((leader.scheduler(), self.clock.now())),
                    Role::Follower { .. } => None,
                };
                let document =
                    queries::status(&self.state, &replication, &self.publisher, scheduler).await;
                QueryResponse::Document(document)
            }
            Query::Job(name) => QueryResponse::Document(queries::job(&self.state, &name)),
        }
    }

    fn heartbeat(
        &mut self,
        worker: &WorkerName,
        body_json: &[u8],
        reply: Reply<HeartbeatResponse>,
    ) -> Result<(), ActorProcessingErr> {
        let Some(reply) = self.admit(reply) else { return Ok(()) };
        let report = match heartbeat::decode(worker, body_json) {
            Ok(report) => report,
            Err(response) => {
                let _ = reply.send(Ok(response));
                return Ok(());
            }
        };
        let now = self.clock.now();
        let Role::Leader(leader) = &mut self.role else { return Ok(()) };
        let commands = leader.heartbeat(self.state.leases(), report, reply, now);
        self.check_leadership();
        self.propose_leases(commands, PendingProposal::Reports)
    }
}

/// Returns the key of the record that a command may change.
fn changed_key(command: &ControlCommand) -> Option<RecordKey> {
    match command {
        ControlCommand::Change { change, .. } => {
            yuccatack_records::decode_key(change.document.as_bytes()).ok()
        }
        ControlCommand::Leases { .. } | ControlCommand::Claim { .. } => None,
    }
}
