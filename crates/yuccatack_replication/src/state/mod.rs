//! Consensus state machine: `(state, input, now) -> outputs`, without I/O, clock or global random
//! source.
//!
//! [`Replica::step`] handles one input. [`Replica::take_outputs`] returns the outputs of all inputs
//! since the last call, so that inputs handled together share one write and one message per peer.

mod delivery;
mod election;
mod follower;
mod formation;
mod handover;
mod hashes;
mod input;
mod leader;
mod membership_change;
mod outputs;
mod progress;
mod reads;
mod snapshots;
mod space;
mod view;

use std::collections::{BTreeMap, VecDeque};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccatack_core::{Incarnation, TimestampMs};

pub use self::input::{Input, ReplicaSettings};
pub use self::outputs::Outputs;
pub use self::view::{ReplicaView, RoleView};

use self::election::VoteTally;
use self::formation::Formation;
use self::hashes::StateHashes;
use self::leader::LeaderState;
use self::snapshots::IncomingSnapshot;
use self::space::ByteLimits;
use crate::committed::{Committed, Leadership};
use crate::error::ReplicaFailure;
use crate::identifiers::{ClusterId, LogIndex, ReplicaId, Term};
use crate::membership::Membership;
use crate::message::{Message, MessageBody};
use crate::persistence::{HardState, PersistOperation, Recovered, StateSnapshot};
use crate::replicated_log::Log;

/// Role of a replica in its current term.
#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(Box<LeaderState>),
}

/// State machine of one replica.
#[derive(Debug)]
pub struct Replica {
    settings: ReplicaSettings,
    random: ChaCha8Rng,
    now: TimestampMs,

    hard_state: HardState,
    log: Log,
    snapshot: Option<StateSnapshot>,
    /// Memberships with the index of the entry that set them; the last one is in effect, committed
    /// or not.
    memberships: Vec<(LogIndex, Membership)>,

    role: Role,
    leader: Option<ReplicaId>,
    last_leader_contact: Option<TimestampMs>,
    election_deadline: TimestampMs,
    formation: Option<Formation>,
    incoming_snapshot: Option<IncomingSnapshot>,
    hashes: StateHashes,

    commit: LogIndex,
    delivered: LogIndex,
    snapshot_requested_at: Option<LogIndex>,
    disk_full: bool,
    byte_limits: ByteLimits,
    /// Size of the entries in the log file, those included that later ones replace.
    stored_log_bytes: u64,

    /// Sequence number of the batch that is being collected.
    next_sequence: u64,
    /// Sequence number of the batch that holds the newest hard state.
    hard_state_sequence: u64,
    synced_sequence: u64,
    synced_index: LogIndex,
    /// Sequence numbers of the batches that are not synced yet, each with the last index that it
    /// covers.
    unsynced: VecDeque<(u64, LogIndex)>,
    /// Messages that must not be sent before the batch with the given sequence number is synced.
    messages_awaiting_sync: VecDeque<(u64, Message)>,
    operations: Vec<PersistOperation>,
    outputs: Outputs,
}

