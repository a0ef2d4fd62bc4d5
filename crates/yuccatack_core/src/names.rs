//! Validated names of records and machines, stored as shared immutable strings.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a name. Names are used in file names, HTTP headers and metric labels.
pub const MAX_NAME_LENGTH_BYTES: usize = 128;

/// Error of validating a name: the text is empty, too long or has a character that is not allowed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "`{text}` is not a valid name; use 1 to 128 characters out of a-z, A-Z, 0-9, `-`, `_` and `.`"
))]
pub struct InvalidNameError {
    /// Rejected text, truncated to the maximum length.
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
            /// Validates `text` and creates the name from it.
            pub fn new(text: &str) -> Result<Self, InvalidNameError> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string slice.
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
    /// Name of an organisation, which is a tenant of the platform.
    OrganisationName,
    /// Name of a data centre, which is a failure domain that contains racks.
    DataCentreName,
    /// Name of a group of workers behind one switch; unique within its data centre.
    RackName,
    /// Name of a platform machine that runs tasks.
    WorkerName,
    /// Name of a backend server that answers requests.
    MinionName,
    /// Name of a pool of minions that serve the same requests.
    ServiceName,
    /// Name of a process of the system, such as a control replica, an entry or an agent.
    NodeName,
    /// Name of a job submitted by an organisation.
    JobName,
    /// Name of a queue in the platform configuration, to which callers submit jobs.
    QueueName,
    /// Name of a record of any kind.
    RecordName,
}
