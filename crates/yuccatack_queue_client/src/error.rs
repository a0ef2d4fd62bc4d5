//! Why a call has no answer of the leader.

use snafu::Snafu;

/// A call without an answer of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// Nothing was done.
    #[snafu(display("no leader answered in time, and nothing was done; try again later"))]
    NotDone,
    /// Something may have been done.
    #[snafu(display("the answer was lost, and the call may take effect; repeat it unchanged"))]
    Unknown,
    /// The client's task has ended.
    #[snafu(display("the client has stopped; start the process again"))]
    Stopped,
}
