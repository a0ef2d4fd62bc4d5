//! Client of the queue control leader.
//!
//! [`QueueClient`] finds the leader, follows hints to it and reports for each failed call whether
//! it may have taken effect. [`protocol`] defines the messages of calls and of the agents' streams.

mod attempt;
mod backoff;
mod client;
mod directory;
mod error;
mod limits;
pub mod protocol;
mod readiness;
mod search;
mod wire;

pub use backoff::Backoff;
pub use client::{AgentStream, QueueClient};
pub use error::CallError;
pub use limits::{OPERATOR_CALL_TIMEOUT, RETRY_AFTER, caller_timeout};
pub use readiness::watch_leader;
pub use wire::WireError;

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// Messages and service of `queue_control.proto`.
    #[path = "yuccatack.queue_control.v1.rs"]
    pub mod queue_control;
}
