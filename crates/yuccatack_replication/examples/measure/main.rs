//! Measures the replicated log on loopback with real syncs, beside bare appends of the same run.
//!
//! `cargo run --release --package yuccatack_replication --example measure [FOLDER]`; the files go to
//! a new folder in FOLDER, or in the system's temporary folder.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

mod cluster;
mod failover;
mod restart;
mod throughput;

use std::path::PathBuf;

/// About the size of a record change or a claim.
pub const PAYLOAD_BYTES: usize = 256;

#[tokio::main]
async fn main() {
    let parent = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = tempfile::tempdir_in(parent).unwrap();
    throughput::bare_appends(folder.path());
    for voter_count in [1, 3, 5] {
        for in_flight in [1, 64, 1024] {
            throughput::replicated(folder.path(), voter_count, in_flight).await;
        }
    }
    for voter_count in [3, 5] {
        failover::unavailability(folder.path(), voter_count, 100).await;
    }
    for entry_count in [100, 10_000, 100_000] {
        restart::restart_time(folder.path(), entry_count).await;
    }
}
