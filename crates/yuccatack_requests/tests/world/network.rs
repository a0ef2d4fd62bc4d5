//! Delay, loss, duplication, truncation and crossing.

use rand::RngExt;
use yuccatack_core::prelude::*;
use yuccatack_requests::answer_check::{AnswerCollector, AnswerPart};
use yuccatack_requests::attempts::Resolution;
use yuccatack_requests::claims::{
    ClaimCallError, ClaimCommand, ClaimOutcome, ClaimState, ClaimedAttempt, ContentDigest,
};
use yuccatack_requests::dispatch::{DispatchEvent, DispatchSettings};
use yuccatack_requests::generated::agent as wire;
use yuccatack_requests::wire::attempts::resolution_parts;

use super::{Due, World};

const BODY_LIMIT_BYTES: u64 = 1024;

/// How often things go wrong.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub slowness: f64,
    pub loss: f64,
    pub breakage: f64,
    pub duplication: f64,
    pub crossing: f64,
    pub truncation: f64,
    pub minion_failure: f64,
    pub no_minion: f64,
    pub impatience: f64,
    pub kill_count: usize,
    pub dispatch: DispatchSettings,
}

impl Faults {
    pub fn none() -> Self {
        Self {
            slowness: 0.0,
            loss: 0.0,
            breakage: 0.0,
            duplication: 0.0,
            crossing: 0.0,
            truncation: 0.0,
            minion_failure: 0.0,
            no_minion: 0.0,
            impatience: 0.0,
            kill_count: 0,
            dispatch: DispatchSettings {
                silence: DurationMs::new(150),
                hedge_after: DurationMs::new(200),
                resolve_wait: DurationMs::new(100),
                ..DispatchSettings::default()
            },
        }
    }

    pub fn all() -> Self {
        Self {
            slowness: 0.1,
            loss: 0.08,
            breakage: 0.08,
            duplication: 0.1,
            crossing: 0.05,
            truncation: 0.05,
            minion_failure: 0.1,
            no_minion: 0.15,
            impatience: 0.3,
            kill_count: 6,
            ..Self::none()
        }
    }
}

impl World {
    pub fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    pub fn delay(&mut self) -> u64 {
        // Most messages are quick; some wait long enough to meet a timeout.
        if self.chance(self.faults.slowness) {
            return self.random.random_range(50..600);
        }
        self.random.random_range(1..10)
    }

    fn break_exchange(&mut self, call: usize, attempt: AttemptId) {
        let delay = self.delay();
        self.schedule(delay, Due::Event { call, event: DispatchEvent::Broken(attempt) });
    }

    /// Sends a message to an agent: it may vanish, break the exchange, or arrive, even twice.
    pub fn send_to_agent(&mut self, call: usize, attempt: AttemptId, make: impl Fn(u64) -> Due) {
        let agent = self.calls[call].agent_of(attempt);
        let process = self.agents[agent].process;
        if self.chance(self.faults.loss) {
            return;
        }
        if self.chance(self.faults.breakage) {
            self.break_exchange(call, attempt);
            // A broken connection may still have delivered.
            if self.random.random_bool(0.5) {
                return;
            }
        }
        let delay = self.delay();
        self.schedule(delay, make(process));
        if self.chance(self.faults.duplication) {
            let delay = delay + self.delay();
            self.schedule(delay, make(process));
        }
    }

    /// Sends an agent's account back to the entry.
    pub fn send_to_entry(&mut self, call: usize, attempt: AttemptId, resolution: Resolution) {
        if self.chance(self.faults.loss) {
            return;
        }
        if self.chance(self.faults.breakage) {
            return self.break_exchange(call, attempt);
        }
        let organisation = self.callers[self.calls[call].caller].organisation.clone();
        let mut recipient = (call, attempt);
        if self.chance(self.faults.crossing) {
            let index = self.random.random_range(0..self.calls.len());
            let expected = self.calls[index].last_attempt();
            recipient = expected.map_or(recipient, |expected| (index, expected));
        }
        let (call, expected) = recipient;
        let parts = resolution_parts(attempt, &organisation, &resolution);
        let account = Due::Account { call, expected, parts };
        let delay = self.delay();
        if self.chance(self.faults.duplication) {
            let delay = delay + self.delay();
            self.schedule(delay, account.clone());
        }
        self.schedule(delay, account);
    }

