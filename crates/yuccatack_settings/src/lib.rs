//! Typed YAML settings of the three process roles.
//!
//! Each role has its struct in one file and the checks of its values beside it under `validation`.
//! [`load`] reads a file for a process; [`check`] names every problem of a file at once.

mod agent;
mod control;
mod entry;
mod error;
mod field;
mod load;
mod problem;
mod validation;

pub use agent::AgentSettings;
pub use control::{ControlSettings, ReplicaSettings};
pub use entry::EntrySettings;
pub use error::SettingsError;
pub use field::{Field, FieldKind, Presence};
pub use load::{check, check_text, load, parse};
pub use problem::Problem;
pub use validation::{REPLICA_FIELDS, Role};

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
