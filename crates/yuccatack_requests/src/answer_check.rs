//! Validation of streamed bodies and answers: only complete content of the expected attempt is
//! passed on.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use yuccatack_core::prelude::*;

use crate::attempts::Resolution;
use crate::outcome::{Answer, Header, NotRun, Outcome, Unknown};

/// Length and digest that follow a body, so that truncation and corruption are detected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyTrailer {
    /// Length of the complete body.
    pub length_bytes: u64,
    /// BLAKE3 digest of the complete body.
    pub digest: [u8; 32],
}

impl BodyTrailer {
    /// Computes the trailer of a complete body.
    pub fn of(body: &[u8]) -> Self {
        Self { length_bytes: body.len() as u64, digest: *blake3::hash(body).as_bytes() }
    }
}

/// Failed validation of a streamed body or answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum BodyCheckError {
    /// The answer belongs to another attempt, for example because streams were mixed up.
    #[snafu(display(
        "the answer belongs to attempt {found}, not {expected}; open a new connection"
    ))]
    OtherAttempt {
        /// Attempt that was executed or resolved.
        expected: AttemptId,
        /// Attempt named in the answer.
        found: AttemptId,
    },
    /// The answer belongs to another organisation and must not reach this caller.
    #[snafu(display("the answer belongs to organisation {found}, not {expected}"))]
    OtherOrganisation {
        /// Organisation that sent the request.
        expected: OrganisationName,
        /// Organisation named in the answer.
        found: Box<str>,
    },
    /// The body exceeds the configured limit.
    #[snafu(display("the body is longer than {limit_bytes} bytes; raise `body_limit_bytes`"))]
    TooLong {
        /// Limit from the setting `body_limit_bytes`.
        limit_bytes: u64,
    },
    /// The length differs from the one in the trailer.
    #[snafu(display("the body has {found_bytes} bytes instead of {expected_bytes}"))]
    WrongLength {
        /// Length stated in the trailer.
        expected_bytes: u64,
        /// Number of bytes received.
        found_bytes: u64,
    },
    /// The digest differs from the one in the trailer.
    #[snafu(display("the digest of the body differs from the sealed one"))]
    WrongDigest,
    /// A part is missing or arrived out of order.
    #[snafu(display("the parts of the body are out of order or missing"))]
    OutOfOrder,
}

/// Collects the chunks of one body up to a limit.
#[derive(Debug)]
pub struct BodyCollector {
    limit_bytes: u64,
    buffer: BytesMut,
}

impl BodyCollector {
    /// Creates a collector that accepts at most `limit_bytes`.
    pub fn new(limit_bytes: u64) -> Self {
        Self { limit_bytes, buffer: BytesMut::new() }
    }

    /// Appends the next chunk, or fails if the body would exceed the limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BodyCheckError> {
        if (self.buffer.len() + chunk.len()) as u64 > self.limit_bytes {
            return Err(BodyCheckError::TooLong { limit_bytes: self.limit_bytes });
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the collected bytes, for bodies whose end is not marked by a trailer.
    pub fn into_body(self) -> Bytes {
        self.buffer.freeze()
    }

    /// Returns the body if its length and digest match the trailer.
    pub fn finish(self, trailer: &BodyTrailer) -> Result<Bytes, BodyCheckError> {
        let found_bytes = self.buffer.len() as u64;
        if found_bytes != trailer.length_bytes {
            return Err(BodyCheckError::WrongLength {
                expected_bytes: trailer.length_bytes,
                found_bytes,
            });
        }
        if BodyTrailer::of(&self.buffer).digest != trailer.digest {
            return Err(BodyCheckError::WrongDigest);
        }
        Ok(self.buffer.freeze())
    }
}

/// First part of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerHead {
    /// Attempt that the answer belongs to.
    pub attempt: AttemptId,
    /// Organisation that sent the request.
    pub organisation: Box<str>,
    /// HTTP status code of the minion's response.
    pub status: u16,
    /// Headers of the minion's response.
    pub headers: Vec<Header>,
}

/// Part of the stream in which an agent reports the resolution of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// First part of an answer; body chunks and a trailer follow.
    Head(AnswerHead),
    /// Next section of the body.
    Chunk(Bytes),
    /// Last part of an answer.
    End(BodyTrailer),
    /// Only part if the attempt did not run.
    NotRun(AttemptId, NotRun),
    /// Only part if the attempt may have run.
    Unknown(AttemptId, Unknown),
    /// Only part if the attempt is still running.
    Running(AttemptId),
}

/// Assembles a resolution from its parts and checks that it is complete and belongs to the caller.
#[derive(Debug)]
pub struct AnswerCollector {
    expected_attempt: AttemptId,
    expected_organisation: OrganisationName,
    head: Option<AnswerHead>,
    body: BodyCollector,
}

impl AnswerCollector {
    /// Creates a collector for the resolution of `attempt`, sent by `organisation`.
    pub fn new(attempt: AttemptId, organisation: OrganisationName, limit_bytes: u64) -> Self {
        Self {
            expected_attempt: attempt,
            expected_organisation: organisation,
            head: None,
            body: BodyCollector::new(limit_bytes),
        }
    }

    /// Adds the next part; returns the resolution once it is complete.
    pub fn push(&mut self, part: AnswerPart) -> Result<Option<Resolution>, BodyCheckError> {
        match part {
            AnswerPart::Head(head) => {
                self.check_attempt(head.attempt)?;
                self.check_organisation(&head.organisation)?;
                self.head = Some(head);
                Ok(None)
            }
            AnswerPart::Chunk(chunk) => {
                snafu::ensure!(self.head.is_some(), OutOfOrderSnafu);
                self.body.push(&chunk)?;
                Ok(None)
            }
            AnswerPart::End(trailer) => self.finish(&trailer).map(Some),
            AnswerPart::NotRun(attempt, not_run) => {
                self.check_attempt(attempt)?;
                Ok(Some(Resolution::NotRun(not_run)))
            }
            AnswerPart::Unknown(attempt, unknown) => {
                self.check_attempt(attempt)?;
                Ok(Some(Resolution::Unknown(unknown)))
            }
            AnswerPart::Running(attempt) => {
                self.check_attempt(attempt)?;
                Ok(Some(Resolution::Running))
            }
        }
    }

    /// Checks that a first part names the expected attempt and that no head came before.
    fn check_attempt(&self, found: AttemptId) -> Result<(), BodyCheckError> {
        snafu::ensure!(self.head.is_none(), OutOfOrderSnafu);
        let expected = self.expected_attempt;
        snafu::ensure!(found == expected, OtherAttemptSnafu { expected, found });
        Ok(())
    }

    fn check_organisation(&self, found: &str) -> Result<(), BodyCheckError> {
        let expected = &self.expected_organisation;
        snafu::ensure!(
            found == expected.as_str(),
            OtherOrganisationSnafu { expected: expected.clone(), found }
        );
        Ok(())
    }

    fn finish(&mut self, trailer: &BodyTrailer) -> Result<Resolution, BodyCheckError> {
        let head = self.head.take().ok_or(BodyCheckError::OutOfOrder)?;
        let body = std::mem::replace(&mut self.body, BodyCollector::new(0)).finish(trailer)?;
        let answer = Answer { status: head.status, headers: head.headers, body };
        Ok(Resolution::Ended(Arc::new(Outcome::Completed(answer))))
    }
}
