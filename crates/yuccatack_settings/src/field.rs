//! Schema of a single setting, shared by validation and the reference page.

/// Schema of one key of a settings file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Key in the file; a numeric key states its unit, unless it is an identifier.
    pub key: &'static str,
    /// Type and range of the value.
    pub kind: FieldKind,
    /// Requirement or default of the key.
    pub presence: Presence,
    /// Description of the setting, used by the reference page and by error messages.
    pub meaning: &'static str,
}

/// Type of a value, with its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// Name that satisfies the rules of `yuccatack_core`.
    Name,
    /// `IP:port` with a fixed port.
    Address,
    /// Non-empty list of addresses.
    Addresses,
    /// Absolute path of a folder.
    Folder,
    /// Whole number within inclusive bounds, in the unit that the key states.
    Integer {
        /// Lower bound, inclusive.
        minimum: u64,
        /// Upper bound, inclusive.
        maximum: u64,
    },
    /// List of replicas, each with the keys of [`REPLICA_FIELDS`](crate::REPLICA_FIELDS).
    Replicas,
}

/// Requirement of a key: mandatory, optional or with a default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// A file without the key is rejected.
    Required,
    /// The feature is disabled without the key.
    Optional,
    /// Value that applies without the key.
    Default(u64),
}

impl Field {
    /// Creates the schema of a mandatory key.
    pub const fn required(key: &'static str, kind: FieldKind, meaning: &'static str) -> Self {
        Self { key, kind, presence: Presence::Required, meaning }
    }

    /// Creates the schema of an optional key.
    pub const fn optional(key: &'static str, kind: FieldKind, meaning: &'static str) -> Self {
        Self { key, kind, presence: Presence::Optional, meaning }
    }

    /// Creates the schema of a whole number with a default; `bounds` are inclusive.
    pub const fn integer(
        key: &'static str,
        default: u64,
        bounds: (u64, u64),
        meaning: &'static str,
    ) -> Self {
        let kind = FieldKind::Integer { minimum: bounds.0, maximum: bounds.1 };
        Self { key, kind, presence: Presence::Default(default), meaning }
    }

    /// Returns the unit that the key states, or an empty string if it states none.
    pub fn unit(&self) -> &'static str {
        match self.key {
            key if key.ends_with("_ms") => "milliseconds",
            key if key.ends_with("_bytes") => "bytes",
            key if key.contains("_count") => "count",
            _ => "",
        }
    }
}
