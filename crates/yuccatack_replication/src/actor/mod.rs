//! Actor that owns one replica: its state machine, its storage and its connections.

mod peers;
mod start;
mod storage_task;

use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ractor::concurrency::JoinHandle;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc, oneshot, watch};
use yuccatack_core::{FastHashMap, TimestampMs};

use crate::committed::{Committed, ProposalClass};
use crate::error::{ChangeError, ReplicaFailure};
use crate::handle::ReplicationStatus;
use crate::identifiers::{ChangeNumber, LogIndex, ProposalId, ReadId};
use crate::membership::MembershipChange;
use crate::message::Message;
use crate::persistence::PersistBatch;
use crate::state::{Input, Outputs, Replica};

pub(crate) use self::peers::Peers;
pub(crate) use self::start::start_actor;

/// Messages that the actor handles.
#[derive(Debug)]
pub(crate) enum ActorMessage {
    Propose(ProposalId, ProposalClass, Bytes),
    Read(ReadId),
    StoreSnapshot(LogIndex, Bytes),
    StateHash(LogIndex, u64),
    Receive(Message),
    /// Carries out the outputs of all messages that were in the mailbox before it.
    Flush,
    Tick,
    Synced(u64),
    /// The disk became full, or takes writes again.
    DiskFull(bool),
    StorageFailed(ReplicaFailure),
    TransferLeadership(oneshot::Sender<()>),
    ChangeMembership(MembershipChange, oneshot::Sender<Result<(), ChangeError>>),
    Stop(oneshot::Sender<()>),
}

/// Behaviour of the replication actor; its state is in [`ActorState`].
pub(crate) struct ReplicationActor;

/// State of the replication actor.
pub(crate) struct ActorState {
    replica: Replica,
    started_at: Instant,
    batches: Option<Sender<PersistBatch>>,
    storage_ended: Option<oneshot::Receiver<()>>,
    committed: mpsc::UnboundedSender<Committed>,
    status: watch::Sender<ReplicationStatus>,
    closed: watch::Sender<bool>,
    peers: Peers,
    timer: Option<(TimestampMs, JoinHandle<()>)>,
    flush_requested: bool,
    next_change: u64,
    changes: FastHashMap<ChangeNumber, oneshot::Sender<Result<(), ChangeError>>>,
    transfer_replies: Vec<oneshot::Sender<()>>,
}

impl Actor for ReplicationActor {
    type Msg = ActorMessage;
    type State = ActorState;
    type Arguments = ActorState;

