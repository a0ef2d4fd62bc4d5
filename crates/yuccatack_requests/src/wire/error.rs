//! Errors of message decoding.

use snafu::Snafu;

/// Error for a message with a missing or malformed field.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the field `{field}` is missing or malformed; run the same version everywhere"))]
pub struct WireError {
    /// Name of the field in the `.proto` file.
    pub field: &'static str,
}

impl WireError {
    pub(crate) const fn new(field: &'static str) -> Self {
        Self { field }
    }
}
