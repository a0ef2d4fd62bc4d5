//! Content and addressing of one attempt to run a request, sent by an entry to an agent.

use std::sync::Arc;

use bytes::Bytes;
use yuccatack_core::prelude::*;

use crate::outcome::Header;

/// Content of a caller's request, shared by all of its attempts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestContent {
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Service whose minions may run the request.
    pub service: ServiceName,
    /// Priority class, used for admission and queueing.
    pub class: PriorityClass,
    /// HTTP method sent to the minion.
    pub method: Arc<str>,
    /// HTTP path sent to the minion, including the query.
    pub path: Arc<str>,
    /// Headers sent to the minion.
    pub headers: Vec<Header>,
    /// `true` if the request may safely run more than once.
    pub idempotent: bool,
    /// Complete request body.
    pub body: Bytes,
}

/// Identity and addressing of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptHead {
    /// Identifier that carries the issue time; see [`attempt_id`].
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt is addressed to; no other one may run it.
    pub incarnation: Incarnation,
    /// Time left until the request's deadline when the attempt was sent.
    pub remaining_deadline: DurationMs,
}

const ISSUE_TIME_LENGTH_BYTES: usize = 6;

/// Builds an attempt identifier that carries its issue time.
///
/// An agent that has evicted old attempts uses the issue time to decide whether an unknown attempt
/// may be one of them, so that it never reports such an attempt as not received.
pub fn attempt_id(issued_at: TimestampMs, random: [u8; 10]) -> AttemptId {
    let mut bytes = [0; 16];
    bytes[..ISSUE_TIME_LENGTH_BYTES].copy_from_slice(&issued_at.get().to_be_bytes()[2..]);
    bytes[ISSUE_TIME_LENGTH_BYTES..].copy_from_slice(&random);
    AttemptId::new(bytes)
}

/// Returns the issue time that [`attempt_id`] encoded.
pub fn attempt_issued_at(attempt: AttemptId) -> TimestampMs {
    let mut bytes = [0; 8];
    bytes[2..].copy_from_slice(&attempt.as_bytes()[..ISSUE_TIME_LENGTH_BYTES]);
    TimestampMs::new(u64::from_be_bytes(bytes))
}