impl Replica {
    /// Creates a replica from its durable state; `seed` determines its random election timeouts.
    pub fn new(
        settings: ReplicaSettings,
        recovered: Recovered,
        seed: u64,
        now: TimestampMs,
    ) -> Self {
        let snapshot = recovered.snapshot;
        let log = Log::new(recovered.base, recovered.entries);
        let snapshot_index =
            snapshot.as_ref().map_or(LogIndex::default(), |snapshot| snapshot.last.index);
        let synced_index = log.last().index;
        assert!(synced_index >= snapshot_index, "log ends at {synced_index}, before the snapshot");
        let byte_limits = ByteLimits::new(settings.disk_capacity_bytes);
        let stored_log_bytes = log.bytes_between(log.base().index, synced_index);
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
            formation: None,
            incoming_snapshot: None,
            hashes: StateHashes::default(),
            commit: snapshot_index,
            delivered: LogIndex::default(),
            snapshot_requested_at: None,
            disk_full: false,
            byte_limits,
            stored_log_bytes,
            next_sequence: 1,
            hard_state_sequence: 0,
            synced_sequence: 0,
            synced_index,
            unsynced: VecDeque::new(),
            messages_awaiting_sync: VecDeque::new(),
            operations: Vec::new(),
            outputs: Outputs::default(),
        };
        replica.compact_recovered_log();
        replica.reload_memberships();
        replica.reset_election_deadline();
        replica.start_formation_if_new();
        let own = replica.settings.replica;
        if replica.is_voter() && replica.membership().has_quorum(|voter| voter == own) {
            // No other replica can become leader, so the election need not wait for a timeout.
            replica.election_deadline = now;
        }
        replica.announce_leader(None);
        replica
    }

    /// Handles one input. `now` must not decrease between calls.
    pub fn step(&mut self, input: Input, now: TimestampMs) {
        assert!(now >= self.now, "time of the input is before that of the last one");
        self.now = now;
        // A leader whose process was paused must step down before it handles waiting inputs.
        self.check_quorum();
        match input {
            Input::Tick => {}
            Input::Message(message) => self.on_message(message),
            Input::Synced { sequence } => self.on_synced(sequence),
            Input::Propose { proposal, class, payload } => {
                self.on_propose(proposal, class, payload);
            }
            Input::DiskFull { full } => self.on_disk_full(full),
            Input::Read { read } => self.on_read(read),
            Input::StoreSnapshot { index, payload } => self.on_store_snapshot(index, payload),
            Input::StateHash { index, hash } => self.on_own_state_hash(index, hash),
            Input::ChangeMembership { number, change } => self.on_change_request(number, change),
            Input::TransferLeadership => self.on_transfer_request(),
        }
        self.run_timers();
        self.deliver();
    }

    fn run_timers(&mut self) {
        self.run_formation_timers();
        if self.is_leader() {
            self.run_leader_timers();
            self.hand_over_if_disk_lags();
        } else if self.now >= self.election_deadline {
            self.on_election_timeout();
        }
    }

    /// Returns the outputs of all inputs since the last call.
    pub fn take_outputs(&mut self) -> Outputs {
        self.replicate();
        self.close_batch();
        let mut outputs = std::mem::take(&mut self.outputs);
        outputs.next_tick = self.next_tick();
        outputs
    }

    fn next_tick(&self) -> TimestampMs {
        let role_deadline = match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ => self.election_deadline,
        };
        self.formation
            .as_ref()
            .map_or(role_deadline, |formation| formation.next_hello.min(role_deadline))
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
        // A pre-vote may come from a replica of an older term; the response names its election.
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
            MessageBody::HeartbeatResponse { round, disk_full } => {
                self.on_heartbeat_response(from, from_incarnation, round, disk_full);
            }
            MessageBody::SnapshotResponse { index, received_bytes } => {
                self.on_snapshot_response(from, from_incarnation, index, received_bytes);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(from),
            MessageBody::StateHash { index, hash } => self.on_peer_state_hash(from, index, hash),
            MessageBody::Hello | MessageBody::HelloReply | MessageBody::VoteRequest { .. } => {}
        }
    }

    /// Notifies a leader of an older term of the current term; ignores all other messages.
    fn on_stale(&mut self, message: &Message) {
        let from_old_leader = matches!(
            message.body,
            MessageBody::Append { .. }
                | MessageBody::Heartbeat { .. }
                | MessageBody::SnapshotChunk { .. }
        );
        if from_old_leader {
            let body = MessageBody::HeartbeatResponse { round: 0, disk_full: self.disk_full };
            self.send_after_hard_state(message.from, message.from_incarnation, body);
        }
    }

    /// Returns the membership in effect, committed or not.
    pub fn membership(&self) -> &Membership {
        // The list is never empty: a new replica starts with one empty membership.
        &self.memberships[self.memberships.len() - 1].1
    }

    fn membership_index(&self) -> LogIndex {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Returns the membership in effect after the entry at `index`, which must not be before the
    /// snapshot.
    fn membership_at(&self, index: LogIndex) -> &Membership {
        let set_count = self.memberships.partition_point(|(set_at, _)| *set_at <= index);
        &self.memberships[set_count.saturating_sub(1)].1
    }

    fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    fn is_voter(&self) -> bool {
        self.membership().is_voter(self.settings.replica, self.settings.incarnation)
    }

    /// Returns `true` if this replica may start an election.
    ///
    /// A replica that an uncommitted entry removes may be the only one that holds this entry. No
    /// other replica can win an election then, so this one must be allowed to.
    fn may_start_election(&self) -> bool {
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
        assert!(hard_state.term >= self.hard_state.term, "the term of the hard state decreases");
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
        let lost_leadership = matches!(previous, Role::Leader(_));
        if let Role::Leader(state) = previous {
            self.fail_pending(*state);
        }
        self.reset_election_deadline();
        if lost_leadership || leader != self.leader {
            self.announce_leader(leader);
        }
    }

    fn announce_leader(&mut self, leader: Option<ReplicaId>) {
        self.leader = leader;
        let leader_address = self.leader_address();
        self.outputs.committed.push(Committed::Leadership(Leadership::Follower { leader_address }));
    }

    fn fail_with(&mut self, failure: ReplicaFailure) {
        self.outputs.failure.get_or_insert(failure);
    }

    /// Rebuilds the list of memberships from the snapshot and the log.
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
