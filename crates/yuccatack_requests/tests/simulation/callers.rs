//! Simulated callers, which resubmit their requests, and the calls that entries make for them.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use yuccatack_core::prelude::*;
use yuccatack_requests::attempt::attempt_id;
use yuccatack_requests::claims::IdempotencyKey;
use yuccatack_requests::dispatch::{Dispatch, DispatchCommand, DispatchEvent};
use yuccatack_requests::prelude::*;

use super::{ScheduledEvent, Simulation};

const DEADLINE: DurationMs = DurationMs::new(1_500);
const SUBMISSION_LIMIT: usize = 4;
/// Time after which an entry abandons an unanswered `Resolve` call.
const RESOLVE_TIMEOUT_MS: u64 = 300;

pub struct Caller {
    pub organisation: OrganisationName,
    pub key: IdempotencyKey,
    pub body: Vec<u8>,
    pub idempotent: bool,
    pub submission_count: usize,
    /// All attempts sent for this caller.
    pub attempts: BTreeSet<AttemptId>,
    /// Sets of attempts that were reported to the caller as not run.
    pub refused_attempts: Vec<BTreeSet<AttemptId>>,
}

impl Caller {
    pub fn new(index: usize, idempotent: bool, at_ms: u64) -> Self {
        Self {
            organisation: OrganisationName::new(&format!("org-{}", index % 3)).unwrap(),
            key: IdempotencyKey::new(&format!("{at_ms}-{index}")).unwrap(),
            body: format!("content of caller {index}").into_bytes(),
            idempotent,
            submission_count: 0,
            attempts: BTreeSet::new(),
            refused_attempts: Vec::new(),
        }
    }
}

/// One submission of a caller's request to one entry.
pub struct Call {
    pub caller: usize,
    pub entry: usize,
    pub dispatch: Dispatch,
    pub alive: bool,
    /// Attempts sent by this call.
    pub sent_attempts: BTreeSet<AttemptId>,
    /// Attempts of the same caller that were sent before this call's newest claim was granted. A
    /// refusal with the scope of the key covers these; later submissions have their own outcome.
    pub earlier_attempts: BTreeSet<AttemptId>,
    agents: BTreeMap<AttemptId, usize>,
}

impl Call {
    pub fn agent_of(&self, attempt: AttemptId) -> usize {
        self.agents[&attempt]
    }

    pub fn last_attempt(&self) -> Option<AttemptId> {
        self.agents.keys().next_back().copied()
    }
}

impl Simulation {
    pub fn submit(&mut self, caller: usize) {
        if self.callers[caller].submission_count >= SUBMISSION_LIMIT {
            return;
        }
        self.callers[caller].submission_count += 1;
        let deadline = self.now() + DEADLINE;
        let dispatch = self.new_dispatch(self.callers[caller].idempotent, deadline);
        let entry = self.random.random_range(0..2);
        let call = self.calls.len();
        self.calls.push(Call {
            caller,
            entry,
            dispatch,
            alive: true,
            sent_attempts: BTreeSet::new(),
            earlier_attempts: BTreeSet::new(),
            agents: BTreeMap::new(),
        });
        let now = self.now();
        let commands = self.calls[call].dispatch.start(now);
        self.execute_commands(call, commands);
        if self.chance(self.faults.early_resubmission) {
            let delay = self.random.random_range(0..400);
            self.schedule(delay, ScheduledEvent::Submit { caller });
        }
    }

    pub fn kill_entry(&mut self, entry: usize) {
        for index in 0..self.calls.len() {
            if self.calls[index].entry == entry && self.calls[index].alive {
                self.calls[index].alive = false;
                let caller = self.calls[index].caller;
                self.schedule(50, ScheduledEvent::Submit { caller });
            }
        }
    }

    pub fn handle_event(&mut self, call: usize, event: DispatchEvent) {
        if !self.calls[call].alive {
            return;
        }
        let now = self.now();
        let commands = self.calls[call].dispatch.handle(event, now);
        self.execute_commands(call, commands);
    }

