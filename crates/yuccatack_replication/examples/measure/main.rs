//! Benchmark of the replicated log on loopback with real syncs, and of appends without replication
//! in the same run.
//!
//! `cargo run --release --package yuccatack_replication --example measure [PART]...` runs the named
//! parts out of `throughput`, `failover` and `restart`, or all of them. The data folders are
//! created in the system's temporary folder.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

mod cluster;
mod failover;
mod restart;
mod throughput;

/// Size of a proposed command, similar to that of a record change or a claim.
pub const PAYLOAD_BYTES: usize = 256;

#[tokio::main]
async fn main() {
    let parts: Vec<String> = std::env::args().skip(1).collect();
    let is_selected = |part: &str| parts.is_empty() || parts.iter().any(|name| name == part);
    let folder = tempfile::tempdir().unwrap();
    if is_selected("throughput") {
        throughput::measure_appends(folder.path());
        for voter_count in [1, 3, 5] {
            for in_flight in [1, 64, 1024] {
                throughput::measure_replicated(folder.path(), voter_count, in_flight).await;
            }
        }
    }
    if is_selected("failover") {
        for voter_count in [3, 5] {
            failover::measure_unavailability(folder.path(), voter_count, 100).await;
        }
    }
    if is_selected("restart") {
        for entry_count in [100, 10_000, 100_000] {
            restart::measure_restart(folder.path(), entry_count).await;
        }
    }
}
