//! Errors of calls to the leader.

use snafu::Snafu;

/// Failure of a call to get a response of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// No leader responded in time, and the call has not taken effect.
    #[snafu(display("no leader responded in time, and the call had no effect; try again later"))]
    NotDone,
    /// The response was lost, and the call may have taken effect or may do so later.
    #[snafu(display("the response was lost, and the call may take effect; repeat it unchanged"))]
    Unknown,
    /// The directory task of the client has ended.
    #[snafu(display("the client has stopped; start the process again"))]
    Stopped,
}
