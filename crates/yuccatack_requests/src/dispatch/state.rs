//! State machine of one request's dispatch.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yuccatack_core::prelude::*;

use super::claiming::Claiming;
use super::message::{ChoiceKind, DispatchCommand, DispatchEvent, Target};
use super::pending::{PendingAttempt, PendingState};
use super::settings::DispatchSettings;
use crate::attempts::Resolution;
use crate::claims::{ClaimState, ClaimedAttempt};
use crate::outcome::{NotRun, NotRunReason, Outcome, Unknown, UnknownReason};

/// Drives one request to its outcome.
///
/// The caller passes events to [`handle`](Self::handle), carries out the returned commands, and
/// passes [`DispatchEvent::Timer`] at the time given by [`next_timer`](Self::next_timer).
#[derive(Debug)]
pub struct Dispatch {
    pub(super) settings: DispatchSettings,
    node: NodeName,
    pub(super) deadline: TimestampMs,
    pub(super) pending_attempts: Vec<PendingAttempt>,
    /// Claim state; `None` for idempotent requests, which need no claim.
    pub(super) claiming: Option<Claiming>,
    pub(super) attempt_count: usize,
    choosing: bool,
    choose_at: Option<TimestampMs>,
    hedge_at: Option<TimestampMs>,
    backoff_count: u32,
    excluded: Vec<NodeName>,
    last_refusal: Option<NotRun>,
    /// Outcome of an attempt that may have run and can no longer be resolved.
    lost_outcome: Option<Unknown>,
    finished: bool,
    random: SmallRng,
    pub(super) commands: Vec<DispatchCommand>,
}

