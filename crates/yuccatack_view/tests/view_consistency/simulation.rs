//! Simulation of three control replicas and their nodes in virtual time.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind};
use yuccatack_view::limits::{REPORT_INTERVAL, STREAM_IDLE_TIMEOUT};
use yuccatack_view::{MinionState, NodeRole, PublishedRecord, RecordUpdate};

use crate::invariants::{Contents, Invariants, Summary};
use crate::network::{Link, NodeMessage, ReplicaMessage};
use crate::node::Node;
use crate::replica::{ReadIndex, Replica, address, replica_index};

pub const REPLICA_COUNT: usize = 3;
pub const ENTRY_COUNT: usize = 3;
const AGENT_COUNT: usize = 3;
pub const STEP_MS: u64 = 10;
const NAMES: [&str; 4] = ["tri", "fin", "geo", "bio"];

pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub leader: usize,
    pub replicas: Vec<Replica>,
    pub nodes: Vec<Node>,
    pub links: BTreeMap<u64, Link>,
    pub next_link: u64,
    pub next_incarnation: u64,
    pub committed: Vec<RecordUpdate>,
    /// Planned suspensions of nodes: start time, index of the node and end time.
    pub suspensions: Vec<(u64, usize, u64)>,
    pub invariants: Invariants,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let role = |index| if index < ENTRY_COUNT { NodeRole::Entry } else { NodeRole::Agent };
        let count = ENTRY_COUNT + AGENT_COUNT;
        let nodes = (0..count).map(|index| Node::new(index, role(index), index as u64 + 1));
        let contents = vec![Contents::new()];
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            leader: 0,
            replicas: (0..REPLICA_COUNT).map(|_| Replica::new()).collect(),
            nodes: nodes.collect(),
            links: BTreeMap::new(),
            next_link: 1,
            next_incarnation: count as u64 + 1,
            committed: Vec::new(),
            suspensions: Vec::new(),
            invariants: Invariants { seed, contents, ..Invariants::default() },
        }
    }

    pub fn run(&mut self, duration_ms: u64, with_faults: bool) {
        for _ in 0..duration_ms / STEP_MS {
            self.now += STEP_MS;
            if with_faults {
                self.inject_faults();
            } else {
                self.clear_faults();
            }
            self.commit(with_faults);
            for replica in 0..REPLICA_COUNT {
                self.step_replica(replica);
            }
            for node in 0..self.nodes.len() {
                self.step_node(node);
            }
        }
    }

    pub fn summary(&self) -> Summary {
        self.invariants.summary
    }

    /// Asserts that after the recovery each node is fresh at the newest revision and that each
    /// entry has all minions in its view.
    pub fn check_recovered(&self) {
        let seed = self.invariants.seed;
        let newest = self.committed.len() as u64;
        assert_eq!(
            self.invariants.in_force_revision, newest,
            "seed {seed}: newest revision in force everywhere"
        );
        for node in &self.nodes {
            let fresh = node.state.fresh_until().is_some_and(|limit| self.now < limit.get());
            assert!(fresh, "seed {seed}: {} is not fresh", node.name);
            assert_eq!(
                node.state.view().revision.get(),
                newest,
                "seed {seed}: revision of {}",
                node.name
            );
            let expected = if node.role == NodeRole::Entry { AGENT_COUNT } else { 0 };
            assert_eq!(
                node.state.view().minions.len(),
                expected,
                "seed {seed}: minions of {}",
                node.name
            );
        }
    }

    /// Lets the leader commit changes of random records, alternating between bursts and a low rate.
    fn commit(&mut self, with_faults: bool) {
        let burst = (self.now / 3_000).is_multiple_of(2);
        let mean_interval_ms = if burst { 40 } else { 1_500 };
        if !with_faults || !self.replicas[self.leader].is_reachable(self.now) {
            return;
        }
        if !self.occurs(mean_interval_ms) {
            return;
        }
        let revision = self.committed.len() as u64 + 1;
        let name = NAMES[self.rng.random_range(0..NAMES.len())];
        let key =
            RecordKey { kind: RecordKind::Organisation, name: RecordName::new(name).unwrap() };
        let mut contents = self.invariants.contents.last().unwrap().clone();
        let mut update = RecordUpdate {
            revision: Revision::new(revision),
            changed: Vec::new(),
            removed: Vec::new(),
        };
        if contents.contains_key(name) && self.rng.random_range(0..4) == 0 {
            contents.remove(name);
            update.removed.push(key);
        } else {
            contents.insert(name.to_owned(), revision);
            let document = format!(
                r#"{{"schema_version":1,"kind":"organisation","name":"{name}","gpu_quota":1}}"#
            );
            update.changed.push(PublishedRecord {
                key,
                generation: Generation::new(revision),
                revision: Revision::new(revision),
                document: Bytes::from(document),
            });
        }
        self.invariants.contents.push(contents);
        self.committed.push(update);
    }

    fn step_replica(&mut self, index: usize) {
        let now = self.now;
        let committed = self.committed.len();
        let leader = self.leader;
        for read in &mut self.replicas[index].read_indexes {
            if read.committed.is_none() && now >= read.decided_at {
                read.committed = Some((leader == index).then_some(committed));
            }
        }
        if !self.replicas[index].is_running(now) {
            return;
        }
        self.apply_leader_change(index);
        self.catch_up(index);
        self.receive_reports(index);
        self.start_read_index(index);
        let replica = &mut self.replicas[index];
        replica.confirm(now);
        if now.is_multiple_of(100) {
            for stream in replica.state.expire(TimestampMs::new(now)) {
                self.links.remove(&stream);
            }
        }
        self.record_in_force(index);
        self.send_updates(index);
    }

    /// Applies a change of leadership once the replica learns of it.
    fn apply_leader_change(&mut self, index: usize) {
        let now = self.now;
        let leader = self.leader;
        let replica = &mut self.replicas[index];
        if now < replica.leadership_known_at || replica.is_leader == (leader == index) {
            return;
        }
        replica.is_leader = leader == index;
        if replica.is_leader {
            replica.state.become_leader(TimestampMs::new(now));
        } else {
            replica.state.become_follower(Some(address(leader)));
        }
        replica.read_indexes.clear();
        let closed_links: Vec<u64> =
            self.links.iter().filter(|(_, l)| l.replica == index).map(|(id, _)| *id).collect();
        for id in closed_links {
            let Some(link) = self.links.get_mut(&id) else { continue };
            link.closed_by_replica = true;
            link.down.send(ReplicaMessage::NotLeader(Some(leader)), now, &mut self.rng);
        }
    }

    fn catch_up(&mut self, index: usize) {
        let connected = self.now >= self.replicas[index].partitioned_until;
        if !connected || !self.rng.random_bool(0.3) {
            return;
        }
        let replica = &mut self.replicas[index];
        for update in &self.committed[replica.published..] {
            replica.state.publish(update.clone(), TimestampMs::new(self.now));
        }
        replica.published = self.committed.len();
    }

    fn receive_reports(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        for (id, link) in &mut self.links {
            while link.replica == index
                && !link.closed_by_replica
                && let Some(message) = link.up.receive(now)
            {
                match message {
                    NodeMessage::Open => {
                        if let Err(error) = replica.state.open(*id, TimestampMs::new(now)) {
                            let hint = error.leader.map(replica_index);
                            link.closed_by_replica = true;
                            link.down.send(ReplicaMessage::NotLeader(hint), now, &mut self.rng);
                        }
                    }
                    NodeMessage::Report(report) => {
                        replica.state.handle_report(*id, &report, TimestampMs::new(now));
                    }
                }
            }
        }
    }

    fn start_read_index(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        if !replica.is_leader || now < replica.next_read_index_at {
            return;
        }
        replica.next_read_index_at = now + 100;
        if now < replica.partitioned_until {
            return;
        }
        let delay = self.rng.random_range(1..60);
        replica.read_indexes.push(ReadIndex {
            started_at: now,
            decided_at: now + delay,
            completed_at: now + 2 * delay,
            committed: None,
        });
    }

    /// Records the newest revision that the replica reports to operators as in force everywhere.
    fn record_in_force(&mut self, index: usize) {
        let now = TimestampMs::new(self.now);
        let replica = &self.replicas[index];
        let newest = replica.published as u64;
        let revisions = (self.invariants.in_force_revision + 1..=newest).rev();
        let in_force =
            |revision: &u64| replica.state.in_force_everywhere(Revision::new(*revision), now);
        if let Some(revision) = revisions.into_iter().find(in_force) {
            self.invariants.record_in_force(revision);
        }
    }

    fn send_updates(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        for (id, link) in &mut self.links {
            let open = link.replica == index && !link.closed_by_replica && link.has_capacity();
            if open && let Some(update) = replica.state.next_update(*id, TimestampMs::new(now)) {
                link.down.send(ReplicaMessage::Update(update), now, &mut self.rng);
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.now;
        if let Some(restart_at) = self.nodes[index].restart_at
            && now >= restart_at
        {
            self.next_incarnation += 1;
            let role = self.nodes[index].role;
            self.nodes[index] = Node::new(index, role, self.next_incarnation);
        }
        if !self.nodes[index].is_running(now) {
            return;
        }
        // Work starts first, because a process that was suspended may start work before it reads
        // any message.
        self.invariants.try_work_start(&self.nodes[index], now);
        if self.nodes[index].minion_state == MinionState::Ready {
            self.invariants.clear_departure(&self.nodes[index]);
        }
        if self.nodes[index].terminates_at.is_some_and(|at| now >= at) {
            self.kill(index);
            return;
        }
        self.nodes[index].state.expire(TimestampMs::new(now));
        match self.nodes[index].link {
            None => self.connect(index),
            Some(link) => self.receive_updates(index, link),
        }
    }

    fn connect(&mut self, index: usize) {
        let now = self.now;
        if now < self.nodes[index].reconnect_at {
            return;
        }
        let random_replica = self.rng.random_range(0..REPLICA_COUNT);
        let replica = self.nodes[index].hint.take().unwrap_or(random_replica);
        let id = self.next_link;
        self.next_link += 1;
        let mut link = Link::new(index, replica);
        link.up.send(NodeMessage::Open, now, &mut self.rng);
        self.links.insert(id, link);
        let node = &mut self.nodes[index];
        node.link = Some(id);
        node.idle_deadline = now + STREAM_IDLE_TIMEOUT.get();
        node.state.start_stream();
        self.send_report(index);
    }

    fn receive_updates(&mut self, index: usize, id: u64) {
        let now = self.now;
        let mut report_due = now >= self.nodes[index].report_at;
        while let Some(message) = self.links.get_mut(&id).and_then(|link| link.down.receive(now)) {
            self.nodes[index].idle_deadline = now + STREAM_IDLE_TIMEOUT.get();
            match message {
                ReplicaMessage::Update(update) => {
                    match self.nodes[index].state.apply(update, TimestampMs::new(now)) {
                        Ok(due) => report_due |= due,
                        Err(_) => return self.disconnect(index),
                    }
                    self.invariants.check_view(&self.nodes[index], now);
                }
                ReplicaMessage::NotLeader(hint) => {
                    self.nodes[index].hint = hint;
                    return self.disconnect(index);
                }
            }
        }
        if now >= self.nodes[index].idle_deadline || !self.links.contains_key(&id) {
            return self.disconnect(index);
        }
        if report_due {
            self.send_report(index);
        }
    }

    fn send_report(&mut self, index: usize) {
        let now = self.now;
        let load = self.rng.random_range(0..8);
        let node = &mut self.nodes[index];
        node.report_at = now + REPORT_INTERVAL.get();
        let report = node.state.next_report(node.minion(load), TimestampMs::new(now));
        if let Some(link) = node.link.and_then(|id| self.links.get_mut(&id)) {
            link.up.send(NodeMessage::Report(report), now, &mut self.rng);
        }
    }
}
