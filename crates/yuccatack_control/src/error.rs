//! Errors of the control process and of calls to it.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;
use yuccatack_core::DurationMs;

/// Reason why the control process did not start or stopped before it had drained.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// An address is in use or not on this machine.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the port or change `{setting}` in the settings"
    ))]
    Listen {
        /// Value of the setting.
        address: SocketAddr,
        /// Key of the setting that holds the address.
        setting: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The replicated log did not start.
    #[snafu(display("the replicated log did not start: {source}"))]
    Replication {
        /// Error of the replicated log.
        source: yuccatack_replication::StartError,
    },
    /// The metrics server did not start.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the metrics server, with its address.
        source: yuccatack_telemetry::MetricsServerError,
    },
    /// The control actor did not start.
    #[snafu(display("the control actor did not start: {source}; start the process again"))]
    Actor {
        /// Error of the actor runtime.
        source: ractor::SpawnErr,
    },
    /// A server task failed.
    #[snafu(display("the server for `{setting}` failed: {message}; start the process again"))]
    Server {
        /// Key of the setting that holds the server's address.
        setting: &'static str,
        /// Description of the failure.
        message: String,
    },
    /// The replicated log stopped while the process ran.
    #[snafu(display(
        "the replicated log stopped; an earlier line of the output or of the log file names the \
         cause and the remedy"
    ))]
    LogStopped,
    /// The drain limit passed or a second signal arrived before the drain was complete.
    #[snafu(display("stopped before the drain was complete; {waiting_count} calls were waiting"))]
    Aborted {
        /// Number of calls that got no response.
        waiting_count: usize,
    },
}

/// Reason why a replica cannot serve a call.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// Another replica leads.
    #[snafu(display("this replica does not lead; ask the leader"))]
    NotLeader {
        /// Address of the leader; `None` while no leader is known.
        leader_address: Option<SocketAddr>,
    },
    /// Leadership was lost before the command was committed, or the actor did not respond in time,
    /// so the command may or may not take effect.
    #[snafu(display(
        "leadership changed while the command was on its way; resend it with the same identifier"
    ))]
    Unknown,
    /// The replicated log refused the command, so that it changed nothing.
    #[snafu(display(
        "nothing was stored: the disks of a quorum of control replicas are full or nearly full; \
         free space on them or withdraw records, then send the command again after {} ms",
        retry_after_ms.get()
    ))]
    NoSpace {
        /// Delay after which the command may be accepted.
        retry_after_ms: DurationMs,
    },
    /// The replica is stopping and accepts no further calls.
    #[snafu(display("this replica is stopping; ask another one"))]
    Stopping,
    /// The content of the call is invalid.
    #[snafu(display("{message}"))]
    Invalid {
        /// Description of the fault and its correction.
        message: String,
    },
}
