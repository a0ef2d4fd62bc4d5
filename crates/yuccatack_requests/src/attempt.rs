//! One attempt to run a request, as entries address it to agents.

use std::sync::Arc;

use bytes::Bytes;
use yuccatack_core::prelude::*;

use crate::outcome::Header;

/// What the caller asked for; shared by all attempts of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestContent {
    /// Who asks.
    pub organisation: OrganisationName,
    /// The pool of minions that shall answer.
    pub service: ServiceName,
    /// How urgent it is.
    pub class: PriorityClass,
    /// The HTTP method for the minion.
    pub method: Arc<str>,
    /// The HTTP path for the minion, with its query.
    pub path: Arc<str>,
    /// The headers for the minion.
    pub headers: Vec<Header>,
    /// Whether running it twice harms nobody.
    pub idempotent: bool,
    /// The whole body.
    pub body: Bytes,
}

/// The addressing of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptHead {
    /// The attempt.
    pub attempt: AttemptId,
    /// The only incarnation of the agent that may run it.
    pub incarnation: Incarnation,
    /// The time left when it was sent.
    pub remaining_deadline: DurationMs,
}

const ISSUE_TIME_LENGTH_BYTES: usize = 6;

/// Builds an attempt identifier that carries its issue time.
///
/// An agent that has forgotten old attempts can tell by the time whether an attempt may be one of
/// them, and then never claims that it was not received.
pub fn attempt_id(issued_at: TimestampMs, random: [u8; 10]) -> AttemptId {
    let mut bytes = [0; 16];
    bytes[..ISSUE_TIME_LENGTH_BYTES].copy_from_slice(&issued_at.get().to_be_bytes()[2..]);
    bytes[ISSUE_TIME_LENGTH_BYTES..].copy_from_slice(&random);
    AttemptId::new(bytes)
}

/// The issue time that [`attempt_id`] wrote.
pub fn attempt_issued_at(attempt: AttemptId) -> TimestampMs {
    let mut bytes = [0; 8];
    bytes[2..].copy_from_slice(&attempt.as_bytes()[..ISSUE_TIME_LENGTH_BYTES]);
    TimestampMs::new(u64::from_be_bytes(bytes))
}
