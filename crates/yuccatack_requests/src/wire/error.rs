//! Errors of decoding.

use snafu::Snafu;

/// A message that does not decode.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the field `{field}` is missing or malformed; run the same version everywhere"))]
pub struct WireError {
    /// The field.
    pub field: &'static str,
}

impl WireError {
    pub(crate) const fn new(field: &'static str) -> Self {
        Self { field }
    }
}
