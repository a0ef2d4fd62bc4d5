//! A model of callers, entries, agents, minions and the control leader under virtual time.
//!
//! The decision code is the real one; only the network, the clocks and the processes are modelled.
//! A connection does not outlive the process at either end, so that a copy of a message never
//! reaches a later incarnation.

#![allow(dead_code)]

mod agents;
mod callers;
mod network;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_requests::claims::{ClaimCommand, ClaimLimits, ClaimTable, ClaimedAttempt};
use yuccatack_requests::dispatch::{Dispatch, DispatchEvent};
use yuccatack_requests::generated::agent as wire;
use yuccatack_requests::prelude::*;

pub use agents::Agent;
pub use callers::{Call, Caller};
pub use network::Faults;

/// The wall clock at the start; attempt identifiers and keys carry it.
pub const START_MS: u64 = 1_767_225_600_000;

/// Something that is due.
#[derive(Clone, Debug)]
pub enum Due {
    Send { caller: usize },
    Event { call: usize, event: DispatchEvent },
    Timer { call: usize },
    Execute { call: usize, process: u64, claimed: ClaimedAttempt },
    Resolve { call: usize, process: u64, claimed: ClaimedAttempt },
    Account { call: usize, expected: AttemptId, parts: Vec<wire::AnswerPart> },
    ExchangeEnd { agent: usize, process: u64, attempt: AttemptId, outcome: Outcome },
    Claim { call: usize, command: ClaimCommand, answered: bool },
    KillAgent { agent: usize },
    KillEntry { entry: usize },
    ToggleFresh { agent: usize },
}

/// What the run proved or refuted.
#[derive(Debug, Default)]
pub struct Tally {
    pub completed: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub minion_runs: usize,
}

pub struct World {
    pub random: ChaCha8Rng,
    pub now_ms: u64,
    pub faults: Faults,
    pub agents: Vec<Agent>,
    pub callers: Vec<Caller>,
    pub calls: Vec<Call>,
    pub claims: ClaimTable,
    pub queue: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    /// Which caller's content each attempt carried to a minion, once for each run.
    pub runs: Vec<(AttemptId, usize)>,
    pub tally: Tally,
}

impl World {
    pub fn new(seed: u64, faults: Faults, caller_count: usize) -> Self {
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            faults,
            agents: Vec::new(),
            callers: Vec::new(),
            calls: Vec::new(),
            claims: ClaimTable::new(ClaimLimits::default()),
            queue: BTreeMap::new(),
            sequence: 0,
            runs: Vec::new(),
            tally: Tally::default(),
        };
        for index in 0..3 {
            let agent = Agent::new(index, world.random.random());
            world.agents.push(agent);
        }
        for caller in 0..caller_count {
            let sends_at = world.random.random_range(0..2_000);
            let idempotent = world.random.random_bool(0.4);
            world.callers.push(Caller::new(caller, idempotent, START_MS + sends_at));
            world.schedule(sends_at, Due::Send { caller });
        }
        for _ in 0..faults.kill_count {
            let (agent, entry) = (world.random.random_range(0..3), world.random.random_range(0..2));
            let (first, second) =
                (world.random.random_range(0..4_000), world.random.random_range(0..4_000));
            world.schedule(first, Due::KillAgent { agent });
            world.schedule(second, Due::KillEntry { entry });
            let (from, to) = (world.random.random_range(0..4_000), 4_500);
            world.schedule(from, Due::ToggleFresh { agent });
            world.schedule(to, Due::ToggleFresh { agent });
        }
        world
    }

    pub fn schedule(&mut self, delay_ms: u64, due: Due) {
        self.sequence += 1;
        self.queue.insert((self.now_ms + delay_ms, self.sequence), due);
    }

    pub fn now(&self) -> TimestampMs {
        TimestampMs::new(START_MS + self.now_ms)
    }

    /// Runs until nothing is due, then checks what must hold at the end.
    pub fn run(mut self) -> Tally {
        while let Some(((at, _), due)) = self.queue.pop_first() {
            self.now_ms = at;
            self.step(due);
        }
        self.check_end();
        self.tally.minion_runs = self.runs.len();
        self.tally
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Send { caller } => self.send(caller),
            Due::Event { call, event } => self.feed(call, event),
            Due::Timer { call } => self.timer(call),
            Due::Execute { call, process, claimed } => self.execute_arrives(call, process, claimed),
            Due::Resolve { call, process, claimed } => self.resolve_arrives(call, process, claimed),
            Due::Account { call, expected, parts } => self.account_arrives(call, expected, parts),
            Due::ExchangeEnd { agent, process, attempt, outcome } => {
                self.exchange_ends(agent, process, attempt, outcome);
            }
            Due::Claim { call, command, answered } => self.claim_arrives(call, command, answered),
            Due::KillAgent { agent } => {
                let incarnation = self.random.random();
                self.agents[agent].restart(incarnation);
            }
            Due::KillEntry { entry } => self.kill_entry(entry),
            Due::ToggleFresh { agent } => {
                self.agents[agent].fresh = !self.agents[agent].fresh;
            }
        }
    }

    pub fn runs_of(&self, attempts: &BTreeSet<AttemptId>) -> usize {
        self.runs.iter().filter(|(attempt, _)| attempts.contains(attempt)).count()
    }

    fn check_end(&self) {
        for (index, caller) in self.callers.iter().enumerate() {
            let runs = self.runs.iter().filter(|(_, ran)| *ran == index).count();
            assert!(caller.idempotent || runs <= 1, "caller {index} ran {runs} times: not once");
            for attempts in &caller.refused_attempts {
                assert_eq!(self.runs_of(attempts), 0, "caller {index}: a refused attempt ran");
            }
        }
    }

    pub fn new_dispatch(&mut self, idempotent: bool, deadline: TimestampMs) -> Dispatch {
        let seed = self.random.random();
        let node = NodeName::new("entry").unwrap();
        Dispatch::new(self.faults.dispatch, node, idempotent, deadline, seed)
    }
}
