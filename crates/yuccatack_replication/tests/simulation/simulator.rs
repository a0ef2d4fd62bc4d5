//! Simulator of replicas, their disks and their network on a virtual clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::{DurationMs, Incarnation, TimestampMs};
use yuccatack_replication::state::{Input, Outputs, Replica, ReplicaSettings, RoleView};
use yuccatack_replication::{
    ChangeError, ChangeNumber, HardState, LogIndex, Message, PersistBatch, PersistOperation,
    ProposalId, ReadId, ReplicaId,
};

use super::checks::History;
use super::disk::Disk;

pub const HEARTBEAT_MS: u64 = 50;
pub const ELECTION_TIMEOUT_MS: u64 = 250;

/// Interval at which a write to a stalled disk is tried again.
const STALL_CHECK_INTERVAL_MS: u64 = 20;

#[derive(Clone, Copy)]
pub struct SimulatorSettings {
    pub voter_count: u64,
    pub snapshot_entry_count: u64,
    /// Small limits split the leader's entries into several messages, so that a member may receive
    /// only some of them.
    pub append_limit_bytes: usize,
}

#[derive(Debug)]
enum Event {
    Arrive { to: ReplicaId, boot: u64, message: Message },
    Synced { node: ReplicaId, boot: u64, batch: PersistBatch },
    Tick { node: ReplicaId, boot: u64 },
    Flush { node: ReplicaId, boot: u64 },
}

pub struct Process {
    pub replica: Replica,
    pub boot: u64,
    /// Number of applied commands; lost with the process, as is `applied_index`.
    pub applied_count: usize,
    pub applied_index: LogIndex,
    pub frozen: bool,
    backlog: VecDeque<Input>,
    unsynced: VecDeque<PersistBatch>,
    sync_free_at: u64,
    flush_scheduled: bool,
    tick_at: u64,
    pub open_proposals: BTreeSet<ProposalId>,
    pub open_reads: BTreeSet<ReadId>,
    pub open_changes: BTreeSet<ChangeNumber>,
}

pub struct Node {
    pub disk: Disk,
    /// `true` while no write reaches the disk.
    pub disk_stalled: bool,
    pub process: Option<Process>,
}

pub struct Simulator {
    pub random: ChaCha8Rng,
    pub now: u64,
    pub settings: SimulatorSettings,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub history: History,
    pub blocked: BTreeSet<(ReplicaId, ReplicaId)>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_ms: u64,
    pub max_sync_ms: u64,
    /// Capacity that replicas started from now on assume for their disks.
    pub disk_capacity_bytes: u64,
    pub finished_changes: BTreeMap<(ReplicaId, u64, ChangeNumber), Result<(), ChangeError>>,
    /// Requested promotions with the learner and the commit index at the time of the request.
    pub promotions: BTreeMap<(ReplicaId, u64, ChangeNumber), (ReplicaId, LogIndex)>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_boot: u64,
    next_number: u64,
    next_incarnation: u64,
}

pub fn address(replica: ReplicaId) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, replica.get() as u8], 7000))
}

