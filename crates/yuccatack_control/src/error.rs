//! Why the control process cannot start or answer.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why the control process stopped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// An address is taken or not on this machine.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the port or change `{setting}` in the settings"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The key of the setting.
        setting: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// The replicated log did not start.
    #[snafu(display("the replicated log did not start: {source}"))]
    Replication {
        /// Why.
        source: yuccatack_replication::StartError,
    },
    /// The metrics are not served.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: yuccatack_telemetry::MetricsServerError,
    },
    /// The control actor did not start.
    #[snafu(display("the control actor did not start: {source}; start the process again"))]
    Actor {
        /// Why.
        source: ractor::SpawnErr,
    },
    /// A server task failed.
    #[snafu(display("the server for `{setting}` failed: {message}; start the process again"))]
    Server {
        /// The key of the setting that holds its address.
        setting: &'static str,
        /// Why.
        message: String,
    },
    /// The replicated log stopped while the process ran.
    #[snafu(display(
        "the replicated log stopped; the log file or an earlier line says why and what to do"
    ))]
    LogStopped,
    /// The drain limit passed or a second signal came.
    #[snafu(display("stopped before the drain was complete; {waiting_count} calls were waiting"))]
    Aborted {
        /// The calls that got no answer.
        waiting_count: usize,
    },
}

/// Why a replica cannot answer a call.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ControlFailure {
    /// Another replica leads.
    #[snafu(display("this replica does not lead; ask the leader"))]
    NotLeader {
        /// The leader's address, if known.
        leader_address: Option<SocketAddr>,
    },
    /// Leadership was lost while the command was on its way.
    #[snafu(display(
        "leadership changed while the command was on its way; resend it with the same identifier"
    ))]
    Unknown,
    /// The process is stopping.
    #[snafu(display("this replica is stopping; ask another one"))]
    Stopping,
    /// The call itself is wrong.
    #[snafu(display("{message}"))]
    Invalid {
        /// What is wrong and how to correct it.
        message: String,
    },
}
