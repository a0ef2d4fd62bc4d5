//! Outcomes of requests.

use std::sync::Arc;

use bytes::Bytes;

/// HTTP header of a request or an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name in lower case.
    pub name: Arc<str>,
    /// Raw value, not necessarily valid UTF-8.
    pub value: Bytes,
}

/// Complete answer of a minion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<Header>,
    /// Complete response body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the approximate memory that the answer occupies.
    pub fn memory_bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        (headers + self.body.len()) as u64
    }
}

/// Reason for which a request did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum NotRunReason {
    /// The request is malformed or lacks a header.
    Invalid,
    /// The request was not received completely within the time limit.
    ReceiveTimeout,
    /// The body or the headers exceed their size limit.
    TooLarge,
    /// The organisation exceeds its request rate.
    RateLimited,
    /// The organisation exceeds its number of concurrent requests.
    ConcurrencyLimited,
    /// The queue of the service, the memory for bodies or the retry budget of the entry is exhausted.
    QueueFull,
    /// The deadline passed, or would have passed, before a minion received the request.
    Deadline,
    /// No minion of the service accepts new requests.
    NoMinion,
    /// Every slot of the minion is in use, or no minion of the service can accept an attempt now.
    NoSlot,
    /// The minion is draining and accepts no new requests.
    Leaving,
    /// The agent could not connect to the minion.
    MinionUnreachable,
    /// The entry could not connect to the agent.
    AgentUnreachable,
    /// The agent has restarted since the attempt was addressed.
    WrongIncarnation,
    /// The attempt was refused, or resolved before it arrived, so it must never run.
    Barred,
    /// The node has had no confirmed configuration for too long.
    StaleView,
    /// The idempotency key is older than the retention period of claims.
    KeyTooOld,
    /// The idempotency key was used for a request with other content.
    KeyReused,
    /// The replicated claim table is full or unreachable.
    ClaimsUnavailable,
    /// The entry is shutting down.
    ShuttingDown,
}

impl NotRunReason {
    /// Returns the stable identifier used in headers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::ReceiveTimeout => "receive_timeout",
            Self::TooLarge => "too_large",
            Self::RateLimited => "rate_limited",
            Self::ConcurrencyLimited => "concurrency_limited",
            Self::QueueFull => "queue_full",
            Self::Deadline => "deadline",
            Self::NoMinion => "no_minion",
            Self::NoSlot => "no_slot",
            Self::Leaving => "leaving",
            Self::MinionUnreachable => "minion_unreachable",
            Self::AgentUnreachable => "agent_unreachable",
            Self::WrongIncarnation => "wrong_incarnation",
            Self::Barred => "barred",
            Self::StaleView => "stale_view",
            Self::KeyTooOld => "key_too_old",
            Self::KeyReused => "key_reused",
            Self::ClaimsUnavailable => "claims_unavailable",
            Self::ShuttingDown => "shutting_down",
        }
    }
}

/// Submissions of a request that a refusal applies to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunScope {
    /// This submission only. An earlier submission with the same key keeps its own outcome, because
    /// the refusal was made before the claim table was queried.
    Sending,
    /// This submission and every earlier one with the same key.
    Key,
}

impl NotRunScope {
    /// Returns the stable identifier used in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Key => "key",
        }
    }
}

/// Outcome of a request that provably did not run, not even partly.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRun {
    /// Reason, which also determines the HTTP status.
    pub reason: NotRunReason,
    /// Delay in milliseconds before the caller may retry; `None` if retrying cannot help.
    pub retry_after_ms: Option<u64>,
    /// Submissions that the refusal applies to.
    pub scope: NotRunScope,
    /// Human-readable explanation.
    pub detail: Arc<str>,
}

impl NotRun {
    /// Creates a refusal after which the caller may retry once `retry_after_ms` has passed.
    pub fn retryable(reason: NotRunReason, retry_after_ms: u64, detail: &str) -> Self {
        let retry_after_ms = Some(retry_after_ms);
        Self { reason, retry_after_ms, scope: NotRunScope::Sending, detail: Arc::from(detail) }
    }

    /// Creates a refusal that a retry cannot change.
    pub fn permanent(reason: NotRunReason, detail: &str) -> Self {
        let scope = NotRunScope::Sending;
        Self { reason, retry_after_ms: None, scope, detail: Arc::from(detail) }
    }
}

/// Reason for which it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UnknownReason {
    /// The deadline passed while an attempt was with an agent.
    Deadline,
    /// The connection to the minion broke after the request was sent.
    MinionConnection,
    /// The minion's answer was truncated, too large or malformed.
    InvalidAnswer,
    /// The agent that ran the attempt has restarted.
    AgentRestarted,
    /// The agent ran, or may have run, the attempt and no longer stores its answer.
    AnswerForgotten,
    /// The process ended before the answer arrived.
    ShutDown,
}

impl UnknownReason {
    /// Returns the stable identifier used in headers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::MinionConnection => "minion_connection",
            Self::InvalidAnswer => "invalid_answer",
            Self::AgentRestarted => "agent_restarted",
            Self::AnswerForgotten => "answer_forgotten",
            Self::ShutDown => "shut_down",
        }
    }

    /// Returns the reason with the identifier `name`, as returned by [`as_str`](Self::as_str).
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [
            Self::Deadline,
            Self::MinionConnection,
            Self::InvalidAnswer,
            Self::AgentRestarted,
            Self::AnswerForgotten,
            Self::ShutDown,
        ];
        all.into_iter().find(|reason| reason.as_str() == name)
    }
}

/// Outcome of a request that may or may not have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unknown {
    /// Cause of the missing answer.
    pub reason: UnknownReason,
    /// Human-readable explanation.
    pub detail: Arc<str>,
}

impl Unknown {
    /// Creates the outcome with an explanation for the caller.
    pub fn new(reason: UnknownReason, detail: &str) -> Self {
        Self { reason, detail: Arc::from(detail) }
    }
}

/// Final outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The minion answered completely.
    Completed(Answer),
    /// No part of the request was sent to a minion.
    NotRun(NotRun),
    /// The request was sent to a minion, or may have been, and no complete answer was received.
    Unknown(Unknown),
}

impl From<NotRun> for Outcome {
    fn from(not_run: NotRun) -> Self {
        Self::NotRun(not_run)
    }
}

impl From<Unknown> for Outcome {
    fn from(unknown: Unknown) -> Self {
        Self::Unknown(unknown)
    }
}
