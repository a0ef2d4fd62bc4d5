//! Subscribes a node to the view of the leader and tracks the freshness of its copy.

mod actor;
mod connection;
mod state;

pub use actor::{SubscriberConfig, ViewSubscriber};
pub use state::{NodeIdentity, SubscriberState, UpdateError};
