//! The description of one setting, which the checks and the reference page share.

/// One key of a settings file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// The key; it ends in its unit.
    pub key: &'static str,
    /// What the value must be.
    pub kind: FieldKind,
    /// Whether the key must be given.
    pub presence: Presence,
    /// What the setting does, for the reference page.
    pub meaning: &'static str,
}

/// What a value must be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// A name as `yuccatack_core` defines it.
    Name,
    /// An `IP:port` that other processes connect to.
    Address,
    /// A list of such addresses with at least one element.
    Addresses,
    /// A folder, as an absolute path.
    Folder,
    /// A whole number within bounds, in the unit that the key ends in.
    Integer {
        /// The smallest accepted value.
        minimum: u64,
        /// The largest accepted value.
        maximum: u64,
    },
    /// A list of replicas, each with the keys of [`REPLICA_FIELDS`](crate::REPLICA_FIELDS).
    Replicas,
}

/// Whether a key must be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// The file is refused without it.
    Required,
    /// What it sets is switched off without it.
    Optional,
    /// This number is used without it.
    Default(u64),
}

impl Field {
    /// A key that must be given.
    pub const fn required(key: &'static str, kind: FieldKind, meaning: &'static str) -> Self {
        Self { key, kind, presence: Presence::Required, meaning }
    }

    /// A key that may be left out.
    pub const fn optional(key: &'static str, kind: FieldKind, meaning: &'static str) -> Self {
        Self { key, kind, presence: Presence::Optional, meaning }
    }

    /// A whole number with a default.
    pub const fn integer(
        key: &'static str,
        default: u64,
        bounds: (u64, u64),
        meaning: &'static str,
    ) -> Self {
        let kind = FieldKind::Integer { minimum: bounds.0, maximum: bounds.1 };
        Self { key, kind, presence: Presence::Default(default), meaning }
    }

    /// The unit that the key ends in.
    pub fn unit(&self) -> &'static str {
        match self.key {
            key if key.ends_with("_ms") => "milliseconds",
            key if key.ends_with("_bytes") => "bytes",
            key if key.contains("_count") => "count",
            _ => "",
        }
    }
}
