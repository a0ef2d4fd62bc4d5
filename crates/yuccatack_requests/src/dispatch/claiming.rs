//! The part of dispatching that keeps a non-idempotent key to one attempt at a time.

use yuccatack_core::prelude::*;

use super::legs::Leg;
use super::message::DispatchCommand;
use super::state::Dispatch;
use crate::claims::{ClaimCallError, ClaimOutcome, ClaimRefusal, ClaimState, ClaimedAttempt};
use crate::outcome::{NotRun, NotRunReason, NotRunScope, Outcome, Unknown, UnknownReason};

/// What is under way with the control leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Claiming {
    stage: Stage,
    /// The attempt that was drawn for this sending and not yet sent.
    own: Option<ClaimedAttempt>,
    claim_count: usize,
    failure_count: u32,
    /// Whether every attempt that held the key before the own one provably never ran. A claim is
    /// only granted again after such an attempt was released.
    key_unused: bool,
    /// Whether the claim only asks for an earlier holder, because no minion can be chosen. Its
    /// attempt is addressed to nobody and is never sent.
    looking_up: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
enum Stage {
    #[default]
    Idle,
    Claiming,
    ClaimLater(TimestampMs),
    Releasing(AttemptId),
    ReleaseLater(AttemptId, TimestampMs),
}

impl Claiming {
    pub(super) fn next_timer(&self) -> Option<TimestampMs> {
        match self.stage {
            Stage::ClaimLater(at) | Stage::ReleaseLater(_, at) => Some(at),
            Stage::Idle | Stage::Claiming | Stage::Releasing(_) => None,
        }
    }
}

/// Whether a claimed attempt is addressed to nobody; zero is no agent's incarnation.
fn is_lookup(attempt: &ClaimedAttempt) -> bool {
    attempt.incarnation == Incarnation::default()
}

fn refusal(refusal: ClaimRefusal) -> NotRun {
    match refusal {
        ClaimRefusal::KeyTooOld => NotRun::permanent(
            NotRunReason::KeyTooOld,
            "the key is older than claims are kept, so this request was not run; an earlier one \
             with the same key may have run",
        ),
        ClaimRefusal::KeyFromFuture => NotRun::retryable(
            NotRunReason::Invalid,
            1_000,
            "the key's time lies in the future; correct the caller's clock",
        ),
        ClaimRefusal::KeyReused => NotRun::permanent(
            NotRunReason::KeyReused,
            "the key was used for a request with other content; use a new key",
        ),
        ClaimRefusal::TableFull { retry_after_ms } => NotRun::retryable(
            NotRunReason::ClaimsUnavailable,
            retry_after_ms,
            "as many claims are held as may be",
        ),
    }
}

