//! The control process: the replicated state of records, leases and claims.
//!
//! One actor owns the state ([`state`]) and applies what the replicated log delivers. Services for
//! operators, entries, agents and workers turn calls into messages to that actor. Decisions live in
//! the crates of each duty; this crate puts them into one order.

mod actor;
mod call;
mod claims;
mod clock;
mod error;
mod events;
mod forward;
mod heartbeat;
mod held;
mod lead;
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
    /// The `workers` protocol.
    #[path = "yuccatack.workers.v1.rs"]
    pub mod workers;
}

pub use error::ControlError;
pub use process::run;
