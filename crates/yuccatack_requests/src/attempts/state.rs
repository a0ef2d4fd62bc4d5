//! Table of the attempts that one incarnation of an agent knows.

use std::collections::BTreeSet;
use std::sync::Arc;

use yuccatack_core::prelude::*;

use super::message::{Resolution, StartDecision};
use crate::attempt::attempt_issued_at;
use crate::outcome::{NotRun, NotRunReason, Outcome, Unknown, UnknownReason};

/// Limits of the attempt table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptLimits {
    /// Maximum number of requests that the minion runs concurrently.
    pub slot_count: usize,
    /// Maximum memory of the stored answers.
    pub answer_memory_bytes: u64,
    /// Retention period of answers.
    pub answer_age: DurationMs,
    /// Maximum number of records, including barred attempts.
    pub record_count: usize,
    /// Tolerance for an attempt's issue time that lies ahead of this node's clock.
    pub clock_skew: DurationMs,
}

impl Default for AttemptLimits {
    fn default() -> Self {
        Self {
            slot_count: 8,
            answer_memory_bytes: 16 * 1024 * 1024,
            answer_age: DurationMs::from_seconds(600),
            record_count: 100_000,
            clock_skew: DurationMs::from_seconds(30),
        }
    }
}

#[derive(Clone, Debug)]
enum RecordState {
    Running,
    Ended(Arc<Outcome>),
    /// The attempt ended; its answer was evicted because of its age or the memory limit.
    AnswerEvicted,
    /// The attempt was refused, or resolved before it arrived, and can never run.
    Barred,
}

#[derive(Clone, Debug)]
struct AttemptRecord {
    organisation: OrganisationName,
    state: RecordState,
    changed_at: TimestampMs,
}

/// Decides which attempts run and keeps their resolutions.
#[derive(Clone, Debug)]
pub struct AttemptTable {
    incarnation: Incarnation,
    limits: AttemptLimits,
    records: FastHashMap<AttemptId, AttemptRecord>,
    /// Ended attempts, ordered by the time of their end.
    ended_by_age: BTreeSet<(TimestampMs, AttemptId)>,
    /// Barred attempts, oldest first. They are evicted before ended attempts, so that a burst of
    /// refusals does not displace answers.
    barred_by_age: BTreeSet<(TimestampMs, AttemptId)>,
    /// Ended attempts whose answers are still stored, oldest first.
    answers_by_age: BTreeSet<(TimestampMs, AttemptId)>,
    answer_memory_bytes: u64,
    running_count: usize,
    /// Newest issue time among attempts whose records were evicted. An unknown attempt issued at or
    /// before this time may be one of them.
    evicted_until: Option<TimestampMs>,
    draining: bool,
}

fn refuse(reason: NotRunReason, retry_after_ms: u64, detail: &str) -> StartDecision {
    StartDecision::Refuse(NotRun::retryable(reason, retry_after_ms, detail))
}

fn outcome_memory_bytes(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Completed(answer) => answer.memory_bytes(),
        Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
    }
}

