//! Read-only view of records and minions for entries and agents, and the freshness of nodes.
//!
//! Every control replica runs a [`ViewPublisher`], and the one of the leader serves the streams.
//! Every entry and agent runs a [`ViewSubscriber`]. A node starts new work only while its view is
//! fresh. The nodes report the revision that they have applied, so the leader can determine when a
//! change is in force everywhere.

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// Messages and services of `view.proto`.
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
