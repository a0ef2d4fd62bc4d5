//! What a replica asks its shell to do, and the rules for when a message may leave.

use yuccatack_core::{Incarnation, TimestampMs};

use super::Replica;
use crate::committed::Committed;
use crate::error::{ChangeError, ReplicaFailure};
use crate::identifiers::{ChangeNumber, ReplicaId};
use crate::message::{Message, MessageBody};
use crate::persistence::PersistBatch;

/// Everything that inputs require of the shell.
#[derive(Debug, Default)]
pub struct Outputs {
    /// Messages to send now.
    pub messages: Vec<Message>,
    /// Writes to make, in this order and after all earlier batches.
    pub persist: Option<PersistBatch>,
    /// Items for the user of the log.
    pub committed: Vec<Committed>,
    /// Changes of membership that are done.
    pub changes: Vec<(ChangeNumber, Result<(), ChangeError>)>,
    /// Why the replica must stop.
    pub failure: Option<ReplicaFailure>,
    /// When to call [`Replica::step`] with a tick unless something else comes first.
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

    /// Sends a message that promises nothing about the sender's disk.
    pub(super) fn send_now(&mut self, to: ReplicaId, incarnation: Incarnation, body: MessageBody) {
        let message = self.message(to, incarnation, body);
        self.outputs.messages.push(message);
    }

    /// Sends a message that shows the sender's term, once that term is on disk.
    pub(super) fn send_after_hard_state(
        &mut self,
        to: ReplicaId,
        incarnation: Incarnation,
        body: MessageBody,
    ) {
        let message = self.message(to, incarnation, body);
        self.hold(self.hard_state_sequence, message);
    }

    /// Sends a vote or an acknowledgement once everything asked for so far is on disk.
    pub(super) fn send_after_sync(
        &mut self,
        to: ReplicaId,
        incarnation: Incarnation,
        body: MessageBody,
    ) {
        let message = self.message(to, incarnation, body);
        let collecting = !self.operations.is_empty();
        let sequence = if collecting { self.next_sequence } else { self.next_sequence - 1 };
        self.hold(sequence, message);
    }

    fn hold(&mut self, sequence: u64, message: Message) {
        if sequence <= self.synced_sequence {
            self.outputs.messages.push(message);
        } else {
            self.held_messages.push_back((sequence, message));
        }
    }

    /// Closes the batch that was being collected.
    pub(super) fn seal_batch(&mut self) {
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
        assert!(sequence < self.next_sequence, "a batch was confirmed that was never asked for");
        self.synced_sequence = self.synced_sequence.max(sequence);
        while let Some((batch, last_index)) = self.unsynced.front().copied()
            && batch <= sequence
        {
            self.unsynced.pop_front();
            self.synced_index = last_index;
        }
        let waiting = std::mem::take(&mut self.held_messages);
        for (batch, message) in waiting {
            self.hold(batch, message);
        }
        self.advance_commit();
        self.count_own_vote();
    }
}
