//! Publishes records and minions to the nodes and tracks what each node has applied.

mod actor;
mod nodes;
mod records;
mod service;
mod state;
mod stream;

pub use actor::{PublisherStatus, ViewPublisher};
pub use service::{LEADER_METADATA_KEY, ViewService};
pub use state::{InForceStatus, NotLeader, PublisherState, StreamId};
