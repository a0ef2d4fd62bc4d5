//! Encoding and decoding of claim commands, claim outcomes and attempt resolutions.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use bytes::Bytes;
use yuccatack_core::prelude::*;
use yuccatack_requests::answer_check::{AnswerCollector, AnswerPart};
use yuccatack_requests::attempts::Resolution;
use yuccatack_requests::claims::{
    ClaimCommand, ClaimOutcome, ClaimRefusal, ClaimState, ClaimedAttempt, ContentDigest,
    IdempotencyKey,
};
use yuccatack_requests::generated::claims as wire;
use yuccatack_requests::prelude::*;
use yuccatack_requests::wire::attempts::resolution_parts;
use yuccatack_requests::wire::claims::ClaimCall;

fn attempt() -> ClaimedAttempt {
    ClaimedAttempt {
        attempt: AttemptId::new([3; 16]),
        node: NodeName::new("agent-1").unwrap(),
        incarnation: Incarnation::new(7),
        address: ([127, 0, 0, 1], 9000).into(),
    }
}

/// Guards against fields of claim commands that are lost or swapped by encoding and decoding.
#[test]
fn claim_commands() {
    let organisation = OrganisationName::new("lender").unwrap();
    let key = IdempotencyKey::new("5-a").unwrap();
    let claim = ClaimCommand::Claim {
        organisation: organisation.clone(),
        key: key.clone(),
        content: ContentDigest::of(&[b"x"]),
        attempt: attempt(),
    };
    let settle = ClaimCommand::Settle {
        organisation,
        key,
        attempt: attempt().attempt,
        state: ClaimState::Released,
    };
    for command in [claim, settle] {
        let decoded = match ClaimCall::from(&command) {
            ClaimCall::Claim(request) => ClaimCommand::try_from(request),
            ClaimCall::Settle(request) => ClaimCommand::try_from(request),
        };
        assert_eq!(decoded.unwrap(), command);
    }
}

/// Guards against claim outcomes that are changed by encoding and decoding.
#[test]
fn claim_outcomes() {
    let refusals = [
        ClaimRefusal::KeyTooOld,
        ClaimRefusal::KeyFromFuture,
        ClaimRefusal::KeyReused,
        ClaimRefusal::TableFull { retry_after_ms: 9 },
    ];
    let mut outcomes: Vec<ClaimOutcome> = refusals.into_iter().map(ClaimOutcome::Refused).collect();
    outcomes.push(ClaimOutcome::Granted);
    for state in [ClaimState::Dispatched, ClaimState::Completed, ClaimState::Released] {
        outcomes.push(ClaimOutcome::Existing { attempt: attempt(), state });
    }
    for outcome in outcomes {
        let response = wire::ClaimResponse::try_from(outcome.clone()).unwrap();
        assert_eq!(ClaimOutcome::try_from(response).unwrap(), outcome);
    }
}

fn decode(expected: AttemptId, organisation: &str, parts: &[AnswerPart]) -> Option<Resolution> {
    let organisation = OrganisationName::new(organisation).unwrap();
    let mut collector = AnswerCollector::new(expected, organisation, 1024 * 1024);
    let mut resolution = None;
    for part in parts {
        resolution = collector.push(part.clone()).ok()?;
    }
    resolution
}

fn parts(resolution: &Resolution) -> Vec<AnswerPart> {
    let organisation = OrganisationName::new("lender").unwrap();
    let parts = resolution_parts(AttemptId::new([3; 16]), &organisation, resolution);
    parts.into_iter().map(|part| AnswerPart::try_from(part).unwrap()).collect()
}

/// Guards against resolutions that are changed by encoding and decoding, and against accepting ones
/// that are incomplete or belong to another attempt or organisation.
#[test]
fn resolutions() {
    let answer = Answer {
        status: 201,
        headers: vec![Header { name: Arc::from("x"), value: Bytes::from_static(b"\xff") }],
        body: Bytes::from(vec![7; 600_000]),
    };
    let resolutions = [
        Resolution::Running,
        Resolution::NotRun(NotRun::retryable(NotRunReason::NoSlot, 10, "full")),
        Resolution::Unknown(Unknown::new(UnknownReason::MinionConnection, "broke: badly")),
        Resolution::Ended(Arc::new(Outcome::Completed(answer))),
    ];
    for resolution in resolutions {
        let parts = parts(&resolution);
        let expected = AttemptId::new([3; 16]);
        assert_eq!(decode(expected, "lender", &parts), Some(resolution));
        assert_eq!(decode(AttemptId::new([4; 16]), "lender", &parts), None);
        if parts.len() > 1 {
            assert_eq!(decode(expected, "other", &parts), None);
        }
        for missing in 0..parts.len() {
            let mut parts = parts.clone();
            parts.remove(missing);
            assert_eq!(decode(expected, "lender", &parts), None, "without part {missing}");
        }
    }
}
