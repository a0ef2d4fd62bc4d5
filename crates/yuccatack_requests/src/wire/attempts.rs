//! Conversions for `agent.proto`.

use std::sync::Arc;

use bytes::Bytes;
use yuccatack_core::prelude::*;

use super::error::WireError;
use crate::answer_check::{AnswerHead, AnswerPart, BodyTrailer};
use crate::attempt::{AttemptHead, RequestContent};
use crate::attempts::Resolution;
use crate::generated::agent as wire;
use crate::outcome::{
    Answer, Header, NotRun, NotRunReason, NotRunScope, Outcome, Unknown, UnknownReason,
};

/// Size of body chunks, well below the transport's message limit of 4 MiB.
const CHUNK_LENGTH_BYTES: usize = 256 * 1024;

fn attempt_id(bytes: &[u8]) -> Result<AttemptId, WireError> {
    AttemptId::try_from(bytes).map_err(|_| WireError::new("attempt_id"))
}

fn attempt_bytes(attempt: AttemptId) -> Bytes {
    Bytes::copy_from_slice(attempt.as_bytes())
}

fn class_name(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Urgent => "urgent",
        PriorityClass::Standard => "standard",
        PriorityClass::Batch => "batch",
    }
}

/// Returns the priority class with the given name on the wire, for example `urgent`.
pub fn priority_class_from_name(name: &str) -> Result<PriorityClass, WireError> {
    let mut all = PriorityClass::ALL.into_iter();
    all.find(|class| class_name(*class) == name).ok_or(WireError::new("class"))
}

impl From<&Header> for wire::Header {
    fn from(header: &Header) -> Self {
        Self { name: header.name.as_ref().to_owned(), value: header.value.clone() }
    }
}

impl From<wire::Header> for Header {
    fn from(header: wire::Header) -> Self {
        Self { name: Arc::from(header.name), value: header.value }
    }
}

impl From<&BodyTrailer> for wire::BodyEnd {
    fn from(trailer: &BodyTrailer) -> Self {
        Self {
            length_bytes: trailer.length_bytes,
            blake3_digest: Bytes::copy_from_slice(&trailer.digest),
        }
    }
}

impl TryFrom<wire::BodyEnd> for BodyTrailer {
    type Error = WireError;

    fn try_from(end: wire::BodyEnd) -> Result<Self, Self::Error> {
        let digest =
            (*end.blake3_digest).try_into().map_err(|_| WireError::new("blake3_digest"))?;
        Ok(Self { length_bytes: end.length_bytes, digest })
    }
}

fn body_chunks(body: &Bytes) -> impl Iterator<Item = Bytes> + '_ {
    (0..body.len()).step_by(CHUNK_LENGTH_BYTES).map(|start| {
        let end = (start + CHUNK_LENGTH_BYTES).min(body.len());
        body.slice(start..end)
    })
}

/// Encodes an attempt as a head, body chunks and a trailer.
pub fn attempt_parts(head: &AttemptHead, content: &RequestContent) -> Vec<wire::AttemptPart> {
    let wire_head = wire::AttemptHead {
        attempt_id: attempt_bytes(head.attempt),
        agent_incarnation: head.incarnation.get(),
        organisation: content.organisation.to_string(),
        service: content.service.to_string(),
        class: class_name(content.class).to_owned(),
        method: content.method.as_ref().to_owned(),
        path: content.path.as_ref().to_owned(),
        headers: content.headers.iter().map(wire::Header::from).collect(),
        body_length_bytes: content.body.len() as u64,
        remaining_deadline_ms: head.remaining_deadline.get(),
        idempotent: content.idempotent,
    };
    let mut parts = vec![wire::attempt_part::Part::Head(wire_head)];
    parts.extend(body_chunks(&content.body).map(wire::attempt_part::Part::Chunk));
    parts.push(wire::attempt_part::Part::End((&BodyTrailer::of(&content.body)).into()));
    parts.into_iter().map(|part| wire::AttemptPart { part: Some(part) }).collect()
}