impl Dispatch {
    pub(super) fn claim(&mut self, attempt: ClaimedAttempt) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        claiming.claim_count += 1;
        claiming.stage = Stage::Claiming;
        claiming.own = Some(attempt.clone());
        self.commands.push(DispatchCommand::Claim(attempt));
    }

    pub(super) fn claimed(
        &mut self,
        result: Result<ClaimOutcome, ClaimCallError>,
        now: TimestampMs,
    ) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        if claiming.stage != Stage::Claiming {
            return;
        }
        claiming.stage = Stage::Idle;
        let Some(own) = claiming.own.clone() else {
            return;
        };
        if claiming.looking_up && result.is_err() {
            // The refusal stands, and speaks of this sending only.
            return self.finish_without_attempts();
        }
        match result {
            Ok(ClaimOutcome::Granted) => self.claim_granted(own, now),
            Ok(ClaimOutcome::Existing { attempt, state }) => {
                self.claim_existing(own, attempt, state, now);
            }
            Ok(ClaimOutcome::Refused(reason)) => {
                // A young key without a claim has never been dispatched.
                claiming.key_unused = matches!(reason, ClaimRefusal::TableFull { .. });
                self.finish(refusal(reason).into());
            }
            Ok(ClaimOutcome::Settled(_))
            | Err(ClaimCallError::Unavailable { .. } | ClaimCallError::Unconfirmed) => {
                self.claim_later(now);
            }
        }
    }

    fn claim_granted(&mut self, own: ClaimedAttempt, now: TimestampMs) {
        if let Some(claiming) = &mut self.claiming {
            if claiming.looking_up {
                claiming.key_unused = true;
                claiming.own = None;
                self.finish_without_attempts();
                let unused = DispatchCommand::Settle(own.attempt, ClaimState::Released);
                return self.commands.push(unused);
            }
            claiming.own = None;
            claiming.failure_count = 0;
            claiming.key_unused = true;
        }
        self.execute(own, now);
    }

    fn claim_existing(
        &mut self,
        own: ClaimedAttempt,
        holder: ClaimedAttempt,
        state: ClaimState,
        now: TimestampMs,
    ) {
        if holder.attempt != own.attempt {
            return self.claim_held(holder);
        }
        match state {
            // The reply to the first try was lost. Only this sending may dispatch its attempt,
            // and it has not.
            ClaimState::Dispatched => self.claim_granted(own, now),
            // A resend resolved the attempt before it was sent, which barred it.
            ClaimState::Released => {
                if let Some(claiming) = &mut self.claiming {
                    claiming.own = None;
                }
                self.retry(now);
            }
            ClaimState::Completed => self.finish(Outcome::from(Unknown::new(
                UnknownReason::AnswerForgotten,
                "the claim says that the request completed, and its answer is not at hand",
            ))),
        }
    }

    /// Finds out what became of the attempt that holds the key.
    fn claim_held(&mut self, holder: ClaimedAttempt) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        if is_lookup(&holder) {
            // Its sending ended without releasing it. It was never sent, so the key is free.
            claiming.stage = Stage::Releasing(holder.attempt);
            let release = DispatchCommand::Settle(holder.attempt, ClaimState::Released);
            return self.commands.push(release);
        }
        claiming.key_unused = false;
        if claiming.looking_up {
            claiming.looking_up = false;
            claiming.own = None;
        }
        self.follow(holder);
    }

    /// Asks whether an earlier sending holds the key, although nothing can be sent now. Only
    /// refusals that are not due to overload are worth the two commands.
    pub(super) fn look_up(&mut self, reason: NotRunReason) -> bool {
        let worth = matches!(reason, NotRunReason::NoMinion | NotRunReason::NoSlot);
        let first = self.attempt_count == 0 && self.legs.is_empty();
        let Some(claiming) = self.claiming.as_mut().filter(|claiming| claiming.claim_count == 0)
        else {
            return false;
        };
        if !worth || !first {
            return false;
        }
        claiming.looking_up = true;
        let nobody = self.lookup_attempt();
        self.claim(nobody);
        true
    }

    fn claim_later(&mut self, now: TimestampMs) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        claiming.failure_count += 1;
        let count = claiming.failure_count;
        let pause = self.backoff(count);
        let at = now + pause;
        if at >= self.deadline {
            return self.finish(
                NotRun::retryable(
                    NotRunReason::ClaimsUnavailable,
                    1_000,
                    "the control leader did not confirm the claim before the deadline",
                )
                .into(),
            );
        }
        if let Some(claiming) = &mut self.claiming {
            claiming.stage = Stage::ClaimLater(at);
        }
    }

    /// Frees the key of an attempt that provably never ran, before the key is claimed again.
    pub(super) fn release_then_retry(&mut self, leg: &Leg) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        let spent = claiming.own.is_none() && self.attempt_count >= self.settings.attempt_count;
        let last = spent || claiming.claim_count >= self.settings.claim_count;
        claiming.stage = Stage::Releasing(leg.attempt.attempt);
        if last {
            self.finish_without_attempts();
        }
        self.commands.push(DispatchCommand::Settle(leg.attempt.attempt, ClaimState::Released));
    }

    pub(super) fn settled(
        &mut self,
        result: &Result<ClaimOutcome, ClaimCallError>,
        now: TimestampMs,
    ) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        let Stage::Releasing(attempt) = claiming.stage else {
            return;
        };
        if result.is_ok() {
            claiming.stage = Stage::Idle;
            claiming.failure_count = 0;
            return self.claim_own_or_retry(now);
        }
        claiming.failure_count += 1;
        let count = claiming.failure_count;
        let at = now + self.backoff(count);
        if let Some(claiming) = &mut self.claiming {
            claiming.stage = Stage::ReleaseLater(attempt, at);
        }
    }

    /// An attempt that was drawn and never sent can be claimed again; otherwise a new minion is
    /// chosen.
    fn claim_own_or_retry(&mut self, now: TimestampMs) {
        let own = self.claiming.as_ref().and_then(|claiming| claiming.own.clone());
        match own {
            Some(own) => self.claim(own),
            None => self.retry(now),
        }
    }

    pub(super) fn claim_timer(&mut self, now: TimestampMs) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        match claiming.stage {
            Stage::ClaimLater(at) if at <= now => {
                if let Some(own) = claiming.own.clone() {
                    self.claim(own);
                }
            }
            Stage::ReleaseLater(attempt, at) if at <= now => {
                claiming.stage = Stage::Releasing(attempt);
                self.commands.push(DispatchCommand::Settle(attempt, ClaimState::Released));
            }
            Stage::Idle
            | Stage::Claiming
            | Stage::ClaimLater(_)
            | Stage::Releasing(_)
            | Stage::ReleaseLater(..) => {}
        }
    }

    /// Says whether a refusal speaks of the whole key.
    pub(super) fn with_scope(&self, outcome: Outcome) -> Outcome {
        let key_unused = self.claiming.as_ref().is_some_and(|claiming| claiming.key_unused);
        match outcome {
            Outcome::NotRun(not_run) if key_unused => {
                NotRun { scope: NotRunScope::Key, ..not_run }.into()
            }
            other => other,
        }
    }

    /// Frees a key that was claimed, or may have been, for an attempt that will never be sent.
    pub(super) fn release_unused_claim(&mut self, outcome: &Outcome) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        let maybe_claimed = matches!(claiming.stage, Stage::Claiming | Stage::ClaimLater(_));
        let Some(own) = claiming.own.take() else {
            return;
        };
        if maybe_claimed && matches!(outcome, Outcome::NotRun(_)) {
            self.commands.push(DispatchCommand::Settle(own.attempt, ClaimState::Released));
        }
    }
}
