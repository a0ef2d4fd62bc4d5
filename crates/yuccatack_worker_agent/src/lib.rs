//! The agent beside a worker.
//!
//! It reports what the worker runs to the control leader, renews the worker's lease only from the
//! leader's grants, and carries out the leader's orders. How the worker is spoken to is behind
//! [`WorkerPort`].

mod agent;
mod orders;
mod port;

pub use agent::{Agent, AgentConfig};
pub use port::{
    Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};
