//! Typed YAML settings of the three process roles.

mod agent;
mod control;
mod entry;

pub use agent::AgentSettings;
pub use control::{ControlSettings, ReplicaSettings};
pub use entry::EntrySettings;

use serde::{Deserialize, Serialize};

/// The settings file of one process; the key `role` selects the variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum Settings {
    /// A control replica.
    Control(ControlSettings),
    /// An entry.
    Entry(EntrySettings),
    /// An agent beside a minion.
    Agent(AgentSettings),
}
