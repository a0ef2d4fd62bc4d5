//! The read view that entries and agents subscribe to, and node freshness.

/// Generated wire types and services; regenerate with `cargo run --package codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
pub mod generated {
    /// The `view` protocol.
    #[path = "yuccatack.view.v1.rs"]
    pub mod view;
}

mod state;

pub use state::{MinionEntry, MinionState, MinionStatus, RecordEntry, RecordKey, View, ViewHandle};
