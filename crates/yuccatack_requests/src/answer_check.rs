//! Checks of streamed bodies: only whole content of the right attempt is passed on.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use yuccatack_core::prelude::*;

use crate::outcome::{Answer, Header};

/// Length and digest at the end of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodySeal {
    /// The whole length.
    pub length_bytes: u64,
    /// The BLAKE3 digest of the whole body.
    pub digest: [u8; 32],
}

impl BodySeal {
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
    pub fn finish(self, seal: &BodySeal) -> Result<Bytes, BodyCheckError> {
        let found_bytes = self.buffer.len() as u64;
        if found_bytes != seal.length_bytes {
            return Err(BodyCheckError::WrongLength {
                expected_bytes: seal.length_bytes,
                found_bytes,
            });
        }
        if BodySeal::of(&self.buffer).digest != seal.digest {
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

/// Puts an answer together and checks that it is the caller's own and whole.
#[derive(Debug)]
pub struct AnswerCollector {
    expected_attempt: AttemptId,
    expected_organisation: OrganisationName,
    head: Option<AnswerHead>,
    body: BodyCollector,
}

impl AnswerCollector {
    /// Expects the answer to `attempt` of `organisation`.
    pub fn new(attempt: AttemptId, organisation: OrganisationName, limit_bytes: u64) -> Self {
        Self {
            expected_attempt: attempt,
            expected_organisation: organisation,
            head: None,
            body: BodyCollector::new(limit_bytes),
        }
    }

    /// Whether a head was taken.
    pub fn has_head(&self) -> bool {
        self.head.is_some()
    }

    /// Takes the head.
    pub fn head(&mut self, head: AnswerHead) -> Result<(), BodyCheckError> {
        if self.head.is_some() {
            return Err(BodyCheckError::OutOfOrder);
        }
        if head.attempt != self.expected_attempt {
            return Err(BodyCheckError::OtherAttempt {
                expected: self.expected_attempt,
                found: head.attempt,
            });
        }
        if *head.organisation != *self.expected_organisation.as_str() {
            return Err(BodyCheckError::OtherOrganisation {
                expected: self.expected_organisation.clone(),
                found: head.organisation,
            });
        }
        self.head = Some(head);
        Ok(())
    }

    /// Takes the next chunk.
    pub fn chunk(&mut self, chunk: &[u8]) -> Result<(), BodyCheckError> {
        if self.head.is_none() {
            return Err(BodyCheckError::OutOfOrder);
        }
        self.body.push(chunk)
    }

    /// Gives the whole answer.
    pub fn finish(self, seal: &BodySeal) -> Result<Answer, BodyCheckError> {
        let head = self.head.ok_or(BodyCheckError::OutOfOrder)?;
        let body = self.body.finish(seal)?;
        Ok(Answer { status: head.status, headers: head.headers, body })
    }
}
