//! The dispatch of one request.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yuccatack_core::prelude::*;

use super::claiming::Claiming;
use super::legs::{Leg, LegState};
use super::message::{ChoiceKind, DispatchCommand, DispatchEvent, Target};
use super::settings::DispatchSettings;
use crate::attempts::Resolution;
use crate::claims::{ClaimState, ClaimedAttempt};
use crate::outcome::{NotRun, NotRunReason, Outcome, Unknown, UnknownReason};

/// Takes one request to its outcome.
///
/// Feed events with [`handle`](Self::handle), carry the commands out, and send
/// [`DispatchEvent::Timer`] at [`next_timer`](Self::next_timer).
#[derive(Debug)]
pub struct Dispatch {
    pub(super) settings: DispatchSettings,
    node: NodeName,
    pub(super) deadline: TimestampMs,
    pub(super) legs: Vec<Leg>,
    /// `Some` for non-idempotent requests.
    pub(super) claiming: Option<Claiming>,
    pub(super) attempt_count: usize,
    choosing: bool,
    choose_at: Option<TimestampMs>,
    hedge_at: Option<TimestampMs>,
    backoff_count: u32,
    excluded: Vec<NodeName>,
    last_refusal: Option<NotRun>,
    /// An attempt that may have run and of which nothing more can be known.
    lost: Option<Unknown>,
    finished: bool,
    random: SmallRng,
    pub(super) commands: Vec<DispatchCommand>,
}

