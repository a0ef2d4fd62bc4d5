//! Task that owns the state of the publisher and the outgoing half of each stream.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;
use tonic::Status;
use yuccatack_core::prelude::*;

use super::service::UpdateReceiver;
use super::state::{InForceStatus, NotLeader, PublisherState, StreamId};
use crate::clock::MonotonicClock;
use crate::limits::STREAM_IDLE_TIMEOUT;
use crate::message::{PublishedRecord, RecordUpdate, Report, Update};
use crate::state::MinionEntry;

/// Maximum number of messages that wait for the publisher task.
const MAILBOX_LENGTH: usize = 4_096;
/// Maximum number of updates that wait for one stream. Later changes are merged into one delta,
/// which is computed once the stream has capacity.
const STREAM_QUEUE_LENGTH: usize = 2;
/// Interval between checks for idle streams and expired minions; short compared with the shortest
/// limit, 1.5 s.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

enum PublisherMessage {
    Reset { revision: Revision, records: Vec<PublishedRecord> },
    Publish(RecordUpdate),
    BecomeLeader,
    BecomeFollower { leader: Option<SocketAddr> },
    ConfirmLeadership { confirmed_at: Instant },
    Open { reply: oneshot::Sender<Result<(StreamId, UpdateReceiver), NotLeader>> },
    Report { stream: StreamId, report: Report },
    Close { stream: StreamId },
    ReadInForce { revision: Revision, reply: oneshot::Sender<InForceStatus> },
    ReadStatus { reply: oneshot::Sender<PublisherStatus> },
}

/// Summary of the publisher for status pages and metrics.
#[derive(Clone, Debug, Default)]
pub struct PublisherStatus {
    /// Newest published revision.
    pub revision: Revision,
    /// Number of processes that reported within the retention time of nodes.
    pub node_count: usize,
    /// Number of open streams.
    pub stream_count: usize,
    /// Minions in the views of the entries.
    pub minions: Vec<Arc<MinionEntry>>,
}

/// Sends requests to the publisher task, which all clones share.
///
/// The task ends when every clone is dropped. A call to a task that has stopped has no effect and
/// returns default values.
#[derive(Clone, Debug)]
pub struct ViewPublisher {
    messages: mpsc::Sender<PublisherMessage>,
}

impl std::fmt::Debug for PublisherMessage {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PublisherMessage")
    }
}

impl ViewPublisher {
    /// Starts the publisher task as a follower without records.
    pub fn spawn() -> Self {
        let (messages, mailbox) = mpsc::channel(MAILBOX_LENGTH);
        tokio::spawn(PublisherTask::new(mailbox).run());
        Self { messages }
    }

    /// Replaces all records, at the start and after an installed snapshot of the replicated state.
    pub async fn reset(&self, revision: Revision, records: Vec<PublishedRecord>) {
        self.send(PublisherMessage::Reset { revision, records }).await;
    }

    /// Publishes one committed change. It must be called in revision order, also on followers.
    pub async fn publish(&self, update: RecordUpdate) {
        self.send(PublisherMessage::Publish(update)).await;
    }

    /// Starts to serve streams as the leader.
    pub async fn become_leader(&self) {
        self.send(PublisherMessage::BecomeLeader).await;
    }

    /// Ends all streams and gives their nodes the address of the new leader, if it is known.
    pub async fn become_follower(&self, leader: Option<SocketAddr>) {
        self.send(PublisherMessage::BecomeFollower { leader }).await;
    }

    /// Records that a quorum confirmed the leadership of this replica after `confirmed_at`.
    ///
    /// Several times a second, the control process reads the clock, completes a read index, applies
    /// and publishes every change up to that index, and then calls this. A report keeps its node
    /// fresh only if a confirmation follows it.
    pub async fn confirm_leadership(&self, confirmed_at: Instant) {
        self.send(PublisherMessage::ConfirmLeadership { confirmed_at }).await;
    }

    /// Returns whether the change of `revision` is in force everywhere, and the nodes that have not
    /// applied it.
    pub async fn in_force(&self, revision: Revision) -> InForceStatus {
        let (reply, response) = oneshot::channel();
        self.send(PublisherMessage::ReadInForce { revision, reply }).await;
        let not_in_force = InForceStatus { everywhere: false, missing_nodes: Vec::new() };
        response.await.unwrap_or(not_in_force)
    }

    /// Returns a summary of the records, nodes, streams and minions.
    pub async fn status(&self) -> PublisherStatus {
        let (reply, response) = oneshot::channel();
        self.send(PublisherMessage::ReadStatus { reply }).await;
        response.await.unwrap_or_default()
    }

    pub(super) async fn open_stream(&self) -> Result<(StreamId, UpdateReceiver), Status> {
        let (reply, response) = oneshot::channel();
        self.send(PublisherMessage::Open { reply }).await;
        match response.await {
            Ok(stream) => Ok(stream?),
            Err(_) => Err(Status::unavailable("this control replica stops; try another one")),
        }
    }

    pub(super) async fn report(&self, stream: StreamId, report: Report) {
        self.send(PublisherMessage::Report { stream, report }).await;
    }

    pub(super) async fn close(&self, stream: StreamId) {
        self.send(PublisherMessage::Close { stream }).await;
    }

