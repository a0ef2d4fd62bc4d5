//! The table of attempts, tied to one incarnation of an agent.

use std::collections::BTreeSet;
use std::sync::Arc;

use yuccatack_core::prelude::*;

use super::message::{Resolution, StartDecision};
use crate::attempt::attempt_issued_at;
use crate::outcome::{NotRun, NotRunReason, Outcome, Unknown, UnknownReason};

/// Bounds of the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptLimits {
    /// The requests that the minion runs at once.
    pub slot_count: usize,
    /// The most memory that remembered answers occupy.
    pub answer_memory_bytes: u64,
    /// How long answers are remembered.
    pub answer_age: DurationMs,
    /// The most attempts, barred ones included, that are kept.
    pub record_count: usize,
    /// How far an attempt's issue time may lie ahead of this node's clock.
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
    /// Ended, and the answer was dropped to bound memory.
    Forgotten,
    Barred,
}

#[derive(Clone, Debug)]
struct AttemptRecord {
    organisation: OrganisationName,
    state: RecordState,
    changed_at: TimestampMs,
}

/// Decides which attempts run, and remembers what became of them.
#[derive(Clone, Debug)]
pub struct AttemptTable {
    incarnation: Incarnation,
    limits: AttemptLimits,
    records: FastHashMap<AttemptId, AttemptRecord>,
    /// Ended attempts, oldest first.
    ended_by_age: BTreeSet<(TimestampMs, AttemptId)>,
    /// Barred attempts, oldest first. They are dropped before ended ones, so that a flood of
    /// refusals does not push out answers.
    barred_by_age: BTreeSet<(TimestampMs, AttemptId)>,
    /// Ended attempts whose answers are still held, oldest first.
    answers_by_age: BTreeSet<(TimestampMs, AttemptId)>,
    answer_memory_bytes: u64,
    running_count: usize,
    /// The newest issue time among attempts whose records were dropped. Unknown attempts up to
    /// this time may be among the dropped ones.
    forgotten_until: Option<TimestampMs>,
    leaving: bool,
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
    /// An empty table of a new incarnation.
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
            forgotten_until: None,
            leaving: false,
        }
    }

    /// The attempts that run now.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// The attempts that run now, in no particular order.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> {
        let running = |record: &AttemptRecord| matches!(record.state, RecordState::Running);
        self.records.iter().filter(move |(_, record)| running(record)).map(|(attempt, _)| *attempt)
    }

    /// The attempts that are kept in any state.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// The memory that remembered answers occupy.
    pub fn answer_memory_bytes(&self) -> u64 {
        self.answer_memory_bytes
    }

    /// Refuses every new attempt from now on.
    pub fn start_draining(&mut self) {
        self.leaving = true;
    }

    fn may_be_forgotten(&self, attempt: AttemptId) -> bool {
        self.forgotten_until.is_some_and(|until| attempt_issued_at(attempt) <= until)
    }

    fn record_resolution(&self, record: &AttemptRecord) -> Resolution {
        match &record.state {
            RecordState::Running => Resolution::Running,
            RecordState::Ended(outcome) => Resolution::Ended(Arc::clone(outcome)),
            RecordState::Forgotten => Resolution::Unknown(Unknown::new(
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

    fn forgotten() -> Resolution {
        Resolution::Unknown(Unknown::new(
            UnknownReason::AnswerForgotten,
            "the attempt's issue time is outside what this agent remembers",
        ))
    }

    fn refusal(&self, fresh: bool) -> Option<NotRun> {
        if self.leaving {
            return Some(NotRun::retryable(NotRunReason::Leaving, 0, "the minion leaves"));
        }
        if !fresh {
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

    /// Decides whether a whole attempt that arrived runs. `fresh` tells whether the node's view is
    /// confirmed.
    pub fn start(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        organisation: &OrganisationName,
        fresh: bool,
        now: TimestampMs,
    ) -> StartDecision {
        if incarnation != self.incarnation {
            return refuse(NotRunReason::WrongIncarnation, 0, "the agent has restarted");
        }
        if let Some(record) = self.records.get(&attempt) {
            return StartDecision::Known(self.record_resolution(record));
        }
        if self.may_be_forgotten(attempt) {
            return StartDecision::Known(Self::forgotten());
        }
        if attempt_issued_at(attempt) > now + self.limits.clock_skew {
            return refuse(
                NotRunReason::Invalid,
                1_000,
                "the attempt's issue time lies in the future; correct the entry's clock",
            );
        }
        if let Some(refusal) = self.refusal(fresh) {
            // A refused attempt is barred, so that a second copy of it cannot run later.
            self.bar(attempt, organisation, now);
            return StartDecision::Refuse(refusal);
        }
        self.running_count += 1;
        assert!(self.running_count <= self.limits.slot_count, "more attempts run than slots");
        let record = AttemptRecord {
            organisation: organisation.clone(),
            state: RecordState::Running,
            changed_at: now,
        };
        self.records.insert(attempt, record);
        StartDecision::Run
    }

    /// Records how a running attempt ended and frees its slot.
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

    /// Tells what became of an attempt; one that never arrived is barred for good.
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
                return Self::forgotten();
            }
            return self.record_resolution(record);
        }
        // A bar with an issue time in the future would, once dropped, make every attempt up to that
        // time look forgotten.
        let from_future = attempt_issued_at(attempt) > now + self.limits.clock_skew;
        if from_future || self.may_be_forgotten(attempt) {
            return Self::forgotten();
        }
        self.bar(attempt, organisation, now)
    }

    /// Records that an attempt can never run.
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

    /// Drops answers and records beyond the bounds.
    pub fn evict_expired(&mut self, now: TimestampMs) {
        let oldest_answer = now - self.limits.answer_age;
        while let Some((ended_at, attempt)) = self.answers_by_age.first().copied() {
            let excess = self.answer_memory_bytes > self.limits.answer_memory_bytes;
            if !excess && ended_at >= oldest_answer {
                break;
            }
            self.answers_by_age.remove(&(ended_at, attempt));
            self.drop_answer(attempt);
        }
        while self.records.len() > self.limits.record_count {
            let oldest = self.barred_by_age.pop_first().or_else(|| self.ended_by_age.pop_first());
            let Some((_, attempt)) = oldest else {
                break;
            };
            self.drop_record(attempt);
        }
    }

    fn drop_answer(&mut self, attempt: AttemptId) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if let RecordState::Ended(outcome) = &record.state {
            self.answer_memory_bytes -= outcome_memory_bytes(outcome);
            record.state = RecordState::Forgotten;
        }
    }

    fn drop_record(&mut self, attempt: AttemptId) {
        self.drop_answer(attempt);
        let Some(record) = self.records.remove(&attempt) else {
            return;
        };
        self.answers_by_age.remove(&(record.changed_at, attempt));
        let issued_at = attempt_issued_at(attempt);
        self.forgotten_until = self.forgotten_until.max(Some(issued_at));
    }
}
