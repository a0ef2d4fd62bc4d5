//! Idempotency keys of non-idempotent requests.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::prelude::*;

/// Maximum length of a key, bounded because keys stay in replicated memory for a day by default.
pub const MAX_KEY_LENGTH_BYTES: usize = 128;

/// Error for a text that is not a valid idempotency key.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "a key is `<unix time in ms>-<text>` of at most 128 visible ASCII characters, for example \
     `1767225600000-order-7`"
))]
pub struct InvalidIdempotencyKeyError;

/// Idempotency key chosen by the caller, of the form `<unix time in ms>-<text>`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey {
    issued_at: TimestampMs,
    text: Arc<str>,
}

impl IdempotencyKey {
    /// Parses and validates `text`.
    pub fn new(text: &str) -> Result<Self, InvalidIdempotencyKeyError> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.len() > MAX_KEY_LENGTH_BYTES || !visible {
            return Err(InvalidIdempotencyKeyError);
        }
        let (time, rest) = text.split_once('-').ok_or(InvalidIdempotencyKeyError)?;
        if rest.is_empty() || !time.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(InvalidIdempotencyKeyError);
        }
        let issued_at = time.parse().map_err(|_| InvalidIdempotencyKeyError)?;
        Ok(Self { issued_at: TimestampMs::new(issued_at), text: Arc::from(text) })
    }

    /// Returns the time at which the caller created the key, as stated in the key itself.
    pub fn issued_at(&self) -> TimestampMs {
        self.issued_at
    }

    /// Returns the complete key, including its time.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = InvalidIdempotencyKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::new(&text)
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.text.as_ref().to_owned()
    }
}