    async fn pre_start(
        &self,
        myself: ActorRef<ActorMessage>,
        state: ActorState,
    ) -> Result<ActorState, ActorProcessingErr> {
        myself.cast(ActorMessage::Tick)?;
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<ActorMessage>,
        message: ActorMessage,
        state: &mut ActorState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ActorMessage::Flush => state.flush(&myself),
            ActorMessage::StorageFailed(failure) => state.fail(&myself, failure),
            ActorMessage::Stop(reply) => {
                state.shut_down().await;
                // The caller may have stopped waiting.
                let _ = reply.send(());
                myself.stop(None);
            }
            ActorMessage::TransferLeadership(reply) => {
                state.transfer_replies.push(reply);
                state.step(&myself, Input::TransferLeadership);
            }
            ActorMessage::ChangeMembership(change, reply) => {
                state.next_change += 1;
                let number = ChangeNumber::new(state.next_change);
                state.changes.insert(number, reply);
                state.step(&myself, Input::ChangeMembership { number, change });
            }
            ActorMessage::Propose(proposal, class, payload) => {
                state.step(&myself, Input::Propose { proposal, class, payload });
            }
            ActorMessage::Read(read) => state.step(&myself, Input::Read { read }),
            ActorMessage::StoreSnapshot(index, payload) => {
                state.step(&myself, Input::StoreSnapshot { index, payload });
            }
            ActorMessage::StateHash(index, hash) => {
                state.step(&myself, Input::StateHash { index, hash });
            }
            ActorMessage::Receive(message) => {
                state.peers.set_reported_address(message.from, message.from_address);
                state.step(&myself, Input::Message(message));
            }
            ActorMessage::Synced(sequence) => state.step(&myself, Input::Synced { sequence }),
            ActorMessage::DiskFull(full) => state.step(&myself, Input::DiskFull { full }),
            ActorMessage::Tick => {
                state.timer = None;
                state.step(&myself, Input::Tick);
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<ActorMessage>,
        state: &mut ActorState,
    ) -> Result<(), ActorProcessingErr> {
        state.shut_down().await;
        Ok(())
    }
}

impl ActorState {
    fn now(&self) -> TimestampMs {
        let elapsed_ms = self.started_at.elapsed().as_millis();
        TimestampMs::new(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    fn step(&mut self, myself: &ActorRef<ActorMessage>, input: Input) {
        let now = self.now();
        self.replica.step(input, now);
        if !self.flush_requested {
            // The mailbox is a FIFO queue, so all messages that wait now are handled before the
            // flush and share its outgoing messages and its sync.
            self.flush_requested = myself.cast(ActorMessage::Flush).is_ok();
        }
    }

    fn flush(&mut self, myself: &ActorRef<ActorMessage>) {
        self.flush_requested = false;
        let outputs = self.replica.take_outputs();
        let Outputs { messages, persist, committed, changes, failure, next_tick } = outputs;
        if let (Some(batch), Some(batches)) = (persist, &self.batches) {
            // A closed channel means that the storage failed; `StorageFailed` is in the mailbox.
            let _ = batches.send(batch);
        }
        for message in messages {
            self.peers.send(message, self.replica.membership());
        }
        for item in committed {
            // The user may have dropped the receiver before the replica stops.
            let _ = self.committed.send(item);
        }
        for (number, result) in changes {
            if let Some(reply) = self.changes.remove(&number) {
                let _ = reply.send(result);
            }
        }
        self.publish_status();
        if let Some(failure) = failure {
            return self.fail(myself, failure);
        }
        self.schedule(myself, next_tick);
    }

    fn publish_status(&mut self) {
        let view = self.replica.view();
        let next = ReplicationStatus::from_view(&view);
        if !view.transferring_leadership {
            for reply in self.transfer_replies.drain(..) {
                let _ = reply.send(());
            }
        }
        self.status.send_if_modified(|status| {
            let changed = *status != next;
            if changed {
                *status = next;
            }
            changed
        });
    }

    /// Ensures that a tick arrives no later than `deadline`, with at most one timer.
    fn schedule(&mut self, myself: &ActorRef<ActorMessage>, deadline: TimestampMs) {
        if let Some((due, timer)) = &self.timer {
            if *due <= deadline {
                return;
            }
            timer.abort();
        }
        // Rounded up: a tick just before the deadline would have no effect and need another one.
        let delay = Duration::from(deadline.since(self.now())) + Duration::from_millis(1);
        let timer = myself.send_after(delay, || ActorMessage::Tick);
        let handle = tokio::spawn(async move {
            // The timer task ends by itself when the actor has stopped.
            let _ = timer.await;
        });
        self.timer = Some((deadline, handle));
    }

    fn fail(&mut self, myself: &ActorRef<ActorMessage>, failure: ReplicaFailure) {
        log::error!(event = "replica_failed"; "{failure}");
        self.status.send_modify(|status| status.failure = Some(failure));
        myself.stop(Some("failed".to_owned()));
    }

    async fn shut_down(&mut self) {
        self.batches = None;
        if let Some(ended) = self.storage_ended.take() {
            // The storage task drops the sender when it ends, also when it panics.
            let _ = ended.await;
        }
        self.peers.disconnect();
        self.closed.send_replace(true);
        self.transfer_replies.clear();
        for (_, reply) in self.changes.drain() {
            let _ = reply.send(Err(ChangeError::Stopped));
        }
    }
}
