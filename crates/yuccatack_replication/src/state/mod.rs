//! The consensus state machine: `(state, input, now) -> outputs`, without I/O, clock or global
//! random source.
//!
//! [`Replica::step`] takes one input; [`Replica::take_outputs`] returns what the inputs since the
//! last call require, so that everything that waits shares one write and one message per peer.

mod delivery;
mod election;
mod follower;
mod formation;
mod hashes;
mod input;
mod leader;
mod membership_change;
mod outputs;
mod progress;
mod reads;
mod snapshots;
mod view;

use std::collections::{BTreeMap, VecDeque};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccatack_core::{Incarnation, TimestampMs};

pub use self::input::{Input, ReplicaSettings};
pub use self::outputs::Outputs;
pub use self::view::{ReplicaView, RoleView};

use self::election::Ballot;
use self::formation::Forming;
use self::hashes::StateHashes;
use self::leader::LeaderState;
use self::snapshots::IncomingSnapshot;
use crate::committed::{Committed, Leadership};
use crate::error::ReplicaFailure;
use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use crate::message::{Message, MessageBody};
use crate::persistence::{HardState, PersistOperation, Recovered, StateSnapshot};
use crate::replicated_log::Log;

/// What a replica currently does in its term.
#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Box<LeaderState>),
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    settings: ReplicaSettings,
    random: ChaCha8Rng,
    now: TimestampMs,

    hard_state: HardState,
    log: Log,
    snapshot: Option<StateSnapshot>,
    /// Memberships by the index that set them; the last one is in force, committed or not.
    memberships: Vec<(LogIndex, Membership)>,

    role: Role,
    leader: Option<ReplicaId>,
    last_leader_contact: Option<TimestampMs>,
    election_deadline: TimestampMs,
    forming: Option<Forming>,
    incoming_snapshot: Option<IncomingSnapshot>,
    hashes: StateHashes,

    commit: LogIndex,
    delivered: LogIndex,
    snapshot_wanted: Option<LogIndex>,

    /// The sequence number of the batch that is being collected.
    next_sequence: u64,
    /// The batch that holds the newest hard state.
    hard_state_sequence: u64,
    synced_sequence: u64,
    synced_index: LogIndex,
    /// Batches that are not synced yet, with the last index that each covers.
    unsynced: VecDeque<(u64, LogIndex)>,
    /// Messages that may leave only once a batch is synced.
    held_messages: VecDeque<(u64, Message)>,
    operations: Vec<PersistOperation>,
    outputs: Outputs,
}

impl Replica {
    /// Starts from what the data folder holds; `seed` feeds the election timeouts.
    pub fn new(
        settings: ReplicaSettings,
        recovered: Recovered,
        seed: u64,
        now: TimestampMs,
    ) -> Self {
        let snapshot = recovered.snapshot;
        let log = Log::new(recovered.base, recovered.entries);
        let snapshot_index = snapshot.as_ref().map_or(LogIndex::default(), |held| held.last.index);
        let synced_index = log.last().index;
        assert!(synced_index >= snapshot_index, "the log ends before the snapshot");
        let mut replica = Self {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            hard_state: recovered.hard_state,
            log,
            snapshot,
            memberships: Vec::new(),
            role: Role::Follower,
            leader: None,
            last_leader_contact: None,
            election_deadline: now,
            forming: None,
            incoming_snapshot: None,
            hashes: StateHashes::default(),
            commit: snapshot_index,
            delivered: LogIndex::default(),
            snapshot_wanted: None,
            next_sequence: 1,
            hard_state_sequence: 0,
            synced_sequence: 0,
            synced_index,
            unsynced: VecDeque::new(),
            held_messages: VecDeque::new(),
            operations: Vec::new(),
            outputs: Outputs::default(),
        };
        replica.reload_memberships();
        replica.reset_election_deadline();
        replica.start_forming_if_new();
        replica.announce_leader(None);
        replica
    }

    /// Takes one input. `now` never decreases.
    pub fn step(&mut self, input: Input, now: TimestampMs) {
        assert!(now >= self.now, "time went backwards");
        self.now = now;
        // A process that was paused must find out before it acts on what waited meanwhile.
        self.check_quorum_contact();
        match input {
            Input::Tick => {}
            Input::Message(message) => self.on_message(message),
            Input::Synced { sequence } => self.on_synced(sequence),
            Input::Propose { proposal, payload } => self.on_propose(proposal, payload),
            Input::Read { read } => self.on_read(read),
            Input::StoreSnapshot { index, payload } => self.on_store_snapshot(index, payload),
            Input::StateHash { index, hash } => self.on_own_state_hash(index, hash),
            Input::ChangeMembership { number, change } => self.on_change_request(number, change),
            Input::TransferLeadership => self.on_transfer_request(),
        }
        self.on_time();
        self.deliver();
    }

    fn on_time(&mut self) {
        self.form_on_time();
        if self.is_leader() {
            self.lead_on_time();
        } else if self.now >= self.election_deadline {
            self.on_election_timeout();
        }
    }

    /// Returns what the inputs since the last call require.
    pub fn take_outputs(&mut self) -> Outputs {
        self.replicate();
        self.seal_batch();
        let mut outputs = std::mem::take(&mut self.outputs);
        outputs.next_tick = self.next_tick();
        outputs
    }

