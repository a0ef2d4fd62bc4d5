//! Requests: outcomes, claims, attempts and routing.

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// The `agent` protocol.
    #[path = "yuccatack.agent.v1.rs"]
    pub mod agent;
    /// The `claims` protocol.
    #[path = "yuccatack.claims.v1.rs"]
    pub mod claims;
}
