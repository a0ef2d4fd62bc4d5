//! Operators, replicas and the network between them under virtual time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_records::{Change, Operation, RecordKind, RecordStore};

use crate::history::{History, Summary};
use crate::support::{change, key, organisation};

const REPLICA_COUNT: usize = 3;
const NAMES: [&str; 3] = ["tri", "fin", "geo"];
/// Clocks of successive leaders differ by up to this much in either direction.
const CLOCK_SKEW_MS: u64 = 2_000;
const EIGHT_DAYS_MS: u64 = 8 * 24 * 3600 * 1000;

struct Replica {
    store: RecordStore,
    applied: usize,
}

/// A change on its way to some replica.
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
    /// What deposed leaders hold: a new leader may still commit it.
    uncommitted: Vec<Change>,
    /// Changes sent once, for late resends.
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
            50..55 => self.commit_left_over(),
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

    /// An operator reads some replica, perhaps one far behind, and asks for a change.
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

    /// An operator, or the network, sends a change once more: soon after, or much later.
    fn resend(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let recent = self.random.random_bool(0.7);
        let from = if recent { self.sent.len().saturating_sub(8) } else { 0 };
        let change = self.sent[self.random.random_range(from..self.sent.len())].clone();
        self.send(change);
    }

    fn send(&mut self, change: Change) {
        let deliver_at_step = self.step + self.random.random_range(0..20);
        self.network.push(Message { change, deliver_at_step });
    }

    /// The leader logs a change, or a deposed one keeps it without committing it.
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

    /// A new leader commits what a deposed one had logged, or it is lost.
    fn commit_left_over(&mut self) {
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

    /// A replica applies a few entries.
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
            // Replica 0 stands for the log; the others are compared with it at the end.
            if index == 0 {
                self.history.check(change, *now, &outcome);
            }
        }
    }

    /// A replica restarts from a snapshot of itself.
    fn restart_replica(&mut self) {
        let index = self.random.random_range(0..REPLICA_COUNT);
        let bytes = rmp_serde::to_vec_named(&self.replicas[index].store).unwrap();
        self.replicas[index].store = rmp_serde::from_slice(&bytes).unwrap();
    }
}
