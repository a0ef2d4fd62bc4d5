//! The agent process beside each minion.
//!
//! The agent announces its minion, owns its slots and connections, runs attempts against it,
//! remembers what became of them, and drains. One task owns the table of attempts and the idle
//! connections; each exchange with the minion is a task of its own.

mod actor;
mod connection;
mod error;
mod exchange;
mod message;
mod observe;
mod process;
mod report;
mod service;

pub use error::AgentError;
pub use process::{AgentInputs, run, serve};
pub use report::LoadReport;
