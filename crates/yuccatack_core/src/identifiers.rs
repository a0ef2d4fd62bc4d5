//! Identifiers and counters that order changes and fence old holders.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

macro_rules! counter_type {
    ($($(#[$documentation:meta])+ $name:ident),* $(,)?) => {$(
        $(#[$documentation])+
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        pub struct $name(u64);

        impl $name {
            /// Wraps the raw number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The raw number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The number after this one; the largest number stays.
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )*};
}

counter_type! {
    /// The version of one record; grows with each accepted change and never goes back.
    Generation,
    /// The position of a change among all changes of records.
    Revision,
    /// The number of a job's attempt; a worker refuses commands of an older one.
    FencingEpoch,
    /// A random number that a process or data folder draws once, so that a successor under the
    /// same name is told apart.
    Incarnation,
}

impl Incarnation {
    /// Draws a new incarnation; never zero, which stands for "none" on the wire.
    pub fn random() -> Self {
        Self(rand::random_range(1..=u64::MAX))
    }
}

/// The identifier that an operator gives a change, so that a resend gets the first answer.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ChangeId(Arc<str>);

impl ChangeId {
    /// Shares `text`.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The identifier of one attempt to run a request.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AttemptId([u8; 16]);

/// Bytes that are not an attempt identifier.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("an attempt identifier has 16 bytes, not {length_bytes}; resend with 16"))]
pub struct ParseAttemptIdError {
    /// How many bytes were found.
    pub length_bytes: usize,
}

impl AttemptId {
    /// Wraps the raw bytes.
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Draws a new identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// The raw bytes.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl TryFrom<&[u8]> for AttemptId {
    type Error = ParseAttemptIdError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        let bytes =
            bytes.try_into().map_err(|_| ParseAttemptIdError { length_bytes: bytes.len() })?;
        Ok(Self(bytes))
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
