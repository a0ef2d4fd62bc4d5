//! Decisions about requests: outcomes, claims, attempts, routing and dispatch.
//!
//! Everything outside [`wire`] and [`claims::ClaimClient`] is pure: state machines map
//! `(state, message, now)` to outputs, without I/O, clocks or global random sources.

pub mod answer_check;
pub mod attempt;
pub mod attempts;
pub mod claims;
pub mod dispatch;
pub mod http_mapping;
pub mod outcome;
pub mod routing;
pub mod wire;

/// Generated message types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// Protocol between entries and agents: execution and resolution of attempts.
    #[path = "yuccatack.agent.v1.rs"]
    pub mod agent;
    /// Protocol between entries and the control leader: claims of idempotency keys.
    #[path = "yuccatack.claims.v1.rs"]
    pub mod claims;
}

/// Types that agents and entries use most.
pub mod prelude {
    pub use crate::attempt::{AttemptHead, RequestContent};
    pub use crate::outcome::{
        Answer, Header, NotRun, NotRunReason, NotRunScope, Outcome, Unknown, UnknownReason,
    };
}