impl AttemptTable {
    /// Creates an empty table for a new incarnation.
    pub fn new(incarnation: Incarnation, limits: AttemptLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: FastHashMap::default(),
            ended_by_age: BTreeSet::new(),
            barred_by_age: BTreeSet::new(),
            answers_by_age: BTreeSet::new(),
            answer_memory_bytes: 0,
            running_count: 0,
            evicted_until: None,
            draining: false,
        }
    }

    /// Returns the number of running attempts.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// Returns the running attempts in arbitrary order.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> {
        let running = |record: &AttemptRecord| matches!(record.state, RecordState::Running);
        self.records.iter().filter(move |(_, record)| running(record)).map(|(attempt, _)| *attempt)
    }

    /// Returns the number of records in any state.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the memory that the stored answers occupy.
    pub fn answer_memory_bytes(&self) -> u64 {
        self.answer_memory_bytes
    }

    /// Makes the table refuse every new attempt.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    fn may_be_evicted(&self, attempt: AttemptId) -> bool {
        self.evicted_until.is_some_and(|until| attempt_issued_at(attempt) <= until)
    }

    fn record_resolution(&self, record: &AttemptRecord) -> Resolution {
        match &record.state {
            RecordState::Running => Resolution::Running,
            RecordState::Ended(outcome) => Resolution::Ended(Arc::clone(outcome)),
            RecordState::AnswerEvicted => Resolution::Unknown(Unknown::new(
                UnknownReason::AnswerForgotten,
                "the request ran and its answer is no longer remembered; check its effect before \
                 sending it under a new key",
            )),
            RecordState::Barred => Resolution::NotRun(NotRun::retryable(
                NotRunReason::Barred,
                0,
                "the attempt was resolved before it arrived and can no longer run",
            )),
        }
    }

    fn evicted_resolution() -> Resolution {
        Resolution::Unknown(Unknown::new(
            UnknownReason::AnswerForgotten,
            "the attempt's issue time is outside what this agent remembers",
        ))
    }

    fn refusal(&self, view_fresh: bool) -> Option<NotRun> {
        if self.draining {
            return Some(NotRun::retryable(NotRunReason::Leaving, 0, "the minion leaves"));
        }
        if !view_fresh {
            return Some(NotRun::retryable(
                NotRunReason::StaleView,
                1_000,
                "the agent has had no confirmed configuration for too long",
            ));
        }
        if self.running_count >= self.limits.slot_count {
            return Some(NotRun::retryable(
                NotRunReason::NoSlot,
                10,
                "every slot of the minion is in use",
            ));
        }
        None
    }

    /// Decides whether a completely received attempt runs. `view_fresh` is `true` if the node's
    /// view was confirmed recently.
    pub fn start(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        organisation: &OrganisationName,
        view_fresh: bool,
        now: TimestampMs,
    ) -> StartDecision {
        if incarnation != self.incarnation {
            return refuse(NotRunReason::WrongIncarnation, 0, "the agent has restarted");
        }
        if let Some(record) = self.records.get(&attempt) {
            return StartDecision::Known(self.record_resolution(record));
        }
        if self.may_be_evicted(attempt) {
            return StartDecision::Known(Self::evicted_resolution());
        }
        if attempt_issued_at(attempt) > now + self.limits.clock_skew {
            return refuse(
                NotRunReason::Invalid,
                1_000,
                "the attempt's issue time lies in the future; correct the entry's clock",
            );
        }
        if let Some(refusal) = self.refusal(view_fresh) {
            // Bars the refused attempt, so that a duplicate of it cannot run later.
            self.bar(attempt, organisation, now);
            return StartDecision::Refuse(refusal);
        }
        self.running_count += 1;
        assert!(
            self.running_count <= self.limits.slot_count,
            "more attempts are running than the minion has slots"
        );
        let record = AttemptRecord {
            organisation: organisation.clone(),
            state: RecordState::Running,
            changed_at: now,
        };
        self.records.insert(attempt, record);
        StartDecision::Run
    }

    /// Stores the outcome of a running attempt and frees its slot.
    pub fn finish(&mut self, attempt: AttemptId, outcome: Arc<Outcome>, now: TimestampMs) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if !matches!(record.state, RecordState::Running) {
            return;
        }
        self.running_count -= 1;
        self.answer_memory_bytes += outcome_memory_bytes(&outcome);
        record.state = RecordState::Ended(outcome);
        record.changed_at = now;
        self.ended_by_age.insert((now, attempt));
        self.answers_by_age.insert((now, attempt));
        self.evict_expired(now);
    }

    /// Returns the resolution of an attempt; one that never arrived is barred permanently.
    pub fn resolve(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        organisation: &OrganisationName,
        now: TimestampMs,
    ) -> Resolution {
        if incarnation != self.incarnation {
            return Resolution::Unknown(Unknown::new(
                UnknownReason::AgentRestarted,
                "the agent that had the attempt has restarted and forgotten it",
            ));
        }
        if let Some(record) = self.records.get(&attempt) {
            if record.organisation != *organisation {
                return Self::evicted_resolution();
            }
            return self.record_resolution(record);
        }
        // A barred record with a future issue time would move `evicted_until` there once evicted,
        // and every attempt issued before that time would resolve as unknown.
        let from_future = attempt_issued_at(attempt) > now + self.limits.clock_skew;
        if from_future || self.may_be_evicted(attempt) {
            return Self::evicted_resolution();
        }
        self.bar(attempt, organisation, now)
    }

    /// Adds a record that prevents the attempt from ever running.
    fn bar(
        &mut self,
        attempt: AttemptId,
        organisation: &OrganisationName,
        now: TimestampMs,
    ) -> Resolution {
        let record = AttemptRecord {
            organisation: organisation.clone(),
            state: RecordState::Barred,
            changed_at: now,
        };
        let resolution = self.record_resolution(&record);
        self.records.insert(attempt, record);
        self.barred_by_age.insert((now, attempt));
        self.evict_expired(now);
        resolution
    }

    /// Evicts answers past their retention period or over the memory limit, and excess records.
    pub fn evict_expired(&mut self, now: TimestampMs) {
        let oldest_answer = now - self.limits.answer_age;
        while let Some((ended_at, attempt)) = self.answers_by_age.first().copied() {
            let over_limit = self.answer_memory_bytes > self.limits.answer_memory_bytes;
            if !over_limit && ended_at >= oldest_answer {
                break;
            }
            self.answers_by_age.remove(&(ended_at, attempt));
            self.evict_answer(attempt);
        }
        while self.records.len() > self.limits.record_count {
            let oldest = self.barred_by_age.pop_first().or_else(|| self.ended_by_age.pop_first());
            let Some((_, attempt)) = oldest else {
                break;
            };
            self.evict_record(attempt);
        }
    }

    fn evict_answer(&mut self, attempt: AttemptId) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if let RecordState::Ended(outcome) = &record.state {
            self.answer_memory_bytes -= outcome_memory_bytes(outcome);
            record.state = RecordState::AnswerEvicted;
        }
    }

    fn evict_record(&mut self, attempt: AttemptId) {
        self.evict_answer(attempt);
        let Some(record) = self.records.remove(&attempt) else {
            return;
        };
        self.answers_by_age.remove(&(record.changed_at, attempt));
        let issued_at = attempt_issued_at(attempt);
        self.evicted_until = self.evicted_until.max(Some(issued_at));
    }
}
