//! Selection of the minion for an attempt.

mod message;
mod state;

pub use message::{Feedback, MinionLoad, RoutingPolicy, RoutingSettings};
pub use state::Router;
