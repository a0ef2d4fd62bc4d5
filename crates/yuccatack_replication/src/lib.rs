//! The replicated log: elections, membership, snapshots and transport.

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// The `replication` protocol.
    #[path = "yuccatack.replication.v1.rs"]
    pub mod replication;
}
