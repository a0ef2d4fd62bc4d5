//! Queue control process: replicates queue configuration and jobs, and schedules jobs on the
//! leader.

mod actor;
mod agents;
mod calls;
mod command;
mod error;
mod identity;
mod job_names;
mod join;
mod leave;
mod membership;
mod message;
mod observe;
mod process;
mod run_lines;
mod schedule;
mod service;
mod speeds;
mod state;
mod stored_bytes;

pub use error::ControlError;
pub use identity::{ReplicaIdentity, replica_identity};
pub use membership::{MembershipView, next_change};
pub use process::{ControlConfig, run};
pub use schedule::pause_after_pass;
pub use stored_bytes::{job_bytes, stored_limit_bytes, submission_bytes};