impl Dispatch {
    /// A request that must be answered by `deadline`, at the entry `node`. `seed` spreads the
    /// pauses and names look-ups.
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
            legs: Vec::new(),
            claiming: (!idempotent).then(Claiming::default),
            attempt_count: 0,
            choosing: false,
            choose_at: None,
            hedge_at: None,
            backoff_count: 0,
            excluded: Vec::new(),
            last_refusal: None,
            lost: None,
            finished: false,
            random: SmallRng::seed_from_u64(seed),
            commands: Vec::new(),
        }
    }

    /// The first commands.
    pub fn start(&mut self, now: TimestampMs) -> Vec<DispatchCommand> {
        self.choose(ChoiceKind::First);
        self.check_deadline(now);
        std::mem::take(&mut self.commands)
    }

    /// Whether the caller has been told.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// When [`DispatchEvent::Timer`] is due next.
    pub fn next_timer(&self) -> TimestampMs {
        let legs = self.legs.iter().filter_map(Leg::next_timer);
        let claiming = self.claiming.as_ref().and_then(Claiming::next_timer);
        legs.chain(claiming)
            .chain(self.choose_at)
            .chain(self.hedge_at)
            .fold(self.hard_deadline(), TimestampMs::min)
    }

    /// Takes an event and gives what to do.
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
        // Before the grace ends only attempts under way can still bring an answer.
        if now >= self.deadline && self.legs.is_empty() {
            self.finish_at_deadline();
        }
    }

    fn finish_at_deadline(&mut self) {
        if !self.legs.is_empty() {
            return self.finish(Outcome::from(Unknown::new(
                UnknownReason::Deadline,
                "the deadline passed while an attempt was with an agent",
            )));
        }
        if let Some(unknown) = self.lost.clone() {
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
        let claimed = target.claimed(attempt);
        if self.claiming.is_some() {
            return self.claim(claimed);
        }
        self.execute(claimed, now);
    }

    fn not_chosen(&mut self, not_run: NotRun, now: TimestampMs) {
        self.choosing = false;
        let reason = not_run.reason;
        let permanent = not_run.retry_after_ms.is_none();
        let final_word = permanent || !matches!(not_run.reason, NotRunReason::NoSlot);
        // The refusal of an attempt says more than the lack of a second choice.
        if self.attempt_count == 0 || self.last_refusal.is_none() {
            self.last_refusal = Some(not_run);
        }
        if !self.legs.is_empty() || self.look_up(reason) {
            return;
        }
        if final_word {
            return self.finish_without_attempts();
        }
        self.retry(now);
    }

    /// Sends an attempt to its agent; this is the only place that does.
    pub(super) fn execute(&mut self, attempt: ClaimedAttempt, now: TimestampMs) {
        assert!(
            self.claiming.is_none() || self.legs.is_empty(),
            "a second attempt of a non-idempotent request while one may still run"
        );
        self.attempt_count += 1;
        self.commands.push(DispatchCommand::Execute(attempt.clone()));
        if self.claiming.is_none() && self.attempt_count == 1 {
            self.hedge_at = Some(now + self.settings.hedge_after);
        }
        let resolve_at = now + self.settings.silence;
        self.legs.push(Leg {
            attempt,
            state: LegState::Executing { resolve_at },
            failed_resolve_count: 0,
            foreign: false,
        });
    }

    /// Asks for an attempt that an earlier sending of the same key dispatched.
    pub(super) fn follow(&mut self, attempt: ClaimedAttempt) {
        self.commands.push(DispatchCommand::Resolve(attempt.clone()));
        self.legs.push(Leg {
            attempt,
            state: LegState::Resolving,
            failed_resolve_count: 0,
            foreign: true,
        });
    }

    fn leg_index(&self, attempt: AttemptId) -> Option<usize> {
        self.legs.iter().position(|leg| leg.attempt.attempt == attempt)
    }

    fn resolved(&mut self, attempt: AttemptId, resolution: Resolution, now: TimestampMs) {
        let Some(index) = self.leg_index(attempt) else {
            return;
        };
        match resolution {
            Resolution::Running => {
                let leg = &mut self.legs[index];
                leg.failed_resolve_count = 0;
                leg.state = LegState::ResolveLater { resolve_at: now + self.settings.backoff_base };
            }
            Resolution::NotRun(not_run) => self.leg_not_run(index, not_run, now),
            Resolution::Unknown(unknown) => self.leg_lost(index, unknown, now),
            Resolution::Ended(outcome) => match outcome.as_ref().clone() {
                Outcome::Completed(_) => self.completed(index, outcome.as_ref().clone()),
                Outcome::NotRun(not_run) => self.leg_not_run(index, not_run, now),
                Outcome::Unknown(unknown) => self.leg_lost(index, unknown, now),
            },
        }
    }

    fn completed(&mut self, index: usize, outcome: Outcome) {
        if self.claiming.is_some() {
            let attempt = self.legs[index].attempt.attempt;
            self.commands.push(DispatchCommand::Settle(attempt, ClaimState::Completed));
        }
        self.finish(outcome);
    }

    fn leg_not_run(&mut self, index: usize, not_run: NotRun, now: TimestampMs) {
        let leg = self.legs.swap_remove(index);
        self.excluded.push(leg.attempt.node.clone());
        if !leg.foreign {
            self.last_refusal = Some(not_run);
        }
        if self.claiming.is_some() {
            return self.release_then_retry(&leg);
        }
        if self.legs.is_empty() {
            self.retry(now);
        }
    }

    fn leg_lost(&mut self, index: usize, unknown: Unknown, now: TimestampMs) {
        let leg = self.legs.swap_remove(index);
        self.excluded.push(leg.attempt.node);
        self.lost = Some(unknown.clone());
        if self.claiming.is_some() {
            return self.finish(unknown.into());
        }
        if self.legs.is_empty() {
            self.retry(now);
        }
    }

    fn broken(&mut self, attempt: AttemptId, now: TimestampMs) {
        let Some(index) = self.leg_index(attempt) else {
            return;
        };
        let leg = &mut self.legs[index];
        if matches!(leg.state, LegState::Executing { .. }) {
            return self.resolve(index);
        }
        if matches!(leg.state, LegState::ResolveLater { .. }) {
            return;
        }
        leg.failed_resolve_count += 1;
        let count = leg.failed_resolve_count;
        let pause = self.backoff(count);
        self.legs[index].state = LegState::ResolveLater { resolve_at: now + pause };
        // The agent is out of reach; an idempotent request need not wait for it.
        let may_go_elsewhere = self.claiming.is_none() && count == 1;
        if may_go_elsewhere && self.attempt_count < self.settings.attempt_count {
            self.excluded.push(self.legs[index].attempt.node.clone());
            self.choose(ChoiceKind::Retry);
        }
    }

    fn resolve(&mut self, index: usize) {
        let leg = &mut self.legs[index];
        leg.state = LegState::Resolving;
        self.commands.push(DispatchCommand::Resolve(leg.attempt.clone()));
    }

    fn timer(&mut self, now: TimestampMs) {
        for index in 0..self.legs.len() {
            if self.legs[index].next_timer().is_some_and(|at| at <= now) {
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
        if self.legs.len() != 1 || self.attempt_count >= self.settings.attempt_count {
            return;
        }
        self.excluded.push(self.legs[0].attempt.node.clone());
        self.choose(ChoiceKind::Hedge);
    }

    /// Chooses again after a pause, or gives up.
    pub(super) fn retry(&mut self, now: TimestampMs) {
        if self.choosing || self.choose_at.is_some() {
            return;
        }
        if self.attempt_count >= self.settings.attempt_count {
            return self.finish_without_attempts();
        }
        self.backoff_count += 1;
        let pause = self.backoff(self.backoff_count);
        if now + pause >= self.deadline {
            return self.finish_without_attempts();
        }
        self.choose_at = Some(now + pause);
    }

    /// Ends a request of which no attempt is under way.
    pub(super) fn finish_without_attempts(&mut self) {
        if let Some(unknown) = self.lost.clone() {
            return self.finish(unknown.into());
        }
        let refusal = self.last_refusal.clone().unwrap_or_else(|| {
            NotRun::retryable(NotRunReason::NoMinion, 1_000, "no minion took the request")
        });
        self.finish(refusal.into());
    }

    /// An attempt that is addressed to nobody.
    pub(super) fn lookup_attempt(&mut self) -> ClaimedAttempt {
        ClaimedAttempt {
            attempt: AttemptId::new(self.random.random()),
            node: self.node.clone(),
            incarnation: Incarnation::default(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
        }
    }

    /// A pause that doubles each time, of which a random half is taken off so that callers who
    /// failed together do not come back together.
    pub(super) fn backoff(&mut self, count: u32) -> DurationMs {
        let base = self.settings.backoff_base.get();
        let full = base.saturating_mul(1 << count.saturating_sub(1).min(16));
        let full = full.min(self.settings.backoff_limit.get()).max(1);
        DurationMs::new(self.random.random_range(full.div_ceil(2)..=full))
    }
}