/// Decodes the head of an attempt. The body of the returned content is empty until its chunks
/// arrive.
pub fn decode_attempt_head(
    head: wire::AttemptHead,
) -> Result<(AttemptHead, RequestContent), WireError> {
    let attempt = AttemptHead {
        attempt: attempt_id(&head.attempt_id)?,
        incarnation: Incarnation::new(head.agent_incarnation),
        remaining_deadline: DurationMs::new(head.remaining_deadline_ms),
    };
    let content = RequestContent {
        organisation: OrganisationName::new(&head.organisation)
            .map_err(|_| WireError::new("organisation"))?,
        service: ServiceName::new(&head.service).map_err(|_| WireError::new("service"))?,
        class: priority_class_from_name(&head.class)?,
        method: Arc::from(head.method),
        path: Arc::from(head.path),
        headers: head.headers.into_iter().map(Header::from).collect(),
        idempotent: head.idempotent,
        body: Bytes::new(),
    };
    Ok((attempt, content))
}

fn answer_part(part: wire::answer_part::Part) -> wire::AnswerPart {
    wire::AnswerPart { part: Some(part) }
}

fn answer_parts(
    attempt: AttemptId,
    organisation: &OrganisationName,
    answer: &Answer,
) -> Vec<wire::AnswerPart> {
    let head = wire::AnswerHead {
        attempt_id: attempt_bytes(attempt),
        organisation: organisation.to_string(),
        status: answer.status.into(),
        headers: answer.headers.iter().map(wire::Header::from).collect(),
    };
    let mut parts = vec![answer_part(wire::answer_part::Part::Head(head))];
    parts.extend(
        body_chunks(&answer.body).map(|chunk| answer_part(wire::answer_part::Part::Chunk(chunk))),
    );
    let end = (&BodyTrailer::of(&answer.body)).into();
    parts.push(answer_part(wire::answer_part::Part::End(end)));
    parts
}

fn not_run_part(attempt: AttemptId, not_run: &NotRun) -> wire::AnswerPart {
    answer_part(wire::answer_part::Part::NotRun(wire::NotRun {
        attempt_id: attempt_bytes(attempt),
        reason: wire::NotRunReason::from(not_run.reason).into(),
        retry_after_ms: not_run.retry_after_ms.unwrap_or(0),
        detail: not_run.detail.as_ref().to_owned(),
    }))
}

fn unknown_part(attempt: AttemptId, unknown: &Unknown) -> wire::AnswerPart {
    answer_part(wire::answer_part::Part::Unknown(wire::Unknown {
        attempt_id: attempt_bytes(attempt),
        detail: unknown.detail.as_ref().to_owned(),
        reason: unknown.reason.as_str().to_owned(),
    }))
}

/// Encodes the resolution of an attempt as a stream of parts.
pub fn resolution_parts(
    attempt: AttemptId,
    organisation: &OrganisationName,
    resolution: &Resolution,
) -> Vec<wire::AnswerPart> {
    match resolution {
        Resolution::NotRun(not_run) => vec![not_run_part(attempt, not_run)],
        Resolution::Unknown(unknown) => vec![unknown_part(attempt, unknown)],
        Resolution::Running => {
            let running = wire::Running { attempt_id: attempt_bytes(attempt) };
            vec![answer_part(wire::answer_part::Part::Running(running))]
        }
        Resolution::Ended(outcome) => match outcome.as_ref() {
            Outcome::Completed(answer) => answer_parts(attempt, organisation, answer),
            Outcome::NotRun(not_run) => vec![not_run_part(attempt, not_run)],
            Outcome::Unknown(unknown) => vec![unknown_part(attempt, unknown)],
        },
    }
}

impl TryFrom<wire::AnswerPart> for AnswerPart {
    type Error = WireError;

