//! The agent process that runs next to each minion and sends it requests.
//!
//! The agent reports its minion's status to the control leader, owns the minion's slots and
//! connections, runs attempts against it, keeps their outcomes, and drains on shutdown. One task
//! owns the table of attempts and the idle connections; each HTTP exchange with the minion runs in
//! its own task.

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
