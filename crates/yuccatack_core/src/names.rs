//! Names of records and machines as shared immutable strings.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The longest name accepted, in bytes; names end up in file names, headers and metric labels.
pub const MAX_NAME_LENGTH_BYTES: usize = 128;

/// A text that cannot be a name.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "`{text}` is not a valid name; use 1 to 128 characters out of a-z, A-Z, 0-9, `-`, `_` and `.`"
))]
pub struct InvalidNameError {
    /// The refused text, shortened to the longest accepted length.
    pub text: String,
}

fn validate(text: &str) -> Result<(), InvalidNameError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid =
        !text.is_empty() && text.len() <= MAX_NAME_LENGTH_BYTES && text.chars().all(allowed);
    if valid {
        return Ok(());
    }
    Err(InvalidNameError { text: text.chars().take(MAX_NAME_LENGTH_BYTES).collect() })
}

macro_rules! name_type {
    ($($(#[$documentation:meta])+ $name:ident),* $(,)?) => {$(
        $(#[$documentation])+
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks `text` and shares it.
            pub fn new(text: &str) -> Result<Self, InvalidNameError> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidNameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(&text)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = InvalidNameError;

            fn try_from(text: &str) -> Result<Self, Self::Error> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, formatter)
            }
        }
    )*};
}

name_type! {
    /// A tenant of the platform.
    OrganisationName,
    /// A failure domain that holds racks.
    DataCentreName,
    /// A group of workers behind one switch; unique within its data centre.
    RackName,
    /// A platform machine that runs tasks.
    WorkerName,
    /// A backend server that answers requests.
    MinionName,
    /// A pool of minions that answer the same requests.
    ServiceName,
    /// A process of the system.
    NodeName,
    /// A job submitted by an organisation.
    JobName,
    /// A queue of the platform configuration, to which callers submit jobs.
    QueueName,
    /// The name of a record of any kind.
    RecordName,
}
