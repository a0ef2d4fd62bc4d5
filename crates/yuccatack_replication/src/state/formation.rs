//! Forming a new cluster, and telling members from strangers.
//!
//! A new data folder cannot tell whether its replica is new or was wiped. So a cluster is formed
//! only once, by the initial voter with the lowest number, after every initial voter has said that
//! it belongs to no cluster. Its first log entry binds each voter's number to the incarnation of
//! its data folder, and a replica counts answers only from the bound incarnation.

use std::collections::BTreeMap;

use yuccatack_core::{Incarnation, TimestampMs};

use super::Replica;
use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::membership::{Member, Membership};
use crate::message::{Message, MessageBody};
use crate::persistence::{HardState, PersistOperation};
use crate::replicated_log::{EntryPayload, LogEntry};

/// What the forming replica has learned.
#[derive(Debug)]
pub(super) struct Forming {
    known: BTreeMap<ReplicaId, Incarnation>,
    pub next_hello: TimestampMs,
    /// The forming replica that this one answered last; only its cluster may be joined.
    answered: Option<Incarnation>,
}

impl Replica {
    pub(super) fn start_forming_if_new(&mut self) {
        if self.cluster() != ClusterId::NONE {
            return;
        }
        let known = BTreeMap::from([(self.settings.replica, self.settings.incarnation)]);
        self.forming = Some(Forming { known, next_hello: self.now, answered: None });
        self.form_if_complete();
    }

    fn is_founder(&self) -> bool {
        self.settings.initial_voters.keys().next() == Some(&self.settings.replica)
    }

    pub(super) fn form_on_time(&mut self) {
        let founder = self.is_founder();
        let Some(forming) = &mut self.forming else { return };
        if self.now < forming.next_hello {
            return;
        }
        forming.next_hello = self.now + self.settings.election_timeout;
        if !founder {
            return;
        }
        let unknown: Vec<ReplicaId> = self
            .settings
            .initial_voters
            .keys()
            .filter(|replica| !forming.known.contains_key(replica))
            .copied()
            .collect();
        for replica in unknown {
            self.send_now(replica, Incarnation::default(), MessageBody::Hello);
        }
    }

    pub(super) fn on_hello(&mut self, message: &Message) {
        if let Some(forming) = &mut self.forming {
            forming.answered = Some(message.from_incarnation);
        }
        self.send_after_hard_state(message.from, message.from_incarnation, MessageBody::HelloReply);
    }

    pub(super) fn on_hello_reply(&mut self, message: &Message) {
        if !self.is_founder() {
            return;
        }
        let Some(forming) = &mut self.forming else { return };
        if message.cluster != ClusterId::NONE {
            // The cluster exists, so this folder is a stranger until a leader adds it.
            log::warn!(
                event = "cluster_exists", replica = self.settings.replica.get();
                "the cluster was formed with another data folder of this replica; remove the old \
                 member and add this replica as a learner"
            );
            forming.known.clear();
            return;
        }
        forming.known.insert(message.from, message.from_incarnation);
        self.form_if_complete();
    }

    fn form_if_complete(&mut self) {
        if !self.is_founder() {
            return;
        }
        let Some(forming) = &self.forming else { return };
        let mut voters = BTreeMap::new();
        for (replica, address) in &self.settings.initial_voters {
            let Some(incarnation) = forming.known.get(replica) else { return };
            voters.insert(*replica, Member { address: *address, incarnation: *incarnation });
        }
        self.form(Membership { voters, ..Membership::default() });
    }

    fn form(&mut self, membership: Membership) {
        self.forming = None;
        let term = Term::new(1);
        let cluster = ClusterId::new(self.settings.incarnation.get());
        self.set_hard_state(HardState { term, voted_for: self.settings.replica, cluster });
        let entry = LogEntry {
            term,
            index: LogIndex::new(1),
            payload: EntryPayload::Membership(membership),
        };
        self.log.push(entry.clone());
        self.operations.push(PersistOperation::Append(vec![entry]));
        self.reload_memberships();
        // Nobody else can lead yet, so there is nothing to wait for.
        self.election_deadline = self.now;
    }

    fn join(&mut self, cluster: ClusterId) {
        self.forming = None;
        let HardState { term, voted_for, .. } = self.hard_state;
        self.set_hard_state(HardState { term, voted_for, cluster });
    }

    /// Whether a message concerns this data folder and comes from the one it claims to.
    pub(super) fn accepts(&mut self, message: &Message) -> bool {
        if message.to != self.settings.replica {
            return false;
        }
        let for_this_folder = message.to_incarnation == self.settings.incarnation;
        let for_any_folder = message.to_incarnation == Incarnation::default();
        if !for_this_folder && !for_any_folder {
            return false;
        }
        if matches!(message.body, MessageBody::Hello | MessageBody::HelloReply) {
            return true;
        }
        if message.cluster == ClusterId::NONE {
            return false;
        }
        if self.cluster() == ClusterId::NONE && self.may_join(message, for_this_folder) {
            self.join(message.cluster);
        }
        if message.cluster != self.cluster() {
            return false;
        }
        self.sender_is_genuine(message)
    }

    fn may_join(&self, message: &Message, for_this_folder: bool) -> bool {
        let Some(forming) = &self.forming else { return false };
        let answered_other =
            forming.answered.is_some_and(|incarnation| incarnation.get() != message.cluster.get());
        match message.body {
            MessageBody::VoteRequest { .. } => for_this_folder && !answered_other,
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::SnapshotChunk { .. } => !for_this_folder || !answered_other,
            _ => false,
        }
    }

    /// Whether an answer comes from the data folder that the membership names.
    ///
    /// Requests are not checked: the sender may be a newer member than this replica knows, and
    /// whoever gets the answer counts it by its own membership.
    fn sender_is_genuine(&self, message: &Message) -> bool {
        let is_answer = matches!(
            message.body,
            MessageBody::VoteResponse { .. }
                | MessageBody::AppendResponse(_)
                | MessageBody::HeartbeatResponse { .. }
                | MessageBody::SnapshotResponse { .. }
        );
        if !is_answer {
            return true;
        }
        match self.membership().voter(message.from) {
            Some(member) => member.incarnation == message.from_incarnation,
            None => true,
        }
    }
}
