//! The queue control process: the replicated configuration and jobs, and the leader's scheduling.

mod actor;
mod agents;
mod calls;
mod command;
mod error;
mod identity;
mod join;
mod membership;
mod message;
mod observe;
mod process;
mod schedule;
mod service;
mod state;

pub use error::ControlError;
pub use identity::{Formation, replica_identity};
pub use membership::{MembershipView, next_change};
pub use process::{ControlConfig, run};
