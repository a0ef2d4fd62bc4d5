//! Simulation of operators, replicas and the network between them in virtual time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_records::{Change, Operation, RecordKind, RecordStore};

use crate::history::{History, Summary};
use crate::support::{change, key, organisation};

const REPLICA_COUNT: usize = 3;
const NAMES: [&str; 3] = ["tri", "fin", "geo"];
/// Maximum deviation of a leader's clock from virtual time, in either direction.
const CLOCK_SKEW_MS: u64 = 2_000;
const EIGHT_DAYS_MS: u64 = 8 * 24 * 3600 * 1000;

struct Replica {
    store: RecordStore,
    applied: usize,
}

/// A change in flight to the leader.
struct Message {
    change: Change,
    deliver_at_step: u64,
}

pub struct Simulation {
    random: ChaCha8Rng,
    step: u64,
    now_ms: u64,
    log: Vec<(Change, TimestampMs)>,
    replicas: Vec<Replica>,
    network: Vec<Message>,
    /// Changes that a deposed leader logged without committing; a new leader may still commit them.
    uncommitted: Vec<Change>,
    /// All changes sent so far, from which resends are chosen.
    sent: Vec<Change>,
    next_change: u64,
    history: History,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let replica = || Replica { store: RecordStore::default(), applied: 0 };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            step: 0,
            now_ms: 100 * EIGHT_DAYS_MS,
            log: Vec::new(),
            replicas: (0..REPLICA_COUNT).map(|_| replica()).collect(),
            network: Vec::new(),
            uncommitted: Vec::new(),
            sent: Vec::new(),
            next_change: 0,
            history: History::default(),
        }
    }

    pub fn step(&mut self) {
        self.step += 1;
        self.now_ms += self.random.random_range(0..5_000);
        if self.random.random_range(0..400) == 0 {
            self.now_ms += EIGHT_DAYS_MS;
        }
        match self.random.random_range(0..100) {
            0..35 => self.send_new_change(),
            35..50 => self.resend(),
            50..55 => self.resolve_uncommitted(),
            55..60 => self.restart_replica(),
            _ => self.catch_up(),
        }
        self.deliver();
    }

    pub fn finish(mut self) -> Summary {
        for index in 0..REPLICA_COUNT {
            self.apply_to(index, usize::MAX);
            self.history.check_store(&self.replicas[index].store);
        }
        for replica in &self.replicas {
            assert_eq!(replica.store, self.replicas[0].store, "replicas differ");
        }
        self.history.summary
    }

    /// An operator reads a replica, which may lag behind, and sends a change based on its state.
    fn send_new_change(&mut self) {
        let name = NAMES[self.random.random_range(0..NAMES.len())];
        let replica = &self.replicas[self.random.random_range(0..REPLICA_COUNT)];
        let key = key(RecordKind::Organisation, name);
        let replaces = replica.store.current_generation(&key).get();
        let operation = match replica.store.get(&key) {
            None => Operation::Submit,
            Some(_) if self.random.random_range(0..4) == 0 => Operation::Withdraw,
            Some(_) => Operation::Change,
        };
        self.next_change += 1;
        let document = organisation(name, self.random.random_range(0..1_000));
        let change = change(&format!("c{}", self.next_change), operation, replaces, &document);
        self.sent.push(change.clone());
        self.send(change);
    }

    /// Resends one of the eight newest changes, or any change sent so far.
    fn resend(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let recent = self.random.random_bool(0.7);
        let start = if recent { self.sent.len().saturating_sub(8) } else { 0 };
        let change = self.sent[self.random.random_range(start..self.sent.len())].clone();
        self.send(change);
    }

    fn send(&mut self, change: Change) {
        let deliver_at_step = self.step + self.random.random_range(0..20);
        self.network.push(Message { change, deliver_at_step });
    }

    /// Delivers due messages: the leader commits the change, or is deposed after logging it.
    fn deliver(&mut self) {
        let step = self.step;
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.deliver_at_step <= step);
        self.network = later;
        for message in due {
            if self.random.random_bool(0.1) {
                self.uncommitted.push(message.change);
            } else {
                self.commit(message.change);
            }
        }
    }

    /// A new leader commits a change that a deposed one had logged, or the change is lost.
    fn resolve_uncommitted(&mut self) {
        if let Some(change) = self.uncommitted.pop()
            && self.random.random_bool(0.5)
        {
            self.commit(change);
        }
    }

    fn commit(&mut self, change: Change) {
        let skew = self.random.random_range(0..2 * CLOCK_SKEW_MS);
        self.log.push((change, TimestampMs::new(self.now_ms + skew - CLOCK_SKEW_MS)));
    }

    /// A random replica applies some of the log entries that it lacks.
    fn catch_up(&mut self) {
        let index = self.random.random_range(0..REPLICA_COUNT);
        let count = self.random.random_range(1..10);
        self.apply_to(index, count);
    }

    fn apply_to(&mut self, index: usize, count: usize) {
        let replica = &mut self.replicas[index];
        for (position, (change, now)) in
            self.log.iter().enumerate().skip(replica.applied).take(count)
        {
            let outcome = replica.store.apply(change, *now);
            replica.applied = position + 1;
            // Only replica 0 is checked here; `finish` compares the others with it.
            if index == 0 {
                self.history.check(change, *now, &outcome);
            }
        }
    }

    /// A random replica restarts from a snapshot of its own store.
    fn restart_replica(&mut self) {
        let index = self.random.random_range(0..REPLICA_COUNT);
        let bytes = rmp_serde::to_vec_named(&self.replicas[index].store).unwrap();
        self.replicas[index].store = rmp_serde::from_slice(&bytes).unwrap();
    }
}
