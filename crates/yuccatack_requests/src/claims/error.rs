//! Errors of calls to the control leader about claims.

use snafu::Snafu;

/// Why a claim or a settlement has no confirmed result.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ClaimCallError {
    /// The command provably changed nothing.
    #[snafu(display("the control leader cannot be reached; try again after {retry_after_ms} ms"))]
    Unavailable {
        /// When it may work again.
        retry_after_ms: u64,
    },
    /// The command may or may not have been applied.
    #[snafu(display("the control leader was lost during the call; send the same command again"))]
    Unconfirmed,
}
