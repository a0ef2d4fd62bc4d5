//! Simulated agents and their minions.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use rand::RngExt;
use yuccatack_core::prelude::*;
use yuccatack_requests::attempts::{AttemptLimits, AttemptTable, Resolution, StartDecision};
use yuccatack_requests::claims::ClaimedAttempt;
use yuccatack_requests::dispatch::Target;
use yuccatack_requests::prelude::*;

use super::{ScheduledEvent, Simulation};

/// Limits small enough for the simulation to reach them.
const LIMITS: AttemptLimits = AttemptLimits {
    slot_count: 4,
    answer_memory_bytes: 120,
    answer_age: DurationMs::new(1_500),
    record_count: 24,
    clock_skew: DurationMs::new(5_000),
};

pub struct Agent {
    pub node: NodeName,
    pub address: std::net::SocketAddr,
    pub process: u64,
    pub incarnation: Incarnation,
    /// Incarnation published to entries; outdated for a while after a restart.
    pub published_incarnation: Incarnation,
    pub table: AttemptTable,
    pub waiters: BTreeMap<AttemptId, Vec<usize>>,
    pub view_fresh: bool,
}

impl Agent {
    pub fn new(index: usize, incarnation: u64) -> Self {
        let incarnation = Incarnation::new(incarnation);
        Self {
            node: NodeName::new(&format!("agent-{index}")).unwrap(),
            address: ([127, 0, 0, 1], index as u16).into(),
            process: 0,
            incarnation,
            published_incarnation: incarnation,
            table: AttemptTable::new(incarnation, LIMITS),
            waiters: BTreeMap::new(),
            view_fresh: true,
        }
    }

    /// Replaces the killed process by a new one with an empty table.
    pub fn restart(&mut self, incarnation: u64) {
        self.process += 1;
        self.incarnation = Incarnation::new(incarnation);
        self.table = AttemptTable::new(self.incarnation, LIMITS);
        self.waiters.clear();
    }

    pub fn published_target(&self) -> Target {
        Target {
            node: self.node.clone(),
            incarnation: self.published_incarnation,
            address: self.address,
        }
    }
}

impl Simulation {
    pub fn agent_at(&self, claimed: &ClaimedAttempt) -> usize {
        self.agents.iter().position(|agent| agent.address == claimed.address).unwrap()
    }

    pub fn execute_arrives(&mut self, call: usize, process: u64, claimed: ClaimedAttempt) {
        let index = self.agent_at(&claimed);
        if self.agents[index].process != process {
            return;
        }
        let caller = self.calls[call].caller;
        let organisation = self.callers[caller].organisation.clone();
        let now = self.now();
        let agent = &mut self.agents[index];
        let view_fresh = agent.view_fresh;
        let decision =
            agent.table.start(claimed.attempt, claimed.incarnation, &organisation, view_fresh, now);
        match decision {
            StartDecision::Run => {
                agent.waiters.entry(claimed.attempt).or_default().push(call);
                self.run_on_minion(index, claimed.attempt, caller);
            }
            StartDecision::Refuse(not_run) => {
                self.send_to_entry(call, claimed.attempt, Resolution::NotRun(not_run));
            }
            StartDecision::Known(resolution) => {
                self.send_to_entry(call, claimed.attempt, resolution)
            }
        }
    }

    fn run_on_minion(&mut self, agent: usize, attempt: AttemptId, caller: usize) {
        let process = self.agents[agent].process;
        if self.chance(self.faults.minion_failure) {
            let not_run = NotRun::retryable(NotRunReason::MinionUnreachable, 10, "no connection");
            let delay = self.delay();
            let outcome = not_run.into();
            return self
                .schedule(delay, ScheduledEvent::ExchangeEnd { agent, process, attempt, outcome });
        }
        self.runs.push((attempt, caller));
        let outcome = if self.chance(self.faults.minion_failure) {
            Unknown::new(UnknownReason::MinionConnection, "the connection broke").into()
        } else {
            let body = Bytes::copy_from_slice(&self.callers[caller].body);
            Outcome::Completed(Answer { status: 200, headers: Vec::new(), body })
        };
        let duration = self.random.random_range(1..300);
        self.schedule(duration, ScheduledEvent::ExchangeEnd { agent, process, attempt, outcome });
    }

    pub fn exchange_ends(
        &mut self,
        agent: usize,
        process: u64,
        attempt: AttemptId,
        outcome: Outcome,
    ) {
        if self.agents[agent].process != process {
            return;
        }
        let outcome = Arc::new(outcome);
        let now = self.now();
        self.agents[agent].table.finish(attempt, Arc::clone(&outcome), now);
        for call in self.agents[agent].waiters.remove(&attempt).unwrap_or_default() {
            self.send_to_entry(call, attempt, Resolution::Ended(Arc::clone(&outcome)));
        }
    }

    pub fn resolve_arrives(&mut self, call: usize, process: u64, claimed: ClaimedAttempt) {
        let index = self.agent_at(&claimed);
        if self.agents[index].process != process {
            return;
        }
        let organisation = self.callers[self.calls[call].caller].organisation.clone();
        let now = self.now();
        let table = &mut self.agents[index].table;
        let resolution = table.resolve(claimed.attempt, claimed.incarnation, &organisation, now);
        self.send_to_entry(call, claimed.attempt, resolution);
    }
}
