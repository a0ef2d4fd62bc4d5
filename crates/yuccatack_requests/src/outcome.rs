//! What became of a request.

use std::sync::Arc;

use bytes::Bytes;

/// A header of a request or an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The name, in lower case.
    pub name: Arc<str>,
    /// The value, not necessarily text.
    pub value: Bytes,
}

/// A minion's whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// About how much memory the answer occupies.
    pub fn memory_bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        (headers + self.body.len()) as u64
    }
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum NotRunReason {
    /// The request is malformed or lacks a header.
    Invalid,
    /// The request was not received whole within the limit.
    ReceiveTimeout,
    /// The body or the headers are too large.
    TooLarge,
    /// The organisation sends more requests a second than it may.
    RateLimited,
    /// The organisation has too many requests in flight.
    ConcurrencyLimited,
    /// The queue is full.
    QueueFull,
    /// The deadline passed, or would have passed, before a minion got the request.
    Deadline,
    /// No minion of the service takes new work.
    NoMinion,
    /// The minion runs as many requests as it may.
    NoSlot,
    /// The minion leaves.
    Leaving,
    /// The agent could not connect to the minion.
    MinionUnreachable,
    /// The entry could not connect to the agent.
    AgentUnreachable,
    /// The agent has restarted since the attempt was addressed.
    WrongIncarnation,
    /// The attempt was resolved as never received, so it may not run any more.
    Barred,
    /// The node has had no confirmed configuration for too long.
    StaleView,
    /// The key is older than claims are kept.
    KeyTooOld,
    /// The key was used for other content.
    KeyReused,
    /// The replicated claims are full or out of reach.
    ClaimsUnavailable,
    /// The entry shuts down.
    ShuttingDown,
}

impl NotRunReason {
    /// The stable word in headers, logs and metrics.
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

/// What a refusal speaks of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunScope {
    /// This sending. An earlier sending with the same key keeps its own outcome, because the
    /// refusal came before the claims were asked.
    Sending,
    /// This sending and every earlier one with the same key.
    Key,
}

impl NotRunScope {
    /// The stable word in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Key => "key",
        }
    }
}

/// The request provably did not run, not even partly.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRun {
    /// The reason.
    pub reason: NotRunReason,
    /// When the caller may try again; `None` when trying again cannot help.
    pub retry_after_ms: Option<u64>,
    /// What the refusal speaks of.
    pub scope: NotRunScope,
    /// A sentence for people.
    pub detail: Arc<str>,
}

impl NotRun {
    /// A refusal that the caller may repeat after `retry_after_ms`.
    pub fn retryable(reason: NotRunReason, retry_after_ms: u64, detail: &str) -> Self {
        let retry_after_ms = Some(retry_after_ms);
        Self { reason, retry_after_ms, scope: NotRunScope::Sending, detail: Arc::from(detail) }
    }

    /// A refusal that stays, however often the caller tries.
    pub fn permanent(reason: NotRunReason, detail: &str) -> Self {
        let scope = NotRunScope::Sending;
        Self { reason, retry_after_ms: None, scope, detail: Arc::from(detail) }
    }
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UnknownReason {
    /// The deadline passed while an attempt was with an agent.
    Deadline,
    /// The connection to the minion broke after the request was sent.
    MinionConnection,
    /// The minion's answer was truncated, too large or not valid.
    InvalidAnswer,
    /// The agent that ran the attempt has restarted.
    AgentRestarted,
    /// The agent ran the attempt and no longer remembers the answer.
    AnswerForgotten,
    /// The process ended before the answer came.
    ShutDown,
}

impl UnknownReason {
    /// The stable word in headers, logs and metrics.
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

    /// The reason that [`as_str`](Self::as_str) names.
    pub fn from_word(word: &str) -> Option<Self> {
        let all = [
            Self::Deadline,
            Self::MinionConnection,
            Self::InvalidAnswer,
            Self::AgentRestarted,
            Self::AnswerForgotten,
            Self::ShutDown,
        ];
        all.into_iter().find(|reason| reason.as_str() == word)
    }
}

/// The request may or may not have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unknown {
    /// The reason.
    pub reason: UnknownReason,
    /// A sentence for people.
    pub detail: Arc<str>,
}

impl Unknown {
    /// Builds the outcome.
    pub fn new(reason: UnknownReason, detail: &str) -> Self {
        Self { reason, detail: Arc::from(detail) }
    }
}

/// What became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The minion answered, and this is its whole answer.
    Completed(Answer),
    /// Nothing was handed to a minion.
    NotRun(NotRun),
    /// Something was handed to a minion, or may have been, and no whole answer came back.
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
