//! The entry process, which serves requests of callers and operators over HTTP.
//!
//! Each caller connection is a task, and each request runs one dispatch state machine. One task
//! owns admission and load balancing over minions, another one the connections to agents.

mod agent_client;
mod balancer;
mod call;
mod caller;
mod claims;
mod connection_pool;
mod error;
mod observe;
mod operators;
mod process;
mod routes;
mod server;

pub use balancer::BalancerSettings;
pub use error::EntryError;
pub use operators::{OperatorResponse, OperatorRoute};
pub use process::{EntryInputs, run, serve};
pub use routes::Route;
