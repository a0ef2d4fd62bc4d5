//! Outputs of the state machine, and the rules on which writes must be synced before a message is
//! sent.

use yuccatack_core::{Incarnation, TimestampMs};

use super::Replica;
use crate::committed::Committed;
use crate::error::{ChangeError, ReplicaFailure};
use crate::identifiers::{ChangeNumber, ReplicaId};
use crate::message::{Message, MessageBody};
use crate::persistence::PersistBatch;

/// Actions that the caller of the state machine must carry out.
#[derive(Debug, Default)]
pub struct Outputs {
    /// Messages to send; they need not wait for `persist`.
    pub messages: Vec<Message>,
    /// Writes to make after those of all earlier batches.
    pub persist: Option<PersistBatch>,
    /// Items to deliver to the user of the log, in order.
    pub committed: Vec<Committed>,
    /// Results of requested membership changes.
    pub changes: Vec<(ChangeNumber, Result<(), ChangeError>)>,
    /// Failure after which the replica must stop.
    pub failure: Option<ReplicaFailure>,
    /// Latest time for the next call of [`Replica::step`], with a tick if there is no other input.
    pub next_tick: TimestampMs,
}

impl Replica {
    fn message(&self, to: ReplicaId, to_incarnation: Incarnation, body: MessageBody) -> Message {
        Message {
            from: self.settings.replica,
            from_incarnation: self.settings.incarnation,
            from_address: self.settings.address,
            to,
            to_incarnation,
            cluster: self.cluster(),
            term: self.hard_state.term,
            body,
        }
    }

    /// Sends a message whose content does not depend on any unsynced write.
    pub(super) fn send_now(&mut self, to: ReplicaId, incarnation: Incarnation, body: MessageBody) {
        let message = self.message(to, incarnation, body);
        self.outputs.messages.push(message);
    }

    /// Sends a message that reveals the sender's term or cluster, once the hard state is on disk.
    pub(super) fn send_after_hard_state(
        &mut self,
        to: ReplicaId,
        incarnation: Incarnation,
        body: MessageBody,
    ) {
        let message = self.message(to, incarnation, body);
        self.send_after_batch(self.hard_state_sequence, message);
    }

    /// Sends a vote or an acknowledgement once all writes requested so far are on disk.
    pub(super) fn send_after_sync(
        &mut self,
        to: ReplicaId,
        incarnation: Incarnation,
        body: MessageBody,
    ) {
        let message = self.message(to, incarnation, body);
        let collecting = !self.operations.is_empty();
        let sequence = if collecting { self.next_sequence } else { self.next_sequence - 1 };
        self.send_after_batch(sequence, message);
    }

    fn send_after_batch(&mut self, sequence: u64, message: Message) {
        if sequence <= self.synced_sequence {
            self.outputs.messages.push(message);
        } else {
            self.messages_awaiting_sync.push_back((sequence, message));
        }
    }

    /// Moves the collected writes into a batch for the next outputs.
    pub(super) fn close_batch(&mut self) {
        if self.operations.is_empty() {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.unsynced.push_back((sequence, self.log.last().index));
        let operations = std::mem::take(&mut self.operations);
        self.outputs.persist = Some(PersistBatch { sequence, operations });
    }

    pub(super) fn on_synced(&mut self, sequence: u64) {
        assert!(sequence < self.next_sequence, "confirmed batch {sequence} was never requested");
        self.synced_sequence = self.synced_sequence.max(sequence);
        while let Some((batch, last_index)) = self.unsynced.front().copied()
            && batch <= sequence
        {
            self.unsynced.pop_front();
            self.synced_index = last_index;
        }
        let waiting = std::mem::take(&mut self.messages_awaiting_sync);
        for (batch, message) in waiting {
            self.send_after_batch(batch, message);
        }
        self.advance_commit();
        self.count_own_vote();
    }
}