    async fn send(&self, message: PublisherMessage) {
        // Sending fails only after the task has stopped, which happens when the process ends.
        let _ = self.messages.send(message).await;
    }
}

struct OutgoingStream {
    updates: mpsc::Sender<Result<Update, Status>>,
    blocked_since: Option<TimestampMs>,
}

struct PublisherTask {
    mailbox: mpsc::Receiver<PublisherMessage>,
    state: PublisherState,
    outgoing: BTreeMap<StreamId, OutgoingStream>,
    /// Streams for which an update may be due.
    pending_streams: BTreeSet<StreamId>,
    next_stream: StreamId,
    clock: MonotonicClock,
}

impl PublisherTask {
    fn new(mailbox: mpsc::Receiver<PublisherMessage>) -> Self {
        Self {
            mailbox,
            state: PublisherState::default(),
            outgoing: BTreeMap::new(),
            pending_streams: BTreeSet::new(),
            next_stream: 1,
            clock: MonotonicClock::start(),
        }
    }

    async fn run(mut self) {
        let mut expiry_ticks = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
        expiry_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(message) => self.handle_batch(message),
                    None => return,
                },
                _ = expiry_ticks.tick() => self.expire(),
            }
            self.send_updates();
        }
    }

    /// Handles the waiting messages before updates are sent, so that a burst of changes leads to
    /// one update per stream.
    fn handle_batch(&mut self, first: PublisherMessage) {
        self.handle(first);
        for _ in 0..MAILBOX_LENGTH {
            match self.mailbox.try_recv() {
                Ok(message) => self.handle(message),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, message: PublisherMessage) {
        let now = self.clock.now();
        match message {
            PublisherMessage::Reset { revision, records } => {
                self.state.reset(revision, records, now);
                self.end_streams(None);
            }
            PublisherMessage::Publish(update) => {
                self.state.publish(update, now);
                self.mark_all_pending();
            }
            PublisherMessage::BecomeLeader => {
                self.end_streams(None);
                self.state.become_leader(now);
            }
            PublisherMessage::BecomeFollower { leader } => {
                self.end_streams(leader);
                self.state.become_follower(leader);
            }
            PublisherMessage::ConfirmLeadership { confirmed_at } => {
                self.state.confirm_leadership(self.clock.timestamp(confirmed_at));
                self.mark_all_pending();
            }
            PublisherMessage::Open { reply } => {
                // If the requester has gone, the stream receives no reports and is closed as idle.
                let _ = reply.send(self.open(now));
            }
            PublisherMessage::Report { stream, report } => {
                self.state.handle_report(stream, &report, now);
                self.pending_streams.insert(stream);
            }
            PublisherMessage::Close { stream } => {
                self.state.close(stream);
                self.outgoing.remove(&stream);
            }
            PublisherMessage::ReadInForce { revision, reply } => {
                let _ = reply.send(self.state.in_force(revision, now));
            }
            PublisherMessage::ReadStatus { reply } => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn open(&mut self, now: TimestampMs) -> Result<(StreamId, UpdateReceiver), NotLeader> {
        let stream = self.next_stream;
        self.state.open(stream, now)?;
        self.next_stream += 1;
        let (updates, receiver) = mpsc::channel(STREAM_QUEUE_LENGTH);
        self.outgoing.insert(stream, OutgoingStream { updates, blocked_since: None });
        Ok((stream, receiver))
    }

    fn status(&self) -> PublisherStatus {
        PublisherStatus {
            revision: self.state.revision(),
            node_count: self.state.node_count(),
            stream_count: self.outgoing.len(),
            minions: self.state.minions(),
        }
    }

    fn end_streams(&mut self, leader: Option<SocketAddr>) {
        for (stream, outgoing) in std::mem::take(&mut self.outgoing) {
            self.state.close(stream);
            // If the queue is full, the hint is lost and the node tries the replicas in turn.
            let _ = outgoing.updates.try_send(Err(NotLeader { leader }.into()));
        }
        self.pending_streams.clear();
    }

    fn expire(&mut self) {
        for stream in self.state.expire(self.clock.now()) {
            self.outgoing.remove(&stream);
        }
        self.mark_all_pending();
    }

    fn mark_all_pending(&mut self) {
        self.pending_streams.extend(self.outgoing.keys());
    }

    fn send_updates(&mut self) {
        let now = self.clock.now();
        for stream in std::mem::take(&mut self.pending_streams) {
            if !self.send_update(stream, now) {
                self.outgoing.remove(&stream);
                self.state.close(stream);
            }
        }
    }

    /// Returns `false` if the stream must be closed.
    fn send_update(&mut self, stream: StreamId, now: TimestampMs) -> bool {
        let Some(outgoing) = self.outgoing.get_mut(&stream) else { return true };
        match outgoing.updates.try_reserve() {
            Ok(permit) => {
                outgoing.blocked_since = None;
                if let Some(update) = self.state.next_update(stream, now) {
                    permit.send(Ok(update));
                }
                true
            }
            Err(mpsc::error::TrySendError::Full(())) => {
                let blocked_since = *outgoing.blocked_since.get_or_insert(now);
                now.since(blocked_since) <= STREAM_IDLE_TIMEOUT
            }
            Err(mpsc::error::TrySendError::Closed(())) => false,
        }
    }
}
