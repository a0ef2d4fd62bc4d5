//! The entry process: HTTP for callers and operators.
//!
//! Each caller's connection is a task; each request runs one dispatch state machine. One task
//! owns the choice of minions, another the connections to agents.

mod balancer;
mod call;
mod caller;
mod claims;
mod error;
mod link;
mod links;
mod observe;
mod operators;
mod process;
mod routes;
mod server;

pub use balancer::BalancerSettings;
pub use error::EntryError;
pub use operators::{OperatorAnswer, OperatorRoute};
pub use process::{EntryInputs, run, serve};
pub use routes::Route;
