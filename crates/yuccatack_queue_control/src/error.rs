//! Errors that stop a replica.

use std::net::SocketAddr;

use snafu::Snafu;
use yuccatack_replication::{ReplicaFailure, StartError};
use yuccatack_storage::StorageError;

/// Failure that stops the replica and, unless the disk is full, ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The address is in use or does not belong to this machine.
    #[snafu(display("cannot listen on {address}: {source}; free the port or correct the setting"))]
    Listen {
        /// Configured listen address of the replica.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The replica's ID cannot be read from the data folder.
    #[snafu(display("cannot read the replica ID from the data folder: {source}"))]
    Folder {
        /// Error of the storage, with the path of the file.
        source: StorageError,
    },
    /// Replication cannot start from the data folder.
    #[snafu(display("cannot start replication: {source}"))]
    Replication {
        /// Error of the start of replication, which includes the remedy.
        source: StartError,
    },
    /// The control actor cannot be spawned.
    #[snafu(display("cannot start the control actor: {detail}; start the process again"))]
    Actor {
        /// Message of the actor runtime.
        detail: String,
    },
    /// Replication ended by itself for another reason than a full disk.
    #[snafu(display("the replicated log has stopped; see the error logged before"))]
    LogStopped,
    /// Replication ended by itself because the disk is full.
    #[snafu(display("{detail}"))]
    DiskFull {
        /// Message of the storage, which includes the remedy.
        detail: String,
    },
    /// The gRPC server ended by itself.
    #[snafu(display("the server stopped: {detail}; start the process again"))]
    Server {
        /// Message of the server or of its task.
        detail: String,
    },
}

impl ControlError {
    /// Returns the error for a replica whose replication ended by itself with `failure`.
    pub fn from_failure(failure: Option<ReplicaFailure>) -> Self {
        match failure {
            Some(ReplicaFailure::DiskFull { detail }) => Self::DiskFull { detail },
            _ => Self::LogStopped,
        }
    }

    /// Returns `true` if the replica can restart in the same process once there is disk space.
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
