//! Claims of idempotency keys, which limit a non-idempotent request to one attempt at a time.

use yuccatack_core::prelude::*;

use super::message::DispatchCommand;
use super::pending::PendingAttempt;
use super::state::Dispatch;
use crate::claims::{ClaimCallError, ClaimOutcome, ClaimRefusal, ClaimState, ClaimedAttempt};
use crate::outcome::{NotRun, NotRunReason, NotRunScope, Outcome, Unknown, UnknownReason};

/// State of the claim of one request at the control leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Claiming {
    stage: Stage,
    /// Attempt that was generated for this submission and has not been sent.
    own_attempt: Option<ClaimedAttempt>,
    claim_count: usize,
    failure_count: u32,
    /// `true` if every attempt that held the key before this submission's attempt provably never
    /// ran. A key is only granted again after such an attempt was released.
    key_unused: bool,
    /// `true` if the claim only looks up an earlier holder of the key, because no minion can be
    /// chosen. Its attempt is a placeholder that is addressed to no agent and never sent.
    lookup_only: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
enum Stage {
    #[default]
    Idle,
    Claiming,
    ClaimScheduled(TimestampMs),
    Releasing(AttemptId),
    ReleaseScheduled(AttemptId, TimestampMs),
}

impl Claiming {
    pub(super) fn next_timer(&self) -> Option<TimestampMs> {
        match self.stage {
            Stage::ClaimScheduled(at) | Stage::ReleaseScheduled(_, at) => Some(at),
            Stage::Idle | Stage::Claiming | Stage::Releasing(_) => None,
        }
    }
}

