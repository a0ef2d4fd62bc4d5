//! Errors of the data folder; each message names the remedy.

use std::io;
use std::path::{Path, PathBuf};

use snafu::Snafu;

/// Why the data folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// No space is left.
    #[snafu(display(
        "the disk that holds `{}` is full; free space on it, then start the replica again",
        path.display()
    ))]
    DiskFull {
        /// The file that could not grow.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },

    /// The system could not confirm that data reached the disk.
    #[snafu(display(
        "syncing `{}` failed; check the disk, then start the replica again, or replace the \
         replica by a new member if the disk is faulty",
        path.display()
    ))]
    SyncFailed {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },

    /// Writing is not permitted.
    #[snafu(display(
        "`{}` cannot be written; make the data folder writable for the user of this process and \
         check that the file system is not mounted read-only",
        path.display()
    ))]
    ReadOnly {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },

    /// Another process uses the folder.
    #[snafu(display(
        "the data folder `{}` is in use by another process; stop that process or configure \
         another `data_folder`",
        path.display()
    ))]
    Locked {
        /// The folder.
        path: PathBuf,
    },

    /// The folder was written by another replica.
    #[snafu(display(
        "the data folder `{}` belongs to replica {found}, but this is replica {expected}; correct \
         `replica_id` or `data_folder` in the settings",
        path.display()
    ))]
    OtherReplica {
        /// The folder.
        path: PathBuf,
        /// The replica that wrote the folder.
        found: u64,
        /// The replica that opened it.
        expected: u64,
    },

    /// The folder was written by a newer program.
    #[snafu(display(
        "the data folder `{}` has format {found}, and this program reads up to {supported}; run \
         the newer program version that wrote it",
        path.display()
    ))]
    NewerFormat {
        /// The folder.
        path: PathBuf,
        /// The format found.
        found: u32,
        /// The newest format that this program reads.
        supported: u32,
    },

    /// Synced data does not match its checksum.
    #[snafu(display(
        "`{}` is corrupted at byte {offset_bytes} ({detail}); move the data folder away and let \
         this replica join again as a new member",
        path.display()
    ))]
    Corrupted {
        /// The file.
        path: PathBuf,
        /// Where the damage starts.
        offset_bytes: u64,
        /// What is wrong there.
        detail: &'static str,
    },

    /// An earlier write or sync failed.
    #[snafu(display(
        "`{}` refuses all work after an earlier failed write or sync; start the replica again",
        path.display()
    ))]
    Refused {
        /// The folder.
        path: PathBuf,
    },

    /// Any other failure of the file system.
    #[snafu(display(
        "cannot use `{}`: {source}; check that the path exists and the disk works",
        path.display()
    ))]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

impl StorageError {
    /// Classifies an error of reading, writing or renaming `path`.
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

    /// Classifies an error of syncing `path`.
    pub(crate) fn from_sync(path: &Path, source: io::Error) -> Self {
        match source.kind() {
            // Some file systems allocate space only at the sync.
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Self::DiskFull { path: path.to_owned(), source }
            }
            _ => Self::SyncFailed { path: path.to_owned(), source },
        }
    }
}