    pub fn timer(&mut self, call: usize) {
        if self.calls[call].alive && self.calls[call].dispatch.next_timer() <= self.now() {
            self.handle_event(call, DispatchEvent::Timer);
        }
    }

    fn execute_commands(&mut self, call: usize, commands: Vec<DispatchCommand>) {
        for command in commands {
            match command {
                DispatchCommand::Choose(_, excluded) => self.choose(call, &excluded),
                DispatchCommand::Claim(attempt) => self.send_claim(call, attempt),
                DispatchCommand::Settle(attempt, state) => self.send_settle(call, attempt, state),
                DispatchCommand::Execute(claimed) => {
                    let caller = self.calls[call].caller;
                    self.calls[call].sent_attempts.insert(claimed.attempt);
                    self.callers[caller].attempts.insert(claimed.attempt);
                    let agent = self.agent_at(&claimed);
                    self.calls[call].agents.insert(claimed.attempt, agent);
                    self.send_to_agent(call, claimed.attempt, |process| ScheduledEvent::Execute {
                        call,
                        process,
                        claimed: claimed.clone(),
                    });
                }
                DispatchCommand::Resolve(claimed) => {
                    let agent = self.agent_at(&claimed);
                    self.calls[call].agents.insert(claimed.attempt, agent);
                    let event = DispatchEvent::Broken(claimed.attempt);
                    self.schedule(RESOLVE_TIMEOUT_MS, ScheduledEvent::Dispatch { call, event });
                    self.send_to_agent(call, claimed.attempt, |process| ScheduledEvent::Resolve {
                        call,
                        process,
                        claimed: claimed.clone(),
                    });
                }
                DispatchCommand::Finish(outcome) => self.finished(call, &outcome),
            }
        }
        if self.calls[call].alive {
            let at = self.calls[call].dispatch.next_timer().since(self.now()).get();
            self.schedule(at, ScheduledEvent::Timer { call });
        }
    }

    fn choose(&mut self, call: usize, excluded: &[NodeName]) {
        if self.chance(self.faults.no_minion) {
            let refusal = NotRun::retryable(NotRunReason::NoMinion, 10, "no minion");
            let event = DispatchEvent::Chosen(Err(refusal));
            return self.schedule(1, ScheduledEvent::Dispatch { call, event });
        }
        let mut index = self.random.random_range(0..self.agents.len());
        if excluded.contains(&self.agents[index].node) {
            index = self.random.random_range(0..self.agents.len());
        }
        // The view reflects a restart with a delay.
        let target = self.agents[index].published_target();
        if self.random.random_bool(0.5) {
            self.agents[index].published_incarnation = self.agents[index].incarnation;
        }
        let attempt = attempt_id(self.now(), self.random.random());
        let event = DispatchEvent::Chosen(Ok((attempt, target)));
        let delay = self.random.random_range(0..3);
        self.schedule(delay, ScheduledEvent::Dispatch { call, event });
    }

    fn finished(&mut self, call: usize, outcome: &Outcome) {
        self.calls[call].alive = false;
        let caller = self.calls[call].caller;
        match outcome {
            Outcome::Completed(answer) => {
                self.counts.completed += 1;
                assert_eq!(
                    answer.body, self.callers[caller].body,
                    "the answer belongs to another caller"
                );
            }
            Outcome::NotRun(not_run) => {
                self.counts.not_run += 1;
                let refused = match not_run.scope {
                    NotRunScope::Sending => self.calls[call].sent_attempts.clone(),
                    NotRunScope::Key => {
                        let call = &self.calls[call];
                        call.earlier_attempts.union(&call.sent_attempts).copied().collect()
                    }
                };
                assert_eq!(self.runs_of(&refused), 0, "a request reported as not run has run");
                self.callers[caller].refused_attempts.push(refused);
            }
            Outcome::Unknown(_) => {
                self.counts.unknown += 1;
                self.schedule(20, ScheduledEvent::Submit { caller });
            }
        }
    }
}
