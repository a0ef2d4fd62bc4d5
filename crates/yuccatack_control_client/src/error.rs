//! Why a call gave no answer, and what that says about its effect.

use snafu::Snafu;

/// A failed call.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// No replica took the call.
    #[snafu(display(
        "no control replica took the call within {deadline_ms} ms, so it had no effect ({detail}); \
         check the control addresses and that a quorum runs, then send it again"
    ))]
    NotSent {
        /// The deadline of the call.
        deadline_ms: u64,
        /// What the last attempt met.
        detail: String,
    },
    /// A replica may have taken the call, but no answer came.
    #[snafu(display(
        "the answer was lost within {deadline_ms} ms, so the call may have had an effect ({detail}); \
         send it again with the same change id to get its first answer"
    ))]
    AnswerLost {
        /// The deadline of the call.
        deadline_ms: u64,
        /// What the last attempt met.
        detail: String,
    },
    /// The leader refused the call.
    #[snafu(display("the control leader refused the call ({code}): {message}"))]
    Refused {
        /// The status code.
        code: String,
        /// The leader's words.
        message: String,
    },
    /// The answer makes no sense to this version.
    #[snafu(display(
        "the answer of the control leader cannot be read ({detail}); run the same version on both \
         sides"
    ))]
    Unreadable {
        /// What is wrong.
        detail: String,
    },
}
