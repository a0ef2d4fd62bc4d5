//! Errors of the data folder; each message states a remedy.

use std::io;
use std::path::{Path, PathBuf};

use snafu::Snafu;

/// An error of the data folder. All but a full disk make it unusable until it is opened again.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The disk or the quota has no space left.
    #[snafu(display(
        "the disk that holds `{}` is full; free space on it or provide a larger one",
        path.display()
    ))]
    DiskFull {
        /// Path of the file that could not be extended.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },

    /// A sync failed, so written data may not have reached the disk.
    #[snafu(display(
        "syncing `{}` failed; check the disk, then start the replica again, or replace the \
         replica by a new member if the disk is faulty",
        path.display()
    ))]
    SyncFailed {
        /// Path of the affected file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },

    /// Permissions or a read-only file system prevent writing.
    #[snafu(display(
        "`{}` cannot be written; make the data folder writable for the user of this process and \
         check that the file system is not mounted read-only",
        path.display()
    ))]
    ReadOnly {
        /// Path of the affected file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },

    /// Another process holds the lock of the folder.
    #[snafu(display(
        "the data folder `{}` is in use by another process; stop that process or configure \
         another `data_folder`",
        path.display()
    ))]
    Locked {
        /// Path of the data folder.
        path: PathBuf,
    },

    /// The folder was formatted by another replica.
    #[snafu(display(
        "the data folder `{}` belongs to replica {found}, but this is replica {expected}; correct \
         `replica_id` or `data_folder` in the settings",
        path.display()
    ))]
    OtherReplica {
        /// Path of the data folder.
        path: PathBuf,
        /// Identifier of the replica that formatted the folder.
        found: u64,
        /// Identifier of the replica that opened the folder.
        expected: u64,
    },

    /// The folder has a format that only a newer program version reads.
    #[snafu(display(
        "the data folder `{}` has format {found}, and this program reads up to {supported}; run \
         the newer program version that wrote it",
        path.display()
    ))]
    NewerFormat {
        /// Path of the data folder.
        path: PathBuf,
        /// Format version of the folder.
        found: u32,
        /// Newest format version that this program reads.
        supported: u32,
    },

    /// Synced data is missing, inconsistent or does not match its checksum.
    #[snafu(display(
        "`{}` is corrupted at byte {offset_bytes} ({detail}); move the data folder away and let \
         this replica join again as a new member",
        path.display()
    ))]
    Corrupted {
        /// Path of the damaged file, or of the folder if a file is missing or two files disagree.
        path: PathBuf,
        /// Offset at which the damage starts.
        offset_bytes: u64,
        /// Kind of damage, for example `wrong checksum`.
        detail: &'static str,
    },

    /// An earlier write or sync failed, so the folder accepts no further operations.
    #[snafu(display(
        "`{}` refuses all work after an earlier failed write or sync; start the replica again",
        path.display()
    ))]
    Refused {
        /// Path of the data folder.
        path: PathBuf,
    },

    /// Another error of the file system.
    #[snafu(display(
        "cannot use `{}`: {source}; check that the path exists and the disk works",
        path.display()
    ))]
    Io {
        /// Path of the affected file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl StorageError {
    /// Classifies an I/O error that occurred while opening, reading, writing or renaming `path`.
    pub(crate) fn from_io(path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Self::DiskFull { path, source }
            }
            io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem => {
                Self::ReadOnly { path, source }
            }
            _ => Self::Io { path, source },
        }
    }

    /// Classifies an I/O error that occurred while syncing `path`.
    pub(crate) fn from_sync(path: &Path, source: io::Error) -> Self {
        match source.kind() {
            // File systems with delayed allocation report a full disk only at the sync.
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Self::DiskFull { path: path.to_owned(), source }
            }
            _ => Self::SyncFailed { path: path.to_owned(), source },
        }
    }
}
