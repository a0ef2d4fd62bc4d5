//! Requests: outcomes, claims, attempts and routing.
//!
//! Everything outside [`wire`] and [`claims::ClaimClient`] is pure: `(state, message, now)` gives
//! outputs, with no I/O, no clock and no global random source.

pub mod answer_check;
pub mod attempt;
pub mod attempts;
pub mod claims;
pub mod dispatch;
pub mod http_mapping;
pub mod outcome;
pub mod routing;
pub mod wire;

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

/// The types that agents and entries use most.
pub mod prelude {
    pub use crate::attempt::{AttemptHead, RequestContent};
    pub use crate::outcome::{
        Answer, Header, NotRun, NotRunReason, NotRunScope, Outcome, Unknown, UnknownReason,
    };
}
