//! Errors of calls to the control leader, by the effect that the call may have had.

use snafu::Snafu;

/// Error of a call to the control leader.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The call had no effect: no replica executed it, or it only reads and its response was lost.
    #[snafu(display(
        "no control replica took the call within {deadline_ms} ms, so it had no effect ({detail}); \
         check the control addresses and that a quorum runs, then send it again"
    ))]
    NotSent {
        /// Maximum duration of the call.
        deadline_ms: u64,
        /// Failure of the last attempt, with the address of the replica.
        detail: String,
    },
    /// A replica may have executed the call, but its response was lost.
    #[snafu(display(
        "the answer was lost within {deadline_ms} ms, so the call may have had an effect \
         ({detail}); send it again with the same change id to get its first answer"
    ))]
    AnswerLost {
        /// Maximum duration of the call.
        deadline_ms: u64,
        /// Failure of the last attempt, with the address of the replica.
        detail: String,
    },
    /// The leader refused the call, for example because its content is invalid.
    #[snafu(display("the control leader refused the call ({code}): {message}"))]
    Refused {
        /// Description of the gRPC status code.
        code: String,
        /// Message of the leader.
        message: String,
    },
    /// The response cannot be decoded by this version.
    #[snafu(display(
        "the answer of the control leader cannot be read ({detail}); run the same version on both \
         sides"
    ))]
    Unreadable {
        /// Error of the decoder.
        detail: String,
    },
}

impl ControlError {
    /// Converts the error of a call that only reads, which has no effect even if its response is
    /// lost.
    pub(crate) fn into_read_error(self) -> Self {
        match self {
            Self::AnswerLost { deadline_ms, detail } => Self::NotSent { deadline_ms, detail },
            other => other,
        }
    }
}
