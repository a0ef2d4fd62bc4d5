//! Scheduling decisions of the control leader: placement of runs, their leases, and evictions.
//!
//! [`Dispatcher`] holds the leader's state of its workers. The state is not replicated, except for the
//! speeds of machines: a new leader rebuilds it from the reports of the agents. No function reads a
//! clock: the current time is an argument.

mod admission;
mod capacity;
mod demand;
mod dispatcher;
mod eviction;
mod forecast;
mod headroom;
mod health;
mod interference;
mod job_cache;
mod lease;
mod loss;
mod lost_runs;
mod observation;
mod pass;
mod pending;
mod placement;
mod protocol;
mod ready_window;
mod reclaim;
mod reconcile;
mod restraint;
mod run_counts;
mod run_time;
mod session;
mod settings;
mod share;
mod slack_speed;
mod speed;
mod speed_observer;
mod speed_range;
mod speed_wait;
mod starts;
mod summary;
mod table_change;
mod urgent_speed;
mod waiting;

pub use admission::{Refusal, RefusalCause};
pub use dispatcher::Dispatcher;
pub use lease::ClockReading;
pub use pending::PendingChanges;
pub use protocol::{
    AgentMessage, EndedRun, Observation, Orders, RunningRun, StartOrder, StartResult, WorkerState,
};
pub use settings::DispatchSettings;
pub use speed::MachineSpeeds;
pub use summary::{ByPriority, PassSummary, WaitingGroup};
pub use table_change::TableChange;