/// Returns `true` for the placeholder attempt of a lookup; no agent has the incarnation zero.
fn is_placeholder(attempt: &ClaimedAttempt) -> bool {
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
        claiming.own_attempt = Some(attempt.clone());
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
        let Some(own_attempt) = claiming.own_attempt.clone() else {
            return;
        };
        if claiming.lookup_only && result.is_err() {
            // The earlier refusal remains valid, for this submission only.
            return self.finish_without_attempts();
        }
        match result {
            Ok(ClaimOutcome::Granted) => self.claim_granted(own_attempt, now),
            Ok(ClaimOutcome::Existing { attempt, state }) => {
                self.claim_existing(own_attempt, attempt, state, now);
            }
            Ok(ClaimOutcome::Refused(reason)) => {
                // A key that is not expired and has no claim has never been dispatched.
                claiming.key_unused = matches!(reason, ClaimRefusal::TableFull { .. });
                self.finish(refusal(reason).into());
            }
            Ok(ClaimOutcome::Settled(_))
            | Err(ClaimCallError::Unavailable { .. } | ClaimCallError::Unconfirmed) => {
                self.schedule_claim_retry(now);
            }
        }
    }

    fn claim_granted(&mut self, own_attempt: ClaimedAttempt, now: TimestampMs) {
        if let Some(claiming) = &mut self.claiming {
            if claiming.lookup_only {
                claiming.key_unused = true;
                claiming.own_attempt = None;
                self.finish_without_attempts();
                let release = DispatchCommand::Settle(own_attempt.attempt, ClaimState::Released);
                return self.commands.push(release);
            }
            claiming.own_attempt = None;
            claiming.failure_count = 0;
            claiming.key_unused = true;
        }
        self.execute(own_attempt, now);
    }

    fn claim_existing(
        &mut self,
        own_attempt: ClaimedAttempt,
        holder: ClaimedAttempt,
        state: ClaimState,
        now: TimestampMs,
    ) {
        if holder.attempt != own_attempt.attempt {
            return self.resolve_holder(holder);
        }
        match state {
            // The reply to the first claim was lost. Only this submission may dispatch its attempt,
            // and it has not done so.
            ClaimState::Dispatched => self.claim_granted(own_attempt, now),
            // A resubmission resolved the attempt before it was sent, which barred it.
            ClaimState::Released => {
                if let Some(claiming) = &mut self.claiming {
                    claiming.own_attempt = None;
                }
                self.retry(now);
            }
            ClaimState::Completed => self.finish(Outcome::from(Unknown::new(
                UnknownReason::AnswerForgotten,
                "the claim says that the request completed, and its answer is not at hand",
            ))),
        }
    }

    /// Resolves the attempt that holds the key, or releases it if it is a lookup placeholder.
    fn resolve_holder(&mut self, holder: ClaimedAttempt) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        if is_placeholder(&holder) {
            // The submission that looked up the key ended without releasing it. Placeholders are
            // never sent, so the key can be released.
            claiming.stage = Stage::Releasing(holder.attempt);
            let release = DispatchCommand::Settle(holder.attempt, ClaimState::Released);
            return self.commands.push(release);
        }
        claiming.key_unused = false;
        if claiming.lookup_only {
            claiming.lookup_only = false;
            claiming.own_attempt = None;
        }
        self.resolve_foreign(holder);
    }

    /// Looks up whether an earlier submission holds the key, although no attempt can be sent now.
    /// Returns `false` if no lookup is made. Only `NoMinion` and `NoSlot` qualify: a lookup costs
    /// two replicated commands, which refusals due to overload do not justify.
    pub(super) fn look_up_holder(&mut self, reason: NotRunReason) -> bool {
        let reason_qualifies = matches!(reason, NotRunReason::NoMinion | NotRunReason::NoSlot);
        let before_first_attempt = self.attempt_count == 0 && self.pending_attempts.is_empty();
        let Some(claiming) = self.claiming.as_mut().filter(|claiming| claiming.claim_count == 0)
        else {
            return false;
        };
        if !reason_qualifies || !before_first_attempt {
            return false;
        }
        claiming.lookup_only = true;
        let attempt = self.placeholder_attempt();
        self.claim(attempt);
        true
    }

    fn schedule_claim_retry(&mut self, now: TimestampMs) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        claiming.failure_count += 1;
        let count = claiming.failure_count;
        let delay = self.backoff(count);
        let at = now + delay;
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
            claiming.stage = Stage::ClaimScheduled(at);
        }
    }

    /// Releases the key of an attempt that provably never ran, before the key is claimed again.
    pub(super) fn release_then_retry(&mut self, pending: &PendingAttempt) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        let attempts_exhausted =
            claiming.own_attempt.is_none() && self.attempt_count >= self.settings.attempt_limit;
        let is_last = attempts_exhausted || claiming.claim_count >= self.settings.claim_limit;
        claiming.stage = Stage::Releasing(pending.attempt.attempt);
        if is_last {
            self.finish_without_attempts();
        }
        self.commands.push(DispatchCommand::Settle(pending.attempt.attempt, ClaimState::Released));
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
            claiming.stage = Stage::ReleaseScheduled(attempt, at);
        }
    }

    /// Claims the attempt that was generated but never sent, or chooses a new minion if there is
    /// none.
    fn claim_own_or_retry(&mut self, now: TimestampMs) {
        let own_attempt = self.claiming.as_ref().and_then(|claiming| claiming.own_attempt.clone());
        match own_attempt {
            Some(own_attempt) => self.claim(own_attempt),
            None => self.retry(now),
        }
    }

    pub(super) fn claim_timer(&mut self, now: TimestampMs) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        match claiming.stage {
            Stage::ClaimScheduled(at) if at <= now => {
                if let Some(own_attempt) = claiming.own_attempt.clone() {
                    self.claim(own_attempt);
                }
            }
            Stage::ReleaseScheduled(attempt, at) if at <= now => {
                claiming.stage = Stage::Releasing(attempt);
                self.commands.push(DispatchCommand::Settle(attempt, ClaimState::Released));
            }
            Stage::Idle
            | Stage::Claiming
            | Stage::ClaimScheduled(_)
            | Stage::Releasing(_)
            | Stage::ReleaseScheduled(..) => {}
        }
    }

    /// Widens the scope of a refusal to the key if no attempt with the key has run.
    pub(super) fn with_scope(&self, outcome: Outcome) -> Outcome {
        let key_unused = self.claiming.as_ref().is_some_and(|claiming| claiming.key_unused);
        match outcome {
            Outcome::NotRun(not_run) if key_unused => {
                NotRun { scope: NotRunScope::Key, ..not_run }.into()
            }
            other => other,
        }
    }

    /// Releases a key that was claimed, or may have been, for an attempt that will never be sent.
    pub(super) fn release_unused_claim(&mut self, outcome: &Outcome) {
        let Some(claiming) = &mut self.claiming else {
            return;
        };
        let maybe_claimed = matches!(claiming.stage, Stage::Claiming | Stage::ClaimScheduled(_));
        let Some(own_attempt) = claiming.own_attempt.take() else {
            return;
        };
        if maybe_claimed && matches!(outcome, Outcome::NotRun(_)) {
            self.commands.push(DispatchCommand::Settle(own_attempt.attempt, ClaimState::Released));
        }
    }
}
