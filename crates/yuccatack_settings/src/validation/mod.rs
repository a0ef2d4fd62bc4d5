//! Validation of settings before they are deserialized into the typed structs.
//!
//! Validation works on the parsed YAML instead of the structs, so that one invalid value does not
//! hide other problems. Each role has a file with its fields and the rules between them.

mod agent;
mod control;
mod entry;
mod key;
mod section;
mod value;

pub use control::REPLICA_FIELDS;
pub(crate) use value::describe;

use serde_yaml_ng::{Mapping, Value};

use crate::{Field, Problem};
use section::Section;

/// Role of a process, which determines its settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Control replica, which holds the replicated state.
    Control,
    /// Entry, which accepts requests of callers and operators.
    Entry,
    /// Agent, which forwards attempts to its minion.
    Agent,
}

impl Role {
    /// All roles, in a fixed order.
    pub const ALL: [Self; 3] = [Self::Control, Self::Entry, Self::Agent];

    /// Returns the value of the key `role` in a settings file.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }

    /// Returns the schema of the settings of this role, without the key `role`.
    pub const fn fields(self) -> &'static [Field] {
        match self {
            Self::Control => control::FIELDS,
            Self::Entry => entry::FIELDS,
            Self::Agent => agent::FIELDS,
        }
    }

    pub(crate) fn from_mapping(mapping: &Mapping) -> Result<Self, Problem> {
        let remedy = "set `role` to `control`, `entry` or `agent`";
        let Some(value) = mapping.get("role") else {
            return Err(Problem::new("role", "the key is missing", remedy));
        };
        let role = Self::ALL.into_iter().find(|role| value.as_str() == Some(role.name()));
        role.ok_or_else(|| Problem::new("role", format!("found {}", describe(value)), remedy))
    }
}

/// Returns all problems of the settings of `role`.
pub(crate) fn check(role: Role, mapping: &Mapping) -> Vec<Problem> {
    let mut settings = mapping.clone();
    settings.remove(Value::from("role"));
    let section = Section::new(&settings, role.fields(), "");
    let mut problems = section.check_fields();
    match role {
        Role::Control => control::check_relations(&section, &mut problems),
        Role::Entry => entry::check_relations(&section, &mut problems),
        Role::Agent => agent::check_relations(&section, &mut problems),
    }
    problems
}
