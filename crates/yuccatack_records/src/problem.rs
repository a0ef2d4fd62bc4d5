//! Problems of a document; each message states the remedy.

use snafu::Snafu;

/// A single problem of a document.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordProblem {
    /// The document is not a JSON object.
    #[snafu(display("the document is not a JSON object ({detail}); send one JSON object"))]
    NotAnObject {
        /// Error of the JSON parser, with line and column.
        detail: String,
    },
    /// The document exceeds the length limit.
    #[snafu(display(
        "the document has {length_bytes} bytes; shorten it to at most {max_bytes} bytes"
    ))]
    DocumentTooLong {
        /// Length of the document.
        length_bytes: usize,
        /// Maximum accepted length.
        max_bytes: usize,
    },
    /// A top-level key occurs more than once.
    #[snafu(display("`{field}` occurs more than once; keep one of them"))]
    DuplicateKey {
        /// Name of the top-level key.
        field: String,
    },
    /// The schema version has no such key.
    #[snafu(display("`{field}` is not a known key; {hint}"))]
    UnknownKey {
        /// Path of the key in the document, for example `replicas[0].address`.
        field: String,
        /// The most similar known key, or the list of all known keys.
        hint: String,
    },
    /// A value has the wrong type, or a number does not fit its type.
    #[snafu(display("`{field}` has the wrong type or size: {detail}; correct the value"))]
    WrongType {
        /// Path of the key in the document, for example `replicas[0].address`.
        field: String,
        /// Found and expected type, as the deserializer reports them.
        detail: String,
    },
    /// A required key is absent.
    #[snafu(display("`{field}` is missing; add it"))]
    Missing {
        /// Path of the key in the document, for example `replicas[0].address`.
        field: String,
    },
    /// A name violates the syntax of names.
    #[snafu(display("`{field}`: {detail}"))]
    InvalidName {
        /// Path of the key in the document, for example `replicas[0].address`.
        field: String,
        /// The violated rule, with the allowed characters.
        detail: String,
    },
    /// A number is outside its accepted range.
    #[snafu(display("`{field}` is {found}; use {min} to {max}"))]
    OutOfRange {
        /// Path of the key in the document, for example `replicas[0].address`.
        field: String,
        /// Number in the document.
        found: String,
        /// Smallest accepted number.
        min: String,
        /// Largest accepted number.
        max: String,
    },
    /// A value is not one of a closed set of identifiers.
    #[snafu(display("`{field}` is `{found}`; use one of {allowed}"))]
    UnknownValue {
        /// Path of the key in the document, for example `replicas[0].address`.
        field: String,
        /// Value in the document.
        found: String,
        /// Accepted values, separated by commas.
        allowed: String,
    },
    /// A list contains the same entry more than once.
    #[snafu(display("`{field}` holds `{entry}` more than once; keep one of them"))]
    DuplicateEntry {
        /// Path of the list in the document.
        field: String,
        /// The repeated entry, formatted as in the document.
        entry: String,
    },
    /// Values contradict each other or violate a rule that spans several keys.
    #[snafu(display("`{field}`: {detail}"))]
    Inconsistent {
        /// Path of the key in the document, for example `replicas[0].address`.
        field: String,
        /// The violated rule and the remedy.
        detail: String,
    },
    /// The document has a newer schema version than this program supports.
    #[snafu(display(
        "schema version {found} is newer than {newest}, the newest one that this control replica \
         knows; upgrade every control replica first, or write the record in version {newest}"
    ))]
    NewerSchemaVersion {
        /// Schema version of the document.
        found: u64,
        /// Newest supported version.
        newest: u64,
    },
}

impl RecordProblem {
    /// Returns the path of the affected key, or `None` if the problem concerns the whole document.
    pub fn field(&self) -> Option<&str> {
        match self {
            Self::NotAnObject { .. }
            | Self::DocumentTooLong { .. }
            | Self::NewerSchemaVersion { .. } => None,
            Self::DuplicateKey { field }
            | Self::UnknownKey { field, .. }
            | Self::WrongType { field, .. }
            | Self::Missing { field }
            | Self::InvalidName { field, .. }
            | Self::OutOfRange { field, .. }
            | Self::UnknownValue { field, .. }
            | Self::DuplicateEntry { field, .. }
            | Self::Inconsistent { field, .. } => Some(field),
        }
    }
}
