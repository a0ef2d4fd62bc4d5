//! Single transitions of the dispatch state machine; `lossy_network` covers complete runs.

#![allow(clippy::unwrap_used, missing_docs)]

use yuccatack_core::prelude::*;
use yuccatack_requests::attempts::Resolution;
use yuccatack_requests::claims::{ClaimCallError, ClaimOutcome};
use yuccatack_requests::dispatch::{
    ChoiceKind, Dispatch, DispatchCommand, DispatchEvent, DispatchSettings, Target,
};
use yuccatack_requests::prelude::*;

const DEADLINE: TimestampMs = TimestampMs::new(10_000);

fn target(name: &str) -> Target {
    Target {
        node: NodeName::new(name).unwrap(),
        incarnation: Incarnation::new(1),
        address: ([127, 0, 0, 1], 9000).into(),
    }
}

fn chosen(number: u8, name: &str) -> DispatchEvent {
    DispatchEvent::Chosen(Ok((AttemptId::new([number; 16]), target(name))))
}

fn started(idempotent: bool) -> Dispatch {
    let mut dispatch =
        Dispatch::new(DispatchSettings::default(), target("entry").node, idempotent, DEADLINE, 1);
    let commands = dispatch.start(TimestampMs::new(0));
    assert_eq!(commands, [DispatchCommand::Choose(ChoiceKind::First, Vec::new())]);
    dispatch
}

/// Fires timers until `end` and returns all commands.
fn run_timers(dispatch: &mut Dispatch, end: TimestampMs) -> Vec<DispatchCommand> {
    let mut commands = Vec::new();
    while !dispatch.is_finished() && dispatch.next_timer() <= end {
        let now = dispatch.next_timer();
        commands.extend(dispatch.handle(DispatchEvent::Timer, now));
    }
    commands
}

/// Guards against slow idempotent requests that are never hedged, or are hedged on the same node.
#[test]
fn hedge() {
    let mut dispatch = started(true);
    dispatch.handle(chosen(1, "one"), TimestampMs::new(0));
    let commands = run_timers(&mut dispatch, TimestampMs::new(2_000));
    let hedge = DispatchCommand::Choose(ChoiceKind::Hedge, vec![target("one").node]);
    assert!(commands.contains(&hedge), "{commands:?}");
}

/// Guards against a non-idempotent request that is sent before its claim is granted, or that is
/// sent again while its attempt has not been answered.
#[test]
fn claim_first() {
    let mut dispatch = started(false);
    let attempt = target("one").to_claimed_attempt(AttemptId::new([1; 16]));
    let commands = dispatch.handle(chosen(1, "one"), TimestampMs::new(0));
    assert_eq!(commands, [DispatchCommand::Claim(attempt.clone())]);
    let unconfirmed = DispatchEvent::Claimed(Err(ClaimCallError::Unconfirmed));
    assert_eq!(dispatch.handle(unconfirmed, TimestampMs::new(1)), []);
    let retried = run_timers(&mut dispatch, TimestampMs::new(50));
    assert_eq!(retried, [DispatchCommand::Claim(attempt.clone())]);
    let granted = DispatchEvent::Claimed(Ok(ClaimOutcome::Granted));
    let commands = dispatch.handle(granted, TimestampMs::new(60));
    assert_eq!(commands, [DispatchCommand::Execute(attempt.clone())]);
    let later = run_timers(&mut dispatch, TimestampMs::new(20_000));
    let executed = later.iter().any(|command| matches!(command, DispatchCommand::Execute(_)));
    assert!(!executed, "{later:?}");
    assert!(matches!(
        later.last(),
        Some(DispatchCommand::Finish(Outcome::Unknown(unknown)))
            if unknown.reason == UnknownReason::Deadline
    ));
}

/// Guards against retries without a limit on their number or without a delay between them.
#[test]
fn bounded_retries() {
    let mut dispatch = started(true);
    let mut now = TimestampMs::new(0);
    let mut executed = 0;
    for number in 1..10 {
        let commands = dispatch.handle(chosen(number, "one"), now);
        executed += commands.len();
        let refusal = NotRun::retryable(NotRunReason::NoSlot, 10, "full");
        let refused = Resolution::NotRun(refusal);
        let attempt = AttemptId::new([number; 16]);
        let commands = dispatch.handle(DispatchEvent::Resolved(attempt, refused), now);
        if dispatch.is_finished() {
            assert!(matches!(commands[..], [DispatchCommand::Finish(Outcome::NotRun(_))]));
            break;
        }
        assert_eq!(commands, [], "retried without a delay");
        now = dispatch.next_timer();
        dispatch.handle(DispatchEvent::Timer, now);
    }
    assert_eq!(executed, 4);
}
