//! Checks of streamed bodies: only whole content of the right attempt is passed on.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use yuccatack_core::prelude::*;

use crate::attempts::Resolution;
use crate::outcome::{Answer, Header, NotRun, Outcome, Unknown};

/// Length and digest at the end of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyTrailer {
    /// The whole length.
    pub length_bytes: u64,
    /// The BLAKE3 digest of the whole body.
    pub digest: [u8; 32],
}

impl BodyTrailer {
    /// Seals a whole body.
    pub fn of(body: &[u8]) -> Self {
        Self { length_bytes: body.len() as u64, digest: *blake3::hash(body).as_bytes() }
    }
}

/// A stream that is not the whole content expected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum BodyCheckError {
    /// The answer is for another attempt.
    #[snafu(display(
        "the answer belongs to attempt {found}, not {expected}; open a new connection"
    ))]
    OtherAttempt {
        /// The attempt that was asked for.
        expected: AttemptId,
        /// The attempt in the answer.
        found: AttemptId,
    },
    /// The answer is for another organisation.
    #[snafu(display("the answer belongs to organisation {found}, not {expected}"))]
    OtherOrganisation {
        /// The organisation that asked.
        expected: OrganisationName,
        /// The organisation in the answer.
        found: Box<str>,
    },
    /// The body is longer than the limit.
    #[snafu(display("the body is longer than {limit_bytes} bytes; raise `body_limit_bytes`"))]
    TooLong {
        /// The limit.
        limit_bytes: u64,
    },
    /// The length differs from the sealed one.
    #[snafu(display("the body has {found_bytes} bytes instead of {expected_bytes}"))]
    WrongLength {
        /// The sealed length.
        expected_bytes: u64,
        /// The received length.
        found_bytes: u64,
    },
    /// The digest differs from the sealed one.
    #[snafu(display("the digest of the body differs from the sealed one"))]
    WrongDigest,
    /// The parts are missing or out of order.
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
    /// Collects at most `limit_bytes`.
    pub fn new(limit_bytes: u64) -> Self {
        Self { limit_bytes, buffer: BytesMut::new() }
    }

    /// Adds the next chunk.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BodyCheckError> {
        if (self.buffer.len() + chunk.len()) as u64 > self.limit_bytes {
            return Err(BodyCheckError::TooLong { limit_bytes: self.limit_bytes });
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Gives what was collected, when the end is known by other means than a seal.
    pub fn into_body(self) -> Bytes {
        self.buffer.freeze()
    }

    /// Gives the body if it is exactly what was sealed.
    pub fn finish(self, seal: &BodyTrailer) -> Result<Bytes, BodyCheckError> {
        let found_bytes = self.buffer.len() as u64;
        if found_bytes != seal.length_bytes {
            return Err(BodyCheckError::WrongLength {
                expected_bytes: seal.length_bytes,
                found_bytes,
            });
        }
        if BodyTrailer::of(&self.buffer).digest != seal.digest {
            return Err(BodyCheckError::WrongDigest);
        }
        Ok(self.buffer.freeze())
    }
}

/// The head of an answer on its way back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerHead {
    /// The attempt that it answers.
    pub attempt: AttemptId,
    /// The organisation that asked.
    pub organisation: Box<str>,
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
}

/// A part of an agent's account of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// The head of an answer.
    Head(AnswerHead),
    /// A piece of the body.
    Chunk(Bytes),
    /// The end of the answer.
    End(BodyTrailer),
    /// The attempt did not run.
    NotRun(AttemptId, NotRun),
    /// The attempt may have run.
    Unknown(AttemptId, Unknown),
    /// The attempt runs.
    Running(AttemptId),
}

/// Puts an account together and checks that it is the caller's own and whole.
#[derive(Debug)]
pub struct AnswerCollector {
    expected_attempt: AttemptId,
    expected_organisation: OrganisationName,
    head: Option<AnswerHead>,
    body: BodyCollector,
}

impl AnswerCollector {
    /// Expects the account of `attempt` of `organisation`.
    pub fn new(attempt: AttemptId, organisation: OrganisationName, limit_bytes: u64) -> Self {
        Self {
            expected_attempt: attempt,
            expected_organisation: organisation,
            head: None,
            body: BodyCollector::new(limit_bytes),
        }
    }

    /// Takes the next part, and gives the account once it is whole.
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
            AnswerPart::End(seal) => self.finish(&seal).map(Some),
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

    /// Checks the attempt of a first part.
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

    fn finish(&mut self, seal: &BodyTrailer) -> Result<Resolution, BodyCheckError> {
        let head = self.head.take().ok_or(BodyCheckError::OutOfOrder)?;
        let body = std::mem::replace(&mut self.body, BodyCollector::new(0)).finish(seal)?;
        let answer = Answer { status: head.status, headers: head.headers, body };
        Ok(Resolution::Ended(Arc::new(Outcome::Completed(answer))))
    }
}
