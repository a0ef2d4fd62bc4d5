//! Simulation of callers, entries, agents, minions and the control leader in virtual time.
//!
//! The state machines are the production code; only the network, clocks and processes are
//! simulated. A connection does not outlive the process at either end, so a duplicated message
//! never reaches a later incarnation.

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

/// Wall clock time at the start; attempt identifiers and keys contain times based on it.
pub const START_MS: u64 = 1_767_225_600_000;

/// Event in the queue of the simulation.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    Submit { caller: usize },
    Dispatch { call: usize, event: DispatchEvent },
    Timer { call: usize },
    Execute { call: usize, process: u64, claimed: ClaimedAttempt },
    Resolve { call: usize, process: u64, claimed: ClaimedAttempt },
    Resolution { call: usize, expected: AttemptId, parts: Vec<wire::AnswerPart> },
    ExchangeEnd { agent: usize, process: u64, attempt: AttemptId, outcome: Outcome },
    Claim { call: usize, command: ClaimCommand, answered: bool },
    KillAgent { agent: usize },
    KillEntry { entry: usize },
    ToggleViewFresh { agent: usize },
}

/// Number of calls by outcome, and number of runs on minions.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    pub completed: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub minion_runs: usize,
}

pub struct Simulation {
    pub random: ChaCha8Rng,
    pub now_ms: u64,
    pub faults: Faults,
    pub agents: Vec<Agent>,
    pub callers: Vec<Caller>,
    pub calls: Vec<Call>,
    pub claims: ClaimTable,
    pub queue: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    /// Attempt and caller of each run on a minion.
    pub runs: Vec<(AttemptId, usize)>,
    pub counts: OutcomeCounts,
}

impl Simulation {
    pub fn new(seed: u64, faults: Faults, caller_count: usize) -> Self {
        let mut simulation = Self {
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
            counts: OutcomeCounts::default(),
        };
        for index in 0..3 {
            let agent = Agent::new(index, simulation.random.random());
            simulation.agents.push(agent);
        }
        for caller in 0..caller_count {
            let submit_at_ms = simulation.random.random_range(0..2_000);
            let idempotent = simulation.random.random_bool(0.4);
            simulation.callers.push(Caller::new(caller, idempotent, START_MS + submit_at_ms));
            simulation.schedule(submit_at_ms, ScheduledEvent::Submit { caller });
        }
        for _ in 0..faults.kill_count {
            let (agent, entry) =
                (simulation.random.random_range(0..3), simulation.random.random_range(0..2));
            let (first, second) = (
                simulation.random.random_range(0..4_000),
                simulation.random.random_range(0..4_000),
            );
            simulation.schedule(first, ScheduledEvent::KillAgent { agent });
            simulation.schedule(second, ScheduledEvent::KillEntry { entry });
            let (from, to) = (simulation.random.random_range(0..4_000), 4_500);
            simulation.schedule(from, ScheduledEvent::ToggleViewFresh { agent });
            simulation.schedule(to, ScheduledEvent::ToggleViewFresh { agent });
        }
        simulation
    }

    pub fn schedule(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now_ms + delay_ms, self.sequence), event);
    }

    pub fn now(&self) -> TimestampMs {
        TimestampMs::new(START_MS + self.now_ms)
    }

    /// Runs until the event queue is empty, then checks the invariants of all callers.
    pub fn run(mut self) -> OutcomeCounts {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now_ms = at;
            self.step(event);
        }
        self.check_end();
        self.counts.minion_runs = self.runs.len();
        self.counts
    }

    fn step(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Submit { caller } => self.submit(caller),
            ScheduledEvent::Dispatch { call, event } => self.handle_event(call, event),
            ScheduledEvent::Timer { call } => self.timer(call),
            ScheduledEvent::Execute { call, process, claimed } => {
                self.execute_arrives(call, process, claimed)
            }
            ScheduledEvent::Resolve { call, process, claimed } => {
                self.resolve_arrives(call, process, claimed)
            }
            ScheduledEvent::Resolution { call, expected, parts } => {
                self.resolution_arrives(call, expected, parts)
            }
            ScheduledEvent::ExchangeEnd { agent, process, attempt, outcome } => {
                self.exchange_ends(agent, process, attempt, outcome);
            }
            ScheduledEvent::Claim { call, command, answered } => {
                self.claim_arrives(call, command, answered)
            }
            ScheduledEvent::KillAgent { agent } => {
                let incarnation = self.random.random();
                self.agents[agent].restart(incarnation);
            }
            ScheduledEvent::KillEntry { entry } => self.kill_entry(entry),
            ScheduledEvent::ToggleViewFresh { agent } => {
                self.agents[agent].view_fresh = !self.agents[agent].view_fresh;
            }
        }
    }

    pub fn runs_of(&self, attempts: &BTreeSet<AttemptId>) -> usize {
        self.runs.iter().filter(|(attempt, _)| attempts.contains(attempt)).count()
    }

    fn check_end(&self) {
        for (index, caller) in self.callers.iter().enumerate() {
            let runs = self.runs.iter().filter(|(_, ran)| *ran == index).count();
            assert!(
                caller.idempotent || runs <= 1,
                "caller {index} ran {runs} times instead of at most once"
            );
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
