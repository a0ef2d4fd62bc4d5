//! Why the process ended.

use std::net::SocketAddr;

use snafu::Snafu;
use yuccatack_replication::{ReplicaFailure, StartError};
use yuccatack_storage::StorageError;

/// A failure that ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The address is taken or not the machine's.
    #[snafu(display("cannot listen on {address}: {source}; free the port or correct the setting"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The data folder cannot be read.
    #[snafu(display("cannot read the data folder: {source}"))]
    Folder {
        /// What is wrong.
        source: StorageError,
    },
    /// The replica cannot start.
    #[snafu(display("cannot start the replica: {source}"))]
    Replication {
        /// What is wrong.
        source: StartError,
    },
    /// The actor cannot start.
    #[snafu(display("cannot start the control actor: {detail}; start the process again"))]
    Actor {
        /// What went wrong.
        detail: String,
    },
    /// The log has stopped.
    #[snafu(display("the replicated log has stopped; see the error logged before"))]
    LogStopped,
    /// The disk is full.
    #[snafu(display("{detail}"))]
    DiskFull {
        /// The storage's message with its remedy.
        detail: String,
    },
    /// The server has stopped.
    #[snafu(display("the server stopped: {detail}; start the process again"))]
    Server {
        /// What went wrong.
        detail: String,
    },
}

impl ControlError {
    /// Why the log stopped by itself.
    pub fn from_failure(failure: Option<ReplicaFailure>) -> Self {
        match failure {
            Some(ReplicaFailure::DiskFull { detail }) => Self::DiskFull { detail },
            _ => Self::LogStopped,
        }
    }

    /// Whether the same process can go on once there is space again.
    pub fn is_disk_full(&self) -> bool {
        let cause = match self {
            Self::DiskFull { .. } => return true,
            Self::Folder { source } => source,
            Self::Replication { source: StartError::Storage { source } } => source,
            _ => return false,
        };
        matches!(cause, StorageError::DiskFull { .. })
    }
}
