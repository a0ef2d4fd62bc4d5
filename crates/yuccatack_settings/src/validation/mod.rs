//! Checks of settings before they are read into the typed structs.
//!
//! The checks work on the parsed YAML and not on the structs, so that one wrong value does not hide
//! the others. Each role has one file with its fields and the rules between them.

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

/// The roles of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// A control replica.
    Control,
    /// An entry.
    Entry,
    /// An agent beside a minion.
    Agent,
}

impl Role {
    /// Every role.
    pub const ALL: [Self; 3] = [Self::Control, Self::Entry, Self::Agent];

    /// The value of the key `role`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }

    /// The settings of the role, besides `role` itself.
    pub const fn fields(self) -> &'static [Field] {
        match self {
            Self::Control => control::FIELDS,
            Self::Entry => entry::FIELDS,
            Self::Agent => agent::FIELDS,
        }
    }

    pub(crate) fn of(mapping: &Mapping) -> Result<Self, Problem> {
        let remedy = "set `role` to `control`, `entry` or `agent`";
        let Some(value) = mapping.get("role") else {
            return Err(Problem::new("role", "the key is missing", remedy));
        };
        let role = Self::ALL.into_iter().find(|role| value.as_str() == Some(role.name()));
        role.ok_or_else(|| Problem::new("role", format!("found {}", describe(value)), remedy))
    }
}

/// Names every problem of the settings of `role`.
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
