//! Reading of a body within the limits.

use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::budget::Reservation;
use crate::connection::Connection;
use crate::guard::Guard;
use crate::limits::{SMALL_BODY_BYTES, ServerLimits};
use crate::metrics::Refusal;
use crate::shape::DocumentShape;
use crate::victims::Phase;

/// Capacity that is reserved for a body of unknown length.
const FIRST_CAPACITY_BYTES: usize = 4 * 1024;

/// Time limit for a body. A document of 4 MiB takes 22 s on the slowest link.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a client may send no byte of a body.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time from which the minimum rate holds.
const RATE_GRACE: Duration = Duration::from_secs(5);

/// Minimum rate of a body, in bytes a second; a tenth of the slowest link of an entry.
const MIN_RATE_BYTES_PER_S: f64 = 16_384.0;

/// Body of a request that has not been read.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    connection: Arc<Connection>,
    guard: Guard,
    limits: ServerLimits,
}

/// Complete body. The memory for it and for its decoded form is reserved until it is dropped.
#[derive(Debug)]
pub struct ReceivedBody {
    bytes: Vec<u8>,
    _reservations: [Option<Reservation>; 2],
}

impl Deref for ReceivedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<ReceivedBody> for Bytes {
    /// Converts without a copy. The memory stays reserved until the last clone is dropped.
    fn from(body: ReceivedBody) -> Self {
        Self::from_owner(body)
    }
}

impl AsRef<[u8]> for ReceivedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl RequestBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Arc<Connection>,
        guard: Guard,
        limits: ServerLimits,
    ) -> Self {
        Self { incoming, connection, guard, limits }
    }

    /// Reads the whole body, or returns the reason for which it is refused.
    ///
    /// The handler must keep the result for as long as it keeps what it has decoded from it.
    pub async fn read(mut self) -> Result<ReceivedBody, Refusal> {
        self.connection.enter(Phase::Body);
        let result = self.collect().await;
        self.connection.enter(Phase::Handling);
        let result = match result {
            Ok((bytes, reservation)) => self.reserve_decoded(bytes, reservation).await,
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = &result {
            self.guard.count(*refusal);
            if *refusal == Refusal::NoMemory {
                self.connection.set_may_retry();
            }
        }
        result
    }

    /// Reads the body into one buffer whose capacity is reserved before it is allocated.
    async fn collect(&mut self) -> Result<(Vec<u8>, Option<Reservation>), Refusal> {
        let max_length = self.limits.max_body_bytes;
        let announced = self.incoming.size_hint().exact();
        let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if announced.is_some_and(|length| length > max_length) {
            return Err(Refusal::BodyTooLarge);
        }
        let max_capacity = announced.unwrap_or(max_length);
        let (mut bytes, mut reservation) = (Vec::new(), None);
        if max_capacity > 0 && !self.incoming.is_end_stream() {
            let capacity = announced.unwrap_or(FIRST_CAPACITY_BYTES).min(SMALL_BODY_BYTES);
            reservation = Some(self.guard.reserve(capacity, &self.connection).await?);
            bytes.reserve_exact(capacity);
        }
        let began_at = Instant::now();
        let mut progress_at = began_at;
        loop {
            let rate_time = Duration::from_secs_f64(bytes.len() as f64 / MIN_RATE_BYTES_PER_S);
            let deadline = (progress_at + STALL_TIMEOUT)
                .min(began_at + RATE_GRACE + rate_time)
                .min(began_at + BODY_TIMEOUT);
            let frame = timeout_at(deadline, self.incoming.frame());
            let frame = match frame.await.map_err(|_| Refusal::BodySlow)? {
                Some(frame) => frame.map_err(|_| Refusal::BodyBroken)?,
                None => return Ok((bytes, reservation)),
            };
            let Ok(chunk) = frame.into_data() else { continue };
            progress_at = Instant::now();
            let length = bytes.len() + chunk.len();
            if length > max_length {
                return Err(Refusal::BodyTooLarge);
            }
            if length > bytes.capacity() {
                let capacity = length.max(bytes.capacity() * 2).min(max_capacity.max(length));
                let larger = self.guard.reserve(capacity, &self.connection).await?;
                let mut grown = Vec::with_capacity(capacity);
                grown.extend_from_slice(&bytes);
                bytes = grown;
                reservation = Some(larger);
            }
            bytes.extend_from_slice(&chunk);
        }
    }

    /// Checks the shape of the body, and reserves the memory of its decoded form.
    async fn reserve_decoded(
        &self,
        bytes: Vec<u8>,
        reservation: Option<Reservation>,
    ) -> Result<ReceivedBody, Refusal> {
        let shape = DocumentShape::new(&bytes);
        let limits = &self.limits;
        if shape.field_count > limits.max_field_count || shape.depth > limits.max_depth {
            return Err(Refusal::TooManyFields);
        }
        let decoded_bytes = bytes.len()
            + shape.object_count * limits.object_bytes
            + shape.field_count * limits.field_bytes;
        let decoded = match decoded_bytes {
            0 => None,
            _ => Some(self.guard.reserve(decoded_bytes, &self.connection).await?),
        };
        Ok(ReceivedBody { bytes, _reservations: [reservation, decoded] })
    }
}
