//! Three replicas, their nodes and the faults between them.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind};
use yuccatack_view::limits::{REPORT_INTERVAL, STREAM_IDLE_TIMEOUT};
use yuccatack_view::{MinionState, NodeRole, PublishedRecord, RecordUpdate};

use crate::invariants::{Contents, Invariants, Summary};
use crate::network::{Down, Link, Up};
use crate::node::Node;
use crate::replica::{ReadIndex, Replica, address, replica_of};

pub const REPLICA_COUNT: usize = 3;
pub const ENTRY_COUNT: usize = 3;
const AGENT_COUNT: usize = 3;
pub const STEP_MS: u64 = 10;
const NAMES: [&str; 4] = ["tri", "fin", "geo", "bio"];

pub struct Simulation {
    pub random: ChaCha8Rng,
    pub now: u64,
    pub leader: usize,
    pub replicas: Vec<Replica>,
    pub nodes: Vec<Node>,
    pub links: BTreeMap<u64, Link>,
    pub next_link: u64,
    pub next_incarnation: u64,
    pub committed: Vec<RecordUpdate>,
    /// Nodes to be suspended: when, which, and until when.
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
            random: ChaCha8Rng::seed_from_u64(seed),
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

    pub fn run(&mut self, duration_ms: u64, faulty: bool) {
        for _ in 0..duration_ms / STEP_MS {
            self.now += STEP_MS;
            if faulty {
                self.inject_faults();
            } else {
                self.heal();
            }
            self.commit(faulty);
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

    /// Without faults every node is fresh at the newest revision and sees every minion.
    pub fn check_recovered(&self) {
        let seed = self.invariants.seed;
        let newest = self.committed.len() as u64;
        assert_eq!(self.invariants.declared, newest, "seed {seed}: in force everywhere");
        for node in &self.nodes {
            let fresh = node.state.fresh_until().is_some_and(|limit| self.now < limit.get());
            assert!(fresh, "seed {seed}: {} is not fresh", node.name);
            assert_eq!(node.state.view().revision.get(), newest, "seed {seed}: {}", node.name);
            let expected = if node.role == NodeRole::Entry { AGENT_COUNT } else { 0 };
            assert_eq!(node.state.view().minions.len(), expected, "seed {seed}: {}", node.name);
        }
    }

    /// The leader commits a change of some record now and then, in bursts.
    fn commit(&mut self, faulty: bool) {
        let burst = (self.now / 3_000).is_multiple_of(2);
        let mean_interval_ms = if burst { 40 } else { 1_500 };
        if !faulty || !self.replicas[self.leader].reachable(self.now) {
            return;
        }
        if !self.chance(mean_interval_ms) {
            return;
        }
        let revision = self.committed.len() as u64 + 1;
        let name = NAMES[self.random.random_range(0..NAMES.len())];
        let key =
            RecordKey { kind: RecordKind::Organisation, name: RecordName::new(name).unwrap() };
        let mut contents = self.invariants.contents.last().unwrap().clone();
        let mut update = RecordUpdate {
            revision: Revision::new(revision),
            changed: Vec::new(),
            removed: Vec::new(),
        };
        if contents.contains_key(name) && self.random.random_range(0..4) == 0 {
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
        if !self.replicas[index].runs(now) {
            return;
        }
        self.learn(index);
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
        self.declare(index);
        self.send_updates(index);
    }

    /// The replica learns whether it leads.
    fn learn(&mut self, index: usize) {
        let now = self.now;
        let leader = self.leader;
        let replica = &mut self.replicas[index];
        if now < replica.learns_at || replica.leads == (leader == index) {
            return;
        }
        replica.leads = leader == index;
        if replica.leads {
            replica.state.become_leader(TimestampMs::new(now));
        } else {
            replica.state.become_follower(Some(address(leader)));
        }
        replica.read_indexes.clear();
        let ended: Vec<u64> =
            self.links.iter().filter(|(_, l)| l.replica == index).map(|(id, _)| *id).collect();
        for id in ended {
            let Some(link) = self.links.get_mut(&id) else { continue };
            link.closed_by_replica = true;
            link.down.send(Down::NotLeader(Some(leader)), now, &mut self.random);
        }
    }

    fn catch_up(&mut self, index: usize) {
        let connected = self.now >= self.replicas[index].partitioned_until;
        if !connected || !self.random.random_bool(0.3) {
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
                    Up::Open => {
                        if let Err(refusal) = replica.state.open(*id, TimestampMs::new(now)) {
                            let hint = refusal.leader.map(replica_of);
                            link.closed_by_replica = true;
                            link.down.send(Down::NotLeader(hint), now, &mut self.random);
                        }
                    }
                    Up::Report(report) => {
                        replica.state.report(*id, &report, TimestampMs::new(now));
                    }
                }
            }
        }
    }

    fn start_read_index(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        if !replica.leads || now < replica.next_read_index_at {
            return;
        }
        replica.next_read_index_at = now + 100;
        if now < replica.partitioned_until {
            return;
        }
        let delay = self.random.random_range(1..60);
        replica.read_indexes.push(ReadIndex {
            started_at: now,
            decided_at: now + delay,
            completed_at: now + 2 * delay,
            committed: None,
        });
    }

    /// The replica says what is in force everywhere, as it does to an operator who asks.
    fn declare(&mut self, index: usize) {
        let now = TimestampMs::new(self.now);
        let replica = &self.replicas[index];
        let newest = replica.published as u64;
        let revisions = (self.invariants.declared + 1..=newest).rev();
        let in_force =
            |revision: &u64| replica.state.in_force_everywhere(Revision::new(*revision), now);
        if let Some(revision) = revisions.into_iter().find(in_force) {
            self.invariants.declare(revision);
        }
    }

    fn send_updates(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        for (id, link) in &mut self.links {
            let open = link.replica == index && !link.closed_by_replica && link.takes_update();
            if open && let Some(update) = replica.state.next_update(*id, TimestampMs::new(now)) {
                link.down.send(Down::Update(update), now, &mut self.random);
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
        if !self.nodes[index].runs(now) {
            return;
        }
        // First of all, as a process that was suspended may do before it reads any message.
        self.invariants.start_work(&self.nodes[index], now);
        if self.nodes[index].minion_state == MinionState::Ready {
            self.invariants.resume(&self.nodes[index]);
        }
        if self.nodes[index].ends_at.is_some_and(|at| now >= at) {
            self.kill(index);
            return;
        }
        self.nodes[index].state.expire(TimestampMs::new(now));
        match self.nodes[index].link {
            None => self.connect(index),
            Some(link) => self.follow(index, link),
        }
    }

    fn connect(&mut self, index: usize) {
        let now = self.now;
        if now < self.nodes[index].reconnect_at {
            return;
        }
        let guess = self.random.random_range(0..REPLICA_COUNT);
        let replica = self.nodes[index].hint.take().unwrap_or(guess);
        let id = self.next_link;
        self.next_link += 1;
        let mut link = Link::new(index, replica);
        link.up.send(Up::Open, now, &mut self.random);
        self.links.insert(id, link);
        let node = &mut self.nodes[index];
        node.link = Some(id);
        node.silent_at = now + STREAM_IDLE_TIMEOUT.get();
        node.state.start_stream();
        self.send_report(index);
    }

    fn follow(&mut self, index: usize, id: u64) {
        let now = self.now;
        let mut report_due = now >= self.nodes[index].report_at;
        while let Some(message) = self.links.get_mut(&id).and_then(|link| link.down.receive(now)) {
            self.nodes[index].silent_at = now + STREAM_IDLE_TIMEOUT.get();
            match message {
                Down::Update(update) => {
                    match self.nodes[index].state.apply(update, TimestampMs::new(now)) {
                        Ok(due) => report_due |= due,
                        Err(_) => return self.disconnect(index),
                    }
                    self.invariants.check_view(&self.nodes[index], now);
                }
                Down::NotLeader(hint) => {
                    self.nodes[index].hint = hint;
                    return self.disconnect(index);
                }
            }
        }
        if now >= self.nodes[index].silent_at || !self.links.contains_key(&id) {
            return self.disconnect(index);
        }
        if report_due {
            self.send_report(index);
        }
    }

    fn send_report(&mut self, index: usize) {
        let now = self.now;
        let load = self.random.random_range(0..8);
        let node = &mut self.nodes[index];
        node.report_at = now + REPORT_INTERVAL.get();
        let report = node.state.next_report(node.minion(load), TimestampMs::new(now));
        if let Some(link) = node.link.and_then(|id| self.links.get_mut(&id)) {
            link.up.send(Up::Report(report), now, &mut self.random);
        }
    }
}
