//! The node's side of the view.

mod actor;
mod connection;
mod state;

pub use actor::{SubscriberConfig, ViewSubscriber};
pub use state::{NodeIdentity, SubscriberState, UpdateError};