impl Simulator {
    pub fn new(seed: u64, settings: SimulatorSettings) -> Self {
        let mut simulator = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            settings,
            nodes: BTreeMap::new(),
            history: History::default(),
            blocked: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 3,
            max_sync_ms: 3,
            disk_capacity_bytes: 1 << 30,
            finished_changes: BTreeMap::new(),
            promotions: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_boot: 0,
            next_number: 0,
            next_incarnation: 1_000,
        };
        for number in 1..=settings.voter_count {
            simulator.add_node(ReplicaId::new(number));
        }
        simulator
    }

    pub fn add_node(&mut self, id: ReplicaId) {
        let disk = Disk::new(self.new_incarnation());
        self.nodes.insert(id, Node { disk, disk_stalled: false, process: None });
        self.start(id);
    }

    fn new_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        Incarnation::new(self.next_incarnation)
    }

    pub fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub fn start(&mut self, id: ReplicaId) {
        let voters = 1..=self.settings.voter_count;
        let initial_voters =
            voters.map(|number| (ReplicaId::new(number), address(ReplicaId::new(number))));
        let seed = self.random.random();
        let node = self.nodes.get_mut(&id).unwrap();
        if node.process.is_some() {
            return;
        }
        let settings = ReplicaSettings {
            replica: id,
            incarnation: node.disk.incarnation,
            address: address(id),
            initial_voters: initial_voters.collect(),
            heartbeat: DurationMs::new(HEARTBEAT_MS),
            election_timeout: DurationMs::new(ELECTION_TIMEOUT_MS),
            snapshot_entry_count: self.settings.snapshot_entry_count,
            disk_capacity_bytes: self.disk_capacity_bytes,
            append_limit_bytes: self.settings.append_limit_bytes,
        };
        let recovered = node.disk.recover();
        let replica = Replica::new(settings, recovered, seed, TimestampMs::new(self.now));
        self.next_boot += 1;
        node.process = Some(Process {
            replica,
            boot: self.next_boot,
            applied_count: 0,
            applied_index: LogIndex::default(),
            frozen: false,
            backlog: VecDeque::new(),
            unsynced: VecDeque::new(),
            sync_free_at: self.now,
            flush_scheduled: false,
            tick_at: u64::MAX,
            open_proposals: BTreeSet::new(),
            open_reads: BTreeSet::new(),
            open_changes: BTreeSet::new(),
        });
        self.input(id, Input::Tick);
    }

    /// Stops the process; a random prefix of the unsynced writes reaches the disk.
    pub fn kill(&mut self, id: ReplicaId) {
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(process) = node.process.take() else { return };
        for proposal in process.open_proposals {
            self.history.mark_unknown(proposal);
        }
        for read in process.open_reads {
            self.history.fail_read(read);
        }
        let operations: Vec<PersistOperation> =
            process.unsynced.into_iter().flat_map(|batch| batch.operations).collect();
        let all_lost = self.random.random_bool(0.5);
        let kept = if all_lost { 0 } else { self.random.random_range(0..=operations.len()) };
        for operation in &operations[..kept] {
            node.disk.write(operation);
        }
        if !all_lost && let Some(PersistOperation::Append(entries)) = operations.get(kept) {
            let partial_count = self.random.random_range(0..=entries.len());
            node.disk.append(&entries[..partial_count]);
        }
    }

    /// Stops the process and replaces its data folder with an empty one.
    pub fn wipe(&mut self, id: ReplicaId) {
        self.kill(id);
        let incarnation = self.new_incarnation();
        self.nodes.get_mut(&id).unwrap().disk = Disk::new(incarnation);
    }

    pub fn set_frozen(&mut self, id: ReplicaId, frozen: bool) {
        let Some(process) = self.process_mut(id) else { return };
        process.frozen = frozen;
        if !frozen {
            for input in std::mem::take(&mut process.backlog) {
                self.input(id, input);
            }
            self.input(id, Input::Tick);
        }
    }

    /// Lets no write reach the disk, or ends that. A full disk reports itself, a hanging one does not.
    pub fn stall_disk(&mut self, id: ReplicaId, stalled: bool, full: bool) {
        self.nodes.get_mut(&id).unwrap().disk_stalled = stalled;
        if full {
            self.input(id, Input::DiskFull { full: stalled });
        }
    }

    pub fn process(&self, id: ReplicaId) -> Option<&Process> {
        self.nodes.get(&id).and_then(|node| node.process.as_ref())
    }

    pub fn process_mut(&mut self, id: ReplicaId) -> Option<&mut Process> {
        self.nodes.get_mut(&id).and_then(|node| node.process.as_mut())
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    pub fn input(&mut self, id: ReplicaId, input: Input) {
        let now = self.now;
        let Some(process) = self.process_mut(id) else { return };
        if process.frozen {
            process.backlog.push_back(input);
            return;
        }
        if let Input::ChangeMembership { number, .. } = &input {
            process.open_changes.insert(*number);
        }
        process.replica.step(input, TimestampMs::new(now));
        if process.flush_scheduled {
            return;
        }
        process.flush_scheduled = true;
        let boot = process.boot;
        let delay = self.random.random_range(0..=1);
        self.schedule(now + delay, Event::Flush { node: id, boot });
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = self.now.max(end);
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        self.run_until(self.now + duration_ms);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { to, boot, message } => {
                // A restart of the receiver closes the connection, and the message is lost.
                if self.process(to).is_some_and(|process| process.boot == boot) {
                    self.input(to, Input::Message(message));
                }
            }
            Event::Synced { node, boot, batch } => self.sync(node, boot, &batch),
            Event::Tick { node, boot } => {
                let Some(process) = self.process_mut(node) else { return };
                if process.boot == boot {
                    process.tick_at = u64::MAX;
                    self.input(node, Input::Tick);
                }
            }
            Event::Flush { node, boot } => self.flush(node, boot),
        }
    }

    fn sync(&mut self, id: ReplicaId, boot: u64, batch: &PersistBatch) {
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(process) = &mut node.process else { return };
        if process.boot != boot {
            return;
        }
        // A stall may let the event of a later batch come first.
        let is_next = process.unsynced.front().is_some_and(|next| next.sequence == batch.sequence);
        if node.disk_stalled || !is_next {
            let retry_at = self.now + STALL_CHECK_INTERVAL_MS;
            return self.schedule(retry_at, Event::Synced { node: id, boot, batch: batch.clone() });
        }
        process.unsynced.pop_front();
        for operation in &batch.operations {
            node.disk.write(operation);
        }
        self.check_entries(id, batch, true);
        self.input(id, Input::Synced { sequence: batch.sequence });
    }

    fn flush(&mut self, id: ReplicaId, boot: u64) {
        let now = self.now;
        let Some(process) = self.process_mut(id) else { return };
        if process.boot != boot {
            return;
        }
        process.flush_scheduled = false;
        if process.frozen {
            return;
        }
        let outputs = process.replica.take_outputs();
        let Outputs { messages, persist, committed, changes, failure, next_tick } = outputs;
        assert!(failure.is_none(), "replica {id} stopped: {failure:?}");
        let next_tick = next_tick.get().max(now + 1);
        if next_tick < process.tick_at {
            process.tick_at = next_tick;
            self.schedule(next_tick, Event::Tick { node: id, boot });
        }
        if let Some(batch) = persist {
            self.persist(id, batch);
        }
        for message in messages {
            self.send(message);
        }
        for item in committed {
            self.apply(id, item);
        }
        for (number, result) in changes {
            let process = self.process_mut(id).unwrap();
            assert!(process.open_changes.remove(&number), "a second result of change {number:?}");
            self.check_promotion((id, boot, number), result.is_ok());
            self.finished_changes.insert((id, boot, number), result);
        }
        self.check_leader(id);
    }

    /// Checks that a promoted learner holds all entries committed when the promotion was requested.
    fn check_promotion(&mut self, key: (ReplicaId, u64, ChangeNumber), done: bool) {
        let Some((replica, needed)) = self.promotions.remove(&key) else { return };
        let member = self.process(key.0).unwrap().replica.membership().voter(replica).copied();
        let disk = &self.nodes[&replica].disk;
        // A folder that was wiped after the learner had caught up is an ordinary loss.
        let present = member.is_some_and(|member| member.incarnation == disk.incarnation);
        if done && present {
            let held = disk.last_index();
            assert!(held >= needed, "promoted replica {replica} holds {held}, not {needed}");
        }
    }

    /// Checks log matching for the entries of a batch. A leader sends entries before they are
    /// synced, so they are checked when the write is requested. The founder sends its first entry
    /// only after the sync and may lose it before, so that entry is checked after the sync.
    fn check_entries(&mut self, id: ReplicaId, batch: &PersistBatch, synced: bool) {
        let Some(process) = self.process(id) else { return };
        let cluster = process.replica.view().hard_state.cluster;
        for operation in &batch.operations {
            let PersistOperation::Append(entries) = operation else { continue };
            if synced || entries.first().is_none_or(|first| first.index != LogIndex::new(1)) {
                self.history.check_entries(cluster, entries);
            }
        }
    }

    fn persist(&mut self, id: ReplicaId, batch: PersistBatch) {
        self.check_entries(id, &batch, false);
        let delay = self.random.random_range(0..=self.max_sync_ms);
        let now = self.now;
        let Some(process) = self.process_mut(id) else { return };
        // Waiting batches share one sync, so their delays do not add up.
        let done = process.sync_free_at.max(now + delay);
        process.sync_free_at = done;
        process.unsynced.push_back(batch.clone());
        let boot = process.boot;
        self.schedule(done, Event::Synced { node: id, boot, batch });
    }

    fn send(&mut self, message: Message) {
        let to = message.to;
        if self.blocked.contains(&(message.from, to)) {
            return;
        }
        let Some(boot) = self.process(to).map(|process| process.boot) else { return };
        let copies = 1 + u32::from(self.random.random_range(0..100) < self.duplicate_percent);
        for _ in 0..copies {
            if self.random.random_range(0..100) < self.loss_percent {
                continue;
            }
            let delay = self.random.random_range(0..=self.max_delay_ms);
            let event = Event::Arrive { to, boot, message: message.clone() };
            self.schedule(self.now + delay, event);
        }
    }

    fn check_leader(&mut self, id: ReplicaId) {
        let incarnation = self.nodes[&id].disk.incarnation;
        let Some(process) = self.process(id) else { return };
        let view = process.replica.view();
        if view.role == RoleView::Leader {
            let HardState { term, cluster, .. } = view.hard_state;
            self.history.check_leader(cluster, term, id, incarnation);
        }
    }
}
