//! Errors of claim commands sent to the control leader.

use snafu::Snafu;

/// Failure of a claim or a settlement to return a confirmed result.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ClaimCallError {
    /// The command provably changed nothing.
    #[snafu(display("the control leader cannot be reached; try again after {retry_after_ms} ms"))]
    Unavailable {
        /// Suggested delay before the next call.
        retry_after_ms: u64,
    },
    /// The command may or may not have been applied.
    #[snafu(display(
        "the connection to the control leader was lost during the call; send the same command again"
    ))]
    Unconfirmed,
}
