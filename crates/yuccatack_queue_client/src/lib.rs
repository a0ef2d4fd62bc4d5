//! Calls to the queue control leader.
//!
//! [`QueueClient`] finds the leader, follows its hints and says for each failed call whether it may
//! have had an effect. [`protocol`] holds the messages, which agents exchange with the leader too.

mod backoff;
mod client;
mod directory;
mod error;
mod limits;
pub mod protocol;
mod readiness;
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
    /// The `queue_control` protocol.
    #[path = "yuccatack.queue_control.v1.rs"]
    pub mod queue_control;
}