    fn try_from(part: wire::AnswerPart) -> Result<Self, Self::Error> {
        match part.part.ok_or(WireError::new("part"))? {
            wire::answer_part::Part::Head(head) => Ok(Self::Head(head.try_into()?)),
            wire::answer_part::Part::Chunk(chunk) => Ok(Self::Chunk(chunk)),
            wire::answer_part::Part::End(end) => Ok(Self::End(end.try_into()?)),
            wire::answer_part::Part::NotRun(not_run) => {
                let attempt = attempt_id(&not_run.attempt_id)?;
                Ok(Self::NotRun(attempt, not_run.try_into()?))
            }
            wire::answer_part::Part::Unknown(unknown) => {
                Ok(Self::Unknown(attempt_id(&unknown.attempt_id)?, unknown.into()))
            }
            wire::answer_part::Part::Running(running) => {
                Ok(Self::Running(attempt_id(&running.attempt_id)?))
            }
        }
    }
}

impl TryFrom<wire::AnswerHead> for AnswerHead {
    type Error = WireError;

    fn try_from(head: wire::AnswerHead) -> Result<Self, Self::Error> {
        Ok(Self {
            attempt: attempt_id(&head.attempt_id)?,
            organisation: head.organisation.into_boxed_str(),
            status: u16::try_from(head.status).map_err(|_| WireError::new("status"))?,
            headers: head.headers.into_iter().map(Header::from).collect(),
        })
    }
}

impl TryFrom<wire::NotRun> for NotRun {
    type Error = WireError;

    fn try_from(not_run: wire::NotRun) -> Result<Self, Self::Error> {
        let reason = wire::NotRunReason::try_from(not_run.reason)
            .map_err(|_| WireError::new("reason"))?
            .try_into()?;
        Ok(Self {
            reason,
            retry_after_ms: Some(not_run.retry_after_ms),
            scope: NotRunScope::Sending,
            detail: Arc::from(not_run.detail),
        })
    }
}

impl From<wire::Unknown> for Unknown {
    fn from(unknown: wire::Unknown) -> Self {
        // A reason added by a newer version still means that the attempt may have run.
        let reason = UnknownReason::from_name(&unknown.reason);
        Self::new(reason.unwrap_or(UnknownReason::AnswerForgotten), &unknown.detail)
    }
}

impl From<NotRunReason> for wire::NotRunReason {
    fn from(reason: NotRunReason) -> Self {
        match reason {
            NotRunReason::WrongIncarnation => Self::WrongIncarnation,
            NotRunReason::NoSlot | NotRunReason::QueueFull => Self::NoSlot,
            NotRunReason::Leaving | NotRunReason::ShuttingDown => Self::Leaving,
            NotRunReason::MinionUnreachable => Self::MinionUnreachable,
            NotRunReason::Deadline => Self::Deadline,
            NotRunReason::Barred => Self::Barred,
            NotRunReason::StaleView => Self::StaleView,
            NotRunReason::Invalid
            | NotRunReason::ReceiveTimeout
            | NotRunReason::TooLarge
            | NotRunReason::RateLimited
            | NotRunReason::ConcurrencyLimited
            | NotRunReason::NoMinion
            | NotRunReason::AgentUnreachable
            | NotRunReason::KeyTooOld
            | NotRunReason::KeyReused
            | NotRunReason::ClaimsUnavailable => Self::Invalid,
        }
    }
}

impl TryFrom<wire::NotRunReason> for NotRunReason {
    type Error = WireError;

    fn try_from(reason: wire::NotRunReason) -> Result<Self, Self::Error> {
        match reason {
            wire::NotRunReason::WrongIncarnation => Ok(Self::WrongIncarnation),
            wire::NotRunReason::NoSlot => Ok(Self::NoSlot),
            wire::NotRunReason::Leaving => Ok(Self::Leaving),
            wire::NotRunReason::MinionUnreachable => Ok(Self::MinionUnreachable),
            wire::NotRunReason::Deadline => Ok(Self::Deadline),
            wire::NotRunReason::Barred => Ok(Self::Barred),
            wire::NotRunReason::StaleView => Ok(Self::StaleView),
            wire::NotRunReason::Invalid => Ok(Self::Invalid),
            // Neither proves that the attempt did not run: for a duplicate the agent returns the
            // resolution of the first copy instead, and an unspecified reason proves nothing.
            wire::NotRunReason::Duplicate | wire::NotRunReason::Unspecified => {
                Err(WireError::new("reason"))
            }
        }
    }
}