    fn next_tick(&self) -> TimestampMs {
        let role_deadline = match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ => self.election_deadline,
        };
        self.forming.as_ref().map_or(role_deadline, |forming| forming.next_hello.min(role_deadline))
    }

    fn on_message(&mut self, message: Message) {
        if !self.accepts(&message) {
            return;
        }
        match message.body {
            MessageBody::Hello => return self.on_hello(&message),
            MessageBody::HelloReply => return self.on_hello_reply(&message),
            MessageBody::VoteRequest { .. } => return self.on_vote_request(&message),
            _ => {}
        }
        if message.term > self.hard_state.term {
            self.become_follower(message.term, None);
        }
        // A pre-vote is often given by a replica of an older term; its answer names its election.
        let is_vote = matches!(message.body, MessageBody::VoteResponse { .. });
        if message.term < self.hard_state.term && !is_vote {
            return self.on_stale(&message);
        }
        self.on_current(message);
    }

    fn on_current(&mut self, message: Message) {
        let Message { from, from_incarnation, body, .. } = message;
        match body {
            MessageBody::Append { previous, entries, commit } => {
                self.follow(from);
                self.on_append(from, from_incarnation, previous, entries, commit);
            }
            MessageBody::Heartbeat { commit, round } => {
                self.follow(from);
                self.on_heartbeat(from, from_incarnation, commit, round);
            }
            MessageBody::SnapshotChunk { last, membership, offset_bytes, total_bytes, data } => {
                self.follow(from);
                let chunk = IncomingSnapshot::new(last, membership, total_bytes);
                self.on_snapshot_chunk(from, from_incarnation, chunk, offset_bytes, &data);
            }
            MessageBody::VoteResponse { for_term, pre_vote, granted } => {
                self.on_vote_response(from, for_term, pre_vote, granted);
            }
            MessageBody::AppendResponse(outcome) => {
                self.on_append_response(from, from_incarnation, outcome);
            }
            MessageBody::HeartbeatResponse { round } => {
                self.on_heartbeat_response(from, from_incarnation, round);
            }
            MessageBody::SnapshotResponse { index, received_bytes } => {
                self.on_snapshot_response(from, from_incarnation, index, received_bytes);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(from),
            MessageBody::StateHash { index, hash } => self.on_peer_state_hash(from, index, hash),
            MessageBody::Hello | MessageBody::HelloReply | MessageBody::VoteRequest { .. } => {}
        }
    }

    /// Tells a leader of an older term about the present one; answers nothing else.
    fn on_stale(&mut self, message: &Message) {
        let from_old_leader = matches!(
            message.body,
            MessageBody::Append { .. }
                | MessageBody::Heartbeat { .. }
                | MessageBody::SnapshotChunk { .. }
        );
        if from_old_leader {
            let body = MessageBody::HeartbeatResponse { round: 0 };
            self.send_after_hard_state(message.from, message.from_incarnation, body);
        }
    }

    /// The membership in force.
    pub fn membership(&self) -> &Membership {
        // A replica that has received nothing yet has one empty membership.
        &self.memberships[self.memberships.len() - 1].1
    }

    fn membership_index(&self) -> LogIndex {
        self.memberships[self.memberships.len() - 1].0
    }

    fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    fn is_voter(&self) -> bool {
        self.membership().is_voter(self.settings.replica, self.settings.incarnation)
    }

    /// Whether this replica may ask for votes.
    ///
    /// A replica that an uncommitted entry removes may be the only one that holds this entry. Then
    /// no other one can win an election, so it must be able to.
    fn may_campaign(&self) -> bool {
        let (replica, incarnation) = (self.settings.replica, self.settings.incarnation);
        for (index, membership) in self.memberships.iter().rev() {
            if membership.is_voter(replica, incarnation) {
                return true;
            }
            if *index <= self.commit {
                break;
            }
        }
        false
    }

    fn cluster(&self) -> ClusterId {
        self.hard_state.cluster
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        if hard_state == self.hard_state {
            return;
        }
        assert!(hard_state.term >= self.hard_state.term, "the term would decrease");
        if hard_state.term == self.hard_state.term {
            let unchanged = self.hard_state.voted_for == ReplicaId::NONE
                || self.hard_state.voted_for == hard_state.voted_for;
            assert!(unchanged, "a second vote in term {}", hard_state.term);
        }
        self.hard_state = hard_state;
        self.hard_state_sequence = self.next_sequence;
        self.operations.push(PersistOperation::HardState(hard_state));
    }

    fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            let hard_state =
                HardState { term, voted_for: ReplicaId::NONE, cluster: self.cluster() };
            self.set_hard_state(hard_state);
        }
        let previous = std::mem::replace(&mut self.role, Role::Follower);
        let lost_lead = matches!(previous, Role::Leader(_));
        if let Role::Leader(state) = previous {
            self.fail_pending(*state);
        }
        self.reset_election_deadline();
        if lost_lead || leader != self.leader {
            self.announce_leader(leader);
        }
    }

    fn announce_leader(&mut self, leader: Option<ReplicaId>) {
        self.leader = leader;
        let leader_address = self.leader_address();
        self.outputs.committed.push(Committed::Leadership(Leadership::Follower { leader_address }));
    }

    fn stop_with(&mut self, failure: ReplicaFailure) {
        self.outputs.failure.get_or_insert(failure);
    }

    /// Removes memberships after a truncation, or reads them all after a start or a snapshot.
    fn reload_memberships(&mut self) {
        let base = match &self.snapshot {
            Some(snapshot) => (snapshot.last.index, snapshot.membership.clone()),
            None => (LogIndex::default(), Membership::default()),
        };
        let mut memberships = BTreeMap::from([base]);
        for entry in self.log.entries() {
            if let crate::replicated_log::EntryPayload::Membership(membership) = &entry.payload {
                memberships.insert(entry.index, membership.clone());
            }
        }
        self.memberships = memberships.into_iter().collect();
    }

    fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }
}