impl Dispatch {
    /// Creates the dispatch of a request with the given deadline, on the entry `node`. `seed`
    /// determines the jitter of retry delays and the attempt identifiers of lookups.
    pub fn new(
        settings: DispatchSettings,
        node: NodeName,
        idempotent: bool,
        deadline: TimestampMs,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            node,
            deadline,
            pending_attempts: Vec::new(),
            claiming: (!idempotent).then(Claiming::default),
            attempt_count: 0,
            choosing: false,
            choose_at: None,
            hedge_at: None,
            backoff_count: 0,
            excluded: Vec::new(),
            last_refusal: None,
            lost_outcome: None,
            finished: false,
            random: SmallRng::seed_from_u64(seed),
            commands: Vec::new(),
        }
    }

    /// Starts the dispatch and returns the first commands.
    pub fn start(&mut self, now: TimestampMs) -> Vec<DispatchCommand> {
        self.choose(ChoiceKind::First);
        self.check_deadline(now);
        std::mem::take(&mut self.commands)
    }

    /// Returns `true` once the outcome has been returned to the caller.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the time at which the next [`DispatchEvent::Timer`] is due.
    pub fn next_timer(&self) -> TimestampMs {
        let pending = self.pending_attempts.iter().filter_map(PendingAttempt::next_timer);
        let claiming = self.claiming.as_ref().and_then(Claiming::next_timer);
        pending
            .chain(claiming)
            .chain(self.choose_at)
            .chain(self.hedge_at)
            .fold(self.hard_deadline(), TimestampMs::min)
    }

    /// Handles an event and returns the resulting commands; events after the end are ignored.
    pub fn handle(&mut self, event: DispatchEvent, now: TimestampMs) -> Vec<DispatchCommand> {
        if self.finished {
            return Vec::new();
        }
        match event {
            DispatchEvent::Chosen(Ok((attempt, target))) => self.chosen(attempt, &target, now),
            DispatchEvent::Chosen(Err(not_run)) => self.not_chosen(not_run, now),
            DispatchEvent::Claimed(result) => self.claimed(result, now),
            DispatchEvent::Settled(result) => self.settled(&result, now),
            DispatchEvent::Resolved(attempt, resolution) => {
                self.resolved(attempt, resolution, now);
            }
            DispatchEvent::Broken(attempt) => self.broken(attempt, now),
            DispatchEvent::Timer => self.timer(now),
        }
        self.check_deadline(now);
        std::mem::take(&mut self.commands)
    }

    fn hard_deadline(&self) -> TimestampMs {
        self.deadline + self.settings.deadline_grace
    }

    fn check_deadline(&mut self, now: TimestampMs) {
        if self.finished {
            return;
        }
        if now >= self.hard_deadline() {
            return self.finish_at_deadline();
        }
        // During the grace period only pending attempts can still produce an answer.
        if now >= self.deadline && self.pending_attempts.is_empty() {
            self.finish_at_deadline();
        }
    }

    fn finish_at_deadline(&mut self) {
        if !self.pending_attempts.is_empty() {
            return self.finish(Outcome::from(Unknown::new(
                UnknownReason::Deadline,
                "the deadline passed while an attempt was with an agent",
            )));
        }
        if let Some(unknown) = self.lost_outcome.clone() {
            return self.finish(unknown.into());
        }
        let refusal = self.last_refusal.as_ref();
        let cause = refusal.map_or("no minion was free", |refusal| &refusal.detail);
        let detail = format!("the deadline passed before a minion took the request: {cause}");
        self.finish(NotRun::retryable(NotRunReason::Deadline, 100, &detail).into());
    }

    pub(super) fn finish(&mut self, outcome: Outcome) {
        if self.finished {
            return;
        }
        self.finished = true;
        self.release_unused_claim(&outcome);
        let outcome = self.with_scope(outcome);
        self.commands.push(DispatchCommand::Finish(outcome));
    }

    fn choose(&mut self, kind: ChoiceKind) {
        self.choose_at = None;
        if self.choosing {
            return;
        }
        self.choosing = true;
        self.commands.push(DispatchCommand::Choose(kind, self.excluded.clone()));
    }

    fn chosen(&mut self, attempt: AttemptId, target: &Target, now: TimestampMs) {
        self.choosing = false;
        let claimed = target.to_claimed_attempt(attempt);
        if self.claiming.is_some() {
            return self.claim(claimed);
        }
        self.execute(claimed, now);
    }

    fn not_chosen(&mut self, not_run: NotRun, now: TimestampMs) {
        self.choosing = false;
        let reason = not_run.reason;
        let permanent = not_run.retry_after_ms.is_none();
        let is_final = permanent || !matches!(not_run.reason, NotRunReason::NoSlot);
        // The refusal of an attempt is more specific than the lack of another minion.
        if self.attempt_count == 0 || self.last_refusal.is_none() {
            self.last_refusal = Some(not_run);
        }
        if !self.pending_attempts.is_empty() || self.look_up_holder(reason) {
            return;
        }
        if is_final {
            return self.finish_without_attempts();
        }
        self.retry(now);
    }

    /// Sends an attempt to its agent. No other method issues [`DispatchCommand::Execute`].
    pub(super) fn execute(&mut self, attempt: ClaimedAttempt, now: TimestampMs) {
        assert!(
            self.claiming.is_none() || self.pending_attempts.is_empty(),
            "a non-idempotent request must not have a second attempt while one may still run"
        );
        self.attempt_count += 1;
        self.commands.push(DispatchCommand::Execute(attempt.clone()));
        if self.claiming.is_none() && self.attempt_count == 1 {
            self.hedge_at = Some(now + self.settings.hedge_delay);
        }
        let resolve_at = now + self.settings.silence_timeout;
        self.pending_attempts.push(PendingAttempt {
            attempt,
            state: PendingState::Executing { resolve_at },
            failed_resolve_count: 0,
            foreign: false,
        });
    }

    /// Resolves an attempt that an earlier submission with the same key dispatched.
    pub(super) fn resolve_foreign(&mut self, attempt: ClaimedAttempt) {
        self.commands.push(DispatchCommand::Resolve(attempt.clone()));
        self.pending_attempts.push(PendingAttempt {
            attempt,
            state: PendingState::Resolving,
            failed_resolve_count: 0,
            foreign: true,
        });
    }

    fn pending_index(&self, attempt: AttemptId) -> Option<usize> {
        self.pending_attempts.iter().position(|pending| pending.attempt.attempt == attempt)
    }

    fn resolved(&mut self, attempt: AttemptId, resolution: Resolution, now: TimestampMs) {
        let Some(index) = self.pending_index(attempt) else {
            return;
        };
        match resolution {
            Resolution::Running => {
                let pending = &mut self.pending_attempts[index];
                pending.failed_resolve_count = 0;
                pending.state =
                    PendingState::ResolveScheduled { resolve_at: now + self.settings.backoff_base };
            }
            Resolution::NotRun(not_run) => self.attempt_not_run(index, not_run, now),
            Resolution::Unknown(unknown) => self.attempt_lost(index, unknown, now),
            Resolution::Ended(outcome) => match outcome.as_ref().clone() {
                Outcome::Completed(_) => self.completed(index, outcome.as_ref().clone()),
                Outcome::NotRun(not_run) => self.attempt_not_run(index, not_run, now),
                Outcome::Unknown(unknown) => self.attempt_lost(index, unknown, now),
            },
        }
    }

    fn completed(&mut self, index: usize, outcome: Outcome) {
        if self.claiming.is_some() {
            let attempt = self.pending_attempts[index].attempt.attempt;
            self.commands.push(DispatchCommand::Settle(attempt, ClaimState::Completed));
        }
        self.finish(outcome);
    }

    fn attempt_not_run(&mut self, index: usize, not_run: NotRun, now: TimestampMs) {
        let pending = self.pending_attempts.swap_remove(index);
        self.excluded.push(pending.attempt.node.clone());
        if !pending.foreign {
            self.last_refusal = Some(not_run);
        }
        if self.claiming.is_some() {
            return self.release_then_retry(&pending);
        }
        if self.pending_attempts.is_empty() {
            self.retry(now);
        }
    }

    fn attempt_lost(&mut self, index: usize, unknown: Unknown, now: TimestampMs) {
        let pending = self.pending_attempts.swap_remove(index);
        self.excluded.push(pending.attempt.node);
        self.lost_outcome = Some(unknown.clone());
        if self.claiming.is_some() {
            return self.finish(unknown.into());
        }
        if self.pending_attempts.is_empty() {
            self.retry(now);
        }
    }

    fn broken(&mut self, attempt: AttemptId, now: TimestampMs) {
        let Some(index) = self.pending_index(attempt) else {
            return;
        };
        let pending = &mut self.pending_attempts[index];
        if matches!(pending.state, PendingState::Executing { .. }) {
            return self.resolve(index);
        }
        if matches!(pending.state, PendingState::ResolveScheduled { .. }) {
            return;
        }
        pending.failed_resolve_count += 1;
        let count = pending.failed_resolve_count;
        let delay = self.backoff(count);
        self.pending_attempts[index].state =
            PendingState::ResolveScheduled { resolve_at: now + delay };
        // The agent is unreachable; an idempotent request need not wait for it.
        let may_try_another = self.claiming.is_none() && count == 1;
        if may_try_another && self.attempt_count < self.settings.attempt_limit {
            self.excluded.push(self.pending_attempts[index].attempt.node.clone());
            self.choose(ChoiceKind::Retry);
        }
    }

    fn resolve(&mut self, index: usize) {
        let pending = &mut self.pending_attempts[index];
        pending.state = PendingState::Resolving;
        self.commands.push(DispatchCommand::Resolve(pending.attempt.clone()));
    }

    fn timer(&mut self, now: TimestampMs) {
        for index in 0..self.pending_attempts.len() {
            if self.pending_attempts[index].next_timer().is_some_and(|at| at <= now) {
                self.resolve(index);
            }
        }
        if self.hedge_at.is_some_and(|at| at <= now) {
            self.hedge_at = None;
            self.hedge();
        }
        if self.choose_at.is_some_and(|at| at <= now) {
            self.choose(ChoiceKind::Retry);
        }
        self.claim_timer(now);
    }

    fn hedge(&mut self) {
        if self.pending_attempts.len() != 1 || self.attempt_count >= self.settings.attempt_limit {
            return;
        }
        self.excluded.push(self.pending_attempts[0].attempt.node.clone());
        self.choose(ChoiceKind::Hedge);
    }

    /// Schedules another choice after a backoff, or finishes if attempts or time are exhausted.
    pub(super) fn retry(&mut self, now: TimestampMs) {
        if self.choosing || self.choose_at.is_some() {
            return;
        }
        if self.attempt_count >= self.settings.attempt_limit {
            return self.finish_without_attempts();
        }
        self.backoff_count += 1;
        let delay = self.backoff(self.backoff_count);
        if now + delay >= self.deadline {
            return self.finish_without_attempts();
        }
        self.choose_at = Some(now + delay);
    }

    /// Finishes a request that has no pending attempt.
    pub(super) fn finish_without_attempts(&mut self) {
        if let Some(unknown) = self.lost_outcome.clone() {
            return self.finish(unknown.into());
        }
        let refusal = self.last_refusal.clone().unwrap_or_else(|| {
            NotRun::retryable(NotRunReason::NoMinion, 1_000, "no minion took the request")
        });
        self.finish(refusal.into());
    }

    /// Creates the placeholder attempt of a lookup, addressed to no agent.
    pub(super) fn placeholder_attempt(&mut self) -> ClaimedAttempt {
        ClaimedAttempt {
            attempt: AttemptId::new(self.random.random()),
            node: self.node.clone(),
            incarnation: Incarnation::default(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
        }
    }

    /// Returns a delay that doubles with each retry, reduced by a random amount of up to one half,
    /// so that requests that failed together do not retry together.
    pub(super) fn backoff(&mut self, count: u32) -> DurationMs {
        let base = self.settings.backoff_base.get();
        let full = base.saturating_mul(1 << count.saturating_sub(1).min(16));
        let full = full.min(self.settings.backoff_limit.get()).max(1);
        DurationMs::new(self.random.random_range(full.div_ceil(2)..=full))
    }
}