    /// The account of `attempt` arrives where that of `expected` is; they are the same unless
    /// answers crossed.
    pub fn account_arrives(
        &mut self,
        call: usize,
        expected: AttemptId,
        parts: Vec<wire::AnswerPart>,
    ) {
        let mut parts: Vec<AnswerPart> =
            parts.into_iter().map(|part| AnswerPart::try_from(part).unwrap()).collect();
        if self.chance(self.faults.truncation) {
            let position = self.random.random_range(0..parts.len());
            parts.remove(position);
        }
        let organisation = self.callers[self.calls[call].caller].organisation.clone();
        let mut collector = AnswerCollector::new(expected, organisation, BODY_LIMIT_BYTES);
        let mut checked = None;
        for part in parts {
            match collector.push(part) {
                Ok(whole) => checked = checked.or(whole),
                Err(_) => break,
            }
        }
        let event = match checked {
            Some(resolution) => DispatchEvent::Resolved(expected, resolution),
            None => DispatchEvent::Broken(expected),
        };
        self.feed(call, event);
    }

    pub fn send_claim(&mut self, call: usize, attempt: ClaimedAttempt) {
        let caller = &self.callers[self.calls[call].caller];
        let command = ClaimCommand::Claim {
            organisation: caller.organisation.clone(),
            key: caller.key.clone(),
            content: ContentDigest::of(&[&caller.body]),
            attempt,
        };
        self.send_to_control(call, command);
    }

    pub fn send_settle(&mut self, call: usize, attempt: AttemptId, state: ClaimState) {
        let caller = &self.callers[self.calls[call].caller];
        let organisation = caller.organisation.clone();
        let key = caller.key.clone();
        self.send_to_control(call, ClaimCommand::Settle { organisation, key, attempt, state });
    }

    /// A command may be lost before it is applied, applied without an answer, or applied twice.
    fn send_to_control(&mut self, call: usize, command: ClaimCommand) {
        let delay = self.delay();
        if self.chance(self.faults.loss) {
            return self.claim_fails(
                call,
                &command,
                ClaimCallError::Unavailable { retry_after_ms: 10 },
            );
        }
        let answered = !self.chance(self.faults.loss);
        if !answered {
            self.claim_fails(call, &command, ClaimCallError::Unconfirmed);
        }
        if self.chance(self.faults.duplication) {
            let delay = delay + self.delay();
            self.schedule(delay, Due::Claim { call, command: command.clone(), answered: false });
        }
        self.schedule(delay, Due::Claim { call, command, answered });
    }

    fn claim_fails(&mut self, call: usize, command: &ClaimCommand, error: ClaimCallError) {
        let event = match command {
            ClaimCommand::Claim { .. } => DispatchEvent::Claimed(Err(error)),
            ClaimCommand::Settle { .. } => DispatchEvent::Settled(Err(error)),
        };
        let delay = self.delay();
        self.schedule(delay, Due::Event { call, event });
    }

    pub fn claim_arrives(&mut self, call: usize, command: ClaimCommand, answered: bool) {
        let is_claim = matches!(command, ClaimCommand::Claim { .. });
        let now = self.now();
        let outcome = self.claims.apply(command, now);
        if outcome == ClaimOutcome::Granted {
            let caller = self.calls[call].caller;
            self.calls[call].earlier = self.callers[caller].attempts.clone();
        }
        if answered {
            let event = match is_claim {
                true => DispatchEvent::Claimed(Ok(outcome)),
                false => DispatchEvent::Settled(Ok(outcome)),
            };
            let delay = self.delay();
            self.schedule(delay, Due::Event { call, event });
        }
    }
}
