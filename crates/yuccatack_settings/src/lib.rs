//! Typed YAML settings of the three process roles.
//!
//! Each role has a file with its struct and a file of the same name with its validation rules in
//! `validation`. [`load`] reads the settings of a process; [`check`] reports all problems of a file
//! at once.

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

/// Settings of one process; the key `role` of the file selects the variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum Settings {
    /// Settings of a control replica.
    Control(ControlSettings),
    /// Settings of an entry.
    Entry(EntrySettings),
    /// Settings of the agent of a minion.
    Agent(AgentSettings),
}
