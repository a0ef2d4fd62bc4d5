//! Keys of non-idempotent requests.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::prelude::*;

/// The longest key accepted; keys are kept in replicated memory for a day.
pub const MAX_KEY_LENGTH_BYTES: usize = 128;

/// A text that is no key.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "a key is `<unix time in ms>-<text>` of at most 128 visible ASCII characters, for example \
     `1767225600000-order-7`"
))]
pub struct InvalidIdempotencyKeyError;

/// A caller's key, `<unix time in ms>-<text>`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey {
    issued_at: TimestampMs,
    text: Arc<str>,
}

impl IdempotencyKey {
    /// Checks the form of `text` and shares it.
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

    /// When the caller made the key.
    pub fn issued_at(&self) -> TimestampMs {
        self.issued_at
    }

    /// The whole key.
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
