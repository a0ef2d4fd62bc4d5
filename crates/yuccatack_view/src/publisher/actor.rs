//! The task that owns the publisher's state and the outgoing half of each stream.

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

/// Messages that may wait for the publisher.
const MAILBOX_LENGTH: usize = 4_096;
/// Updates that may wait for one stream; more wait as a difference that is not yet computed.
const STREAM_QUEUE_LENGTH: usize = 2;
/// How often silence is looked for. It is small against the shortest limit, 1.5 s.
const TICK: Duration = Duration::from_millis(100);

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

/// A summary for status pages and metrics.
#[derive(Clone, Debug, Default)]
pub struct PublisherStatus {
    /// The newest published revision.
    pub revision: Revision,
    /// The processes that reported lately.
    pub node_count: usize,
    /// The open streams.
    pub stream_count: usize,
    /// The minions that get work.
    pub minions: Vec<Arc<MinionEntry>>,
}

/// Talks to the publisher task; a clone talks to the same task.
///
/// The task ends when every clone is gone. A call after that has no effect and returns defaults.
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
    /// Starts the publisher as a follower without records.
    pub fn spawn() -> Self {
        let (messages, mailbox) = mpsc::channel(MAILBOX_LENGTH);
        tokio::spawn(PublisherTask::new(mailbox).run());
        Self { messages }
    }

    /// Replaces all records, at the start and after a snapshot of the replicated state.
    pub async fn reset(&self, revision: Revision, records: Vec<PublishedRecord>) {
        self.send(PublisherMessage::Reset { revision, records }).await;
    }

    /// Publishes one committed change. Call it on followers too, in the order of revisions.
    pub async fn publish(&self, update: RecordUpdate) {
        self.send(PublisherMessage::Publish(update)).await;
    }

    /// This replica leads from now on.
    pub async fn become_leader(&self) {
        self.send(PublisherMessage::BecomeLeader).await;
    }

    /// This replica does not lead any more; streams end with the hint.
    pub async fn become_follower(&self, leader: Option<SocketAddr>) {
        self.send(PublisherMessage::BecomeFollower { leader }).await;
    }

    /// Tells that a quorum confirmed this replica's leadership after `confirmed_at`.
    ///
    /// Several times a second, the control process reads the clock, completes a read index, applies
    /// and publishes every change up to that index, and then calls this. Nodes are fresh only
    /// through reports that a confirmation follows.
    pub async fn confirm_leadership(&self, confirmed_at: Instant) {
        self.send(PublisherMessage::ConfirmLeadership { confirmed_at }).await;
    }

    /// Whether a change is in force everywhere, and if not, which nodes are missing.
    pub async fn in_force(&self, revision: Revision) -> InForceStatus {
        let (reply, answer) = oneshot::channel();
        self.send(PublisherMessage::ReadInForce { revision, reply }).await;
        let stopped = InForceStatus { everywhere: false, missing_nodes: Vec::new() };
        answer.await.unwrap_or(stopped)
    }

    /// A summary.
    pub async fn status(&self) -> PublisherStatus {
        let (reply, answer) = oneshot::channel();
        self.send(PublisherMessage::ReadStatus { reply }).await;
        answer.await.unwrap_or_default()
    }

    pub(super) async fn open_stream(&self) -> Result<(StreamId, UpdateReceiver), Status> {
        let (reply, answer) = oneshot::channel();
        self.send(PublisherMessage::Open { reply }).await;
        match answer.await {
            Ok(opened) => Ok(opened?),
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
        // The task stops only with the process, so a lost message has no one to miss it.
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
    /// Streams that may have something to be sent.
    pending: BTreeSet<StreamId>,
    next_stream: StreamId,
    clock: MonotonicClock,
}

impl PublisherTask {
    fn new(mailbox: mpsc::Receiver<PublisherMessage>) -> Self {
        Self {
            mailbox,
            state: PublisherState::default(),
            outgoing: BTreeMap::new(),
            pending: BTreeSet::new(),
            next_stream: 1,
            clock: MonotonicClock::start(),
        }
    }

    async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(message) => self.handle_batch(message),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            self.send_updates();
        }
    }

    /// Handles what waits before anything is sent, so that a burst makes one update per stream.
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
                self.pend_all();
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
                self.pend_all();
            }
            PublisherMessage::Open { reply } => {
                // A requester that is gone meanwhile leaves a stream that falls silent.
                let _ = reply.send(self.open(now));
            }
            PublisherMessage::Report { stream, report } => {
                self.state.report(stream, &report, now);
                self.pending.insert(stream);
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
            // A full queue loses the hint; the node then tries the replicas in turn.
            let _ = outgoing.updates.try_send(Err(NotLeader { leader }.into()));
        }
        self.pending.clear();
    }

    fn tick(&mut self) {
        for stream in self.state.expire(self.clock.now()) {
            self.outgoing.remove(&stream);
        }
        self.pend_all();
    }

    fn pend_all(&mut self) {
        self.pending.extend(self.outgoing.keys());
    }

    fn send_updates(&mut self) {
        let now = self.clock.now();
        for stream in std::mem::take(&mut self.pending) {
            if !self.send_update(stream, now) {
                self.outgoing.remove(&stream);
                self.state.close(stream);
            }
        }
    }

    /// Returns false when the stream is to be cut.
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
