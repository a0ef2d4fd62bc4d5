//! Formation of a new cluster, and checks that a message belongs to this cluster.
//!
//! An empty data folder does not show if its replica is new or has lost its data. A cluster is
//! therefore formed only once, by its founder: the initial voter with the lowest number. It forms
//! the cluster after every initial voter has reported that it belongs to no cluster. The first log
//! entry binds each voter's number to the incarnation of its data folder, and a replica counts
//! responses only from the bound incarnation.

use std::collections::BTreeMap;

use yuccatack_core::{Incarnation, TimestampMs};

use super::Replica;
use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::membership::{Member, Membership};
use crate::message::{Message, MessageBody};
use crate::persistence::{HardState, PersistOperation};
use crate::replicated_log::{EntryPayload, LogEntry};

/// State of a replica that belongs to no cluster yet.
#[derive(Debug)]
pub(super) struct Formation {
    known_incarnations: BTreeMap<ReplicaId, Incarnation>,
    pub next_hello: TimestampMs,
    /// Incarnation of the founder that this replica responded to last; only its cluster may be
    /// joined.
    answered_founder: Option<Incarnation>,
}

impl Replica {
    pub(super) fn start_formation_if_new(&mut self) {
        // A founder that stopped between writing its hard state and its first entry forms the
        // cluster again. No other replica knows the cluster, as messages wait for both writes.
        let own_cluster = ClusterId::new(self.settings.incarnation.get());
        let formation_incomplete =
            self.cluster() == own_cluster && self.log.last().index == LogIndex::default();
        if self.cluster() != ClusterId::NONE && !formation_incomplete {
            return;
        }
        let known_incarnations =
            BTreeMap::from([(self.settings.replica, self.settings.incarnation)]);
        self.formation =
            Some(Formation { known_incarnations, next_hello: self.now, answered_founder: None });
        self.form_if_complete();
    }

    fn is_founder(&self) -> bool {
        self.settings.initial_voters.keys().next() == Some(&self.settings.replica)
    }

    pub(super) fn run_formation_timers(&mut self) {
        let founder = self.is_founder();
        let Some(formation) = &mut self.formation else { return };
        if self.now < formation.next_hello {
            return;
        }
        formation.next_hello = self.now + self.settings.election_timeout;
        if !founder {
            return;
        }
        let unknown: Vec<ReplicaId> = self
            .settings
            .initial_voters
            .keys()
            .filter(|replica| !formation.known_incarnations.contains_key(replica))
            .copied()
            .collect();
        for replica in unknown {
            self.send_now(replica, Incarnation::default(), MessageBody::Hello);
        }
    }

    pub(super) fn on_hello(&mut self, message: &Message) {
        if let Some(formation) = &mut self.formation {
            formation.answered_founder = Some(message.from_incarnation);
        }
        self.send_after_hard_state(message.from, message.from_incarnation, MessageBody::HelloReply);
    }

    pub(super) fn on_hello_reply(&mut self, message: &Message) {
        if !self.is_founder() {
            return;
        }
        let Some(formation) = &mut self.formation else { return };
        if message.cluster != ClusterId::NONE {
            // The cluster exists, so this data folder is not a member until a leader adds it.
            log::warn!(
                event = "cluster_exists", replica = self.settings.replica.get();
                "the cluster was formed with another data folder of this replica, so this replica \
                 does not join it; remove the old member and add this replica as a learner"
            );
            formation.known_incarnations.clear();
            return;
        }
        formation.known_incarnations.insert(message.from, message.from_incarnation);
        self.form_if_complete();
    }

    fn form_if_complete(&mut self) {
        if !self.is_founder() {
            return;
        }
        let Some(formation) = &self.formation else { return };
        let mut voters = BTreeMap::new();
        for (replica, address) in &self.settings.initial_voters {
            let Some(incarnation) = formation.known_incarnations.get(replica) else { return };
            voters.insert(*replica, Member { address: *address, incarnation: *incarnation });
        }
        self.form(Membership { voters, ..Membership::default() });
    }

    fn form(&mut self, membership: Membership) {
        self.formation = None;
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
        // No other replica can become leader yet, so the election need not wait for a timeout.
        self.election_deadline = self.now;
    }

    fn join(&mut self, cluster: ClusterId) {
        self.formation = None;
        let HardState { term, voted_for, .. } = self.hard_state;
        self.set_hard_state(HardState { term, voted_for, cluster });
    }

    /// Returns `true` if a message is for this data folder or for any, comes from the same cluster,
    /// and, if it is a voter's response, from the data folder that the membership names.
    ///
    /// `Hello` and `HelloReply` are accepted from any cluster. A replica without a cluster joins
    /// that of the sender if the message allows it.
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
        self.response_matches_membership(message)
    }

    fn may_join(&self, message: &Message, for_this_folder: bool) -> bool {
        let Some(formation) = &self.formation else { return false };
        let answered_other_founder = formation
            .answered_founder
            .is_some_and(|incarnation| incarnation.get() != message.cluster.get());
        match message.body {
            MessageBody::VoteRequest { .. } => for_this_folder && !answered_other_founder,
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::SnapshotChunk { .. } => !for_this_folder || !answered_other_founder,
            _ => false,
        }
    }

    /// Returns `true` unless a voter's response comes from another data folder than the membership
    /// names.
    ///
    /// Requests are not checked: the sender may belong to a newer membership than this replica
    /// knows, and the receiver of the response counts it by its own membership.
    fn response_matches_membership(&self, message: &Message) -> bool {
        let is_response = matches!(
            message.body,
            MessageBody::VoteResponse { .. }
                | MessageBody::AppendResponse(_)
                | MessageBody::HeartbeatResponse { .. }
                | MessageBody::SnapshotResponse { .. }
        );
        if !is_response {
            return true;
        }
        match self.membership().voter(message.from) {
            Some(member) => member.incarnation == message.from_incarnation,
            None => true,
        }
    }
}
