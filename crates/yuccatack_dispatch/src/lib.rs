//! The decisions of the control leader: which runs begin where, under which leases, and which stop.
//!
//! [`Dispatcher`] is the leader's memory of its workers. It is not replicated: a new leader starts
//! with none and learns from the agents. Everything takes the current time as an argument.

mod capacity;
mod demand;
mod dispatcher;
mod eviction;
mod headroom;
mod health;
mod lease;
mod loss;
mod observation;
mod placement;
mod protocol;
mod reclaim;
mod reconcile;
mod session;
mod settings;

pub use dispatcher::{Dispatcher, TableChange};
pub use lease::ClockReading;
pub use protocol::{
    AgentMessage, EndedRun, Observation, Orders, RunningRun, StartOrder, StartResult, WorkerState,
};
pub use settings::DispatchSettings;
