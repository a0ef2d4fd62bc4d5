//! Agent of a worker.
//!
//! It reports the worker's runs to the queue control leader, carries out the leader's orders and
//! renews the worker's lease, but only as far as the leader has granted it. [`WorkerPort`]
//! abstracts the calls to the worker.

mod agent;
mod clock;
mod orders;
mod port;

pub use agent::{Agent, AgentConfig};
pub use port::{
    Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};
