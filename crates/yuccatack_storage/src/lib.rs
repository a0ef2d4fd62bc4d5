//! The data folder: log file, snapshot file, checksums and sync.
