//! Simulated network with delay, loss, duplication, truncation and misdelivery.

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

use super::{ScheduledEvent, Simulation};

const BODY_LIMIT_BYTES: u64 = 1024;

/// Probability of each fault, number of process kills, and dispatch settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub slow_delivery: f64,
    pub loss: f64,
    pub connection_failure: f64,
    pub duplication: f64,
    pub misdelivery: f64,
    pub truncation: f64,
    pub minion_failure: f64,
    pub no_minion: f64,
    pub early_resubmission: f64,
    pub kill_count: usize,
    pub dispatch: DispatchSettings,
}

impl Faults {
    pub fn none() -> Self {
        Self {
            slow_delivery: 0.0,
            loss: 0.0,
            connection_failure: 0.0,
            duplication: 0.0,
            misdelivery: 0.0,
            truncation: 0.0,
            minion_failure: 0.0,
            no_minion: 0.0,
            early_resubmission: 0.0,
            kill_count: 0,
            dispatch: DispatchSettings {
                silence_timeout: DurationMs::new(150),
                hedge_delay: DurationMs::new(200),
                resolve_wait: DurationMs::new(100),
                ..DispatchSettings::default()
            },
        }
    }

    pub fn all() -> Self {
        Self {
            slow_delivery: 0.1,
            loss: 0.08,
            connection_failure: 0.08,
            duplication: 0.1,
            misdelivery: 0.05,
            truncation: 0.05,
            minion_failure: 0.1,
            no_minion: 0.15,
            early_resubmission: 0.3,
            kill_count: 6,
            ..Self::none()
        }
    }
}

impl Simulation {
    pub fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    pub fn delay(&mut self) -> u64 {
        // Most messages arrive quickly; some are delayed long enough to exceed a timeout.
        if self.chance(self.faults.slow_delivery) {
            return self.random.random_range(50..600);
        }
        self.random.random_range(1..10)
    }

    fn break_exchange(&mut self, call: usize, attempt: AttemptId) {
        let delay = self.delay();
        self.schedule(
            delay,
            ScheduledEvent::Dispatch { call, event: DispatchEvent::Broken(attempt) },
        );
    }

    /// Sends a message to an agent. It may be lost, fail with the connection, or arrive once or
    /// twice.
    pub fn send_to_agent(
        &mut self,
        call: usize,
        attempt: AttemptId,
        make: impl Fn(u64) -> ScheduledEvent,
    ) {
        let agent = self.calls[call].agent_of(attempt);
        let process = self.agents[agent].process;
        if self.chance(self.faults.loss) {
            return;
        }
        if self.chance(self.faults.connection_failure) {
            self.break_exchange(call, attempt);
            // The message may have arrived before the connection failed.
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

    /// Sends the resolution of an attempt to the entry.
    pub fn send_to_entry(&mut self, call: usize, attempt: AttemptId, resolution: Resolution) {
        if self.chance(self.faults.loss) {
            return;
        }
        if self.chance(self.faults.connection_failure) {
            return self.break_exchange(call, attempt);
        }
        let organisation = self.callers[self.calls[call].caller].organisation.clone();
        let mut recipient = (call, attempt);
        if self.chance(self.faults.misdelivery) {
            let index = self.random.random_range(0..self.calls.len());
            let expected = self.calls[index].last_attempt();
            recipient = expected.map_or(recipient, |expected| (index, expected));
        }
        let (call, expected) = recipient;
        let parts = resolution_parts(attempt, &organisation, &resolution);
        let message = ScheduledEvent::Resolution { call, expected, parts };
        let delay = self.delay();
        if self.chance(self.faults.duplication) {
            let delay = delay + self.delay();
            self.schedule(delay, message.clone());
        }
        self.schedule(delay, message);
    }

    /// Delivers a resolution to a call that expects the one of `expected`. The parts belong to
    /// another attempt if the resolution was misdelivered.
    pub fn resolution_arrives(
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
                Ok(complete) => checked = checked.or(complete),
                Err(_) => break,
            }
        }
        let event = match checked {
            Some(resolution) => DispatchEvent::Resolved(expected, resolution),
            None => DispatchEvent::Broken(expected),
        };
        self.handle_event(call, event);
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

    /// Sends a command to the control leader. It may be lost before it is applied, applied without
    /// an answer, or applied twice.
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
            self.schedule(
                delay,
                ScheduledEvent::Claim { call, command: command.clone(), answered: false },
            );
        }
        self.schedule(delay, ScheduledEvent::Claim { call, command, answered });
    }

    fn claim_fails(&mut self, call: usize, command: &ClaimCommand, error: ClaimCallError) {
        let event = match command {
            ClaimCommand::Claim { .. } => DispatchEvent::Claimed(Err(error)),
            ClaimCommand::Settle { .. } => DispatchEvent::Settled(Err(error)),
        };
        let delay = self.delay();
        self.schedule(delay, ScheduledEvent::Dispatch { call, event });
    }

    pub fn claim_arrives(&mut self, call: usize, command: ClaimCommand, answered: bool) {
        let is_claim = matches!(command, ClaimCommand::Claim { .. });
        let now = self.now();
        let outcome = self.claims.apply(command, now);
        if outcome == ClaimOutcome::Granted {
            let caller = self.calls[call].caller;
            self.calls[call].earlier_attempts = self.callers[caller].attempts.clone();
        }
        if answered {
            let event = match is_claim {
                true => DispatchEvent::Claimed(Ok(outcome)),
                false => DispatchEvent::Settled(Ok(outcome)),
            };
            let delay = self.delay();
            self.schedule(delay, ScheduledEvent::Dispatch { call, event });
        }
    }
}
