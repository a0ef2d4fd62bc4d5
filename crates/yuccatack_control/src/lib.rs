//! The control process, which replicates the state of records, leases and claims.
//!
//! One actor owns the state ([`state`]) and applies the entries of the replicated log. Services for
//! operators, entries, agents and workers convert calls into messages to that actor. The decisions
//! live in the crates for records, leases and claims; this crate applies their commands in one
//! order.

mod actor;
mod call;
mod claims;
mod clock;
mod error;
mod events;
mod forward;
mod heartbeat;
mod leader;
mod long_poll;
pub mod membership;
mod message;
mod observe;
mod operators;
mod pending;
mod process;
mod queries;
pub mod retention;
mod specs;
pub mod state;
pub mod wire;
mod workers;

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// Forwarding of worker heartbeats from a follower to the leader.
    #[path = "yuccatack.workers.v1.rs"]
    pub mod workers;
}

pub use error::ControlError;
pub use process::run;
