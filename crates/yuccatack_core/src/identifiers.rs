//! Identifiers, and counters that order changes and fence off outdated owners.

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
            /// Creates the counter from its raw value.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the raw value.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the successor, saturating at `u64::MAX`.
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
    /// Version of a single record; increases with each accepted change and never decreases.
    Generation,
    /// Position of a change in the total order of record changes.
    Revision,
    /// Fencing token of a job's attempt; a worker rejects commands that carry an older one.
    FencingEpoch,
    /// Random number generated once per process start or data folder. It distinguishes a process
    /// or folder from its successor under the same name.
    Incarnation,
}

impl Incarnation {
    /// Generates a random incarnation; never zero, which means "none" on the wire.
    pub fn random() -> Self {
        Self(rand::random_range(1..=u64::MAX))
    }
}

/// Idempotency key of a change, chosen by the operator; a retry with the same identifier gets the
/// original response.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ChangeId(Arc<str>);

impl ChangeId {
    /// Creates an identifier from any text; the text is not validated.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the identifier as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Unique identifier of one attempt to execute a request.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AttemptId([u8; 16]);

/// Error of converting a byte slice of the wrong length to an [`AttemptId`].
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("an attempt identifier has 16 bytes, not {length_bytes}; resend with 16"))]
pub struct ParseAttemptIdError {
    /// Length of the rejected slice.
    pub length_bytes: usize,
}

impl AttemptId {
    /// Creates an identifier from its raw bytes.
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Generates a random identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the raw bytes.
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
