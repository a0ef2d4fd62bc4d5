//! The read view that entries and agents subscribe to, and node freshness.
//!
//! The control leader runs a [`ViewPublisher`], each entry and agent a [`ViewSubscriber`]. A node
//! starts new work only while its view is fresh; the leader knows from the nodes' reports which
//! revision each of them applies, and so when a change is in force everywhere.

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// The `view` protocol.
    #[path = "yuccatack.view.v1.rs"]
    pub mod view;
}

mod clock;
pub mod limits;
mod message;
mod publisher;
mod state;
mod subscriber;
mod wire;

pub use message::{Delta, NodeRole, PublishedRecord, RecordUpdate, Report, Update, UpdateBody};
pub use publisher::{
    InForceStatus, LEADER_METADATA_KEY, NotLeader, PublisherState, PublisherStatus, StreamId,
    ViewPublisher, ViewService,
};
pub use state::{MinionEntry, MinionState, MinionStatus, RecordEntry, View, ViewHandle};
pub use subscriber::{
    NodeIdentity, SubscriberConfig, SubscriberState, UpdateError, ViewSubscriber,
};
pub use wire::WireError;
pub use yuccatack_records::RecordKey;
