//! What can be wrong with a document; each message names the remedy.

use snafu::Snafu;

/// One problem of a document.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordProblem {
    /// The document is not JSON.
    #[snafu(display("the document is not a JSON object ({detail}); send one JSON object"))]
    NotAnObject {
        /// What the parser found.
        detail: String,
    },
    /// The document is too long.
    #[snafu(display(
        "the document has {length_bytes} bytes; shorten it to at most {most_bytes} bytes"
    ))]
    DocumentTooLong {
        /// The length found.
        length_bytes: usize,
        /// The longest accepted length.
        most_bytes: usize,
    },
    /// A key occurs twice.
    #[snafu(display("`{field}` occurs more than once; keep one of them"))]
    DuplicateKey {
        /// The key.
        field: String,
    },
    /// A key is not known.
    #[snafu(display("`{field}` is not a known key; {hint}"))]
    UnknownKey {
        /// The key.
        field: String,
        /// The nearest known key, or all of them.
        hint: String,
    },
    /// A value has the wrong type.
    #[snafu(display("`{field}` has the wrong type or size: {detail}; correct the value"))]
    WrongType {
        /// The key.
        field: String,
        /// What was found and expected.
        detail: String,
    },
    /// A required key is missing.
    #[snafu(display("`{field}` is missing; add it"))]
    Missing {
        /// The key.
        field: String,
    },
    /// A name is not valid.
    #[snafu(display("`{field}`: {detail}"))]
    InvalidName {
        /// The key.
        field: String,
        /// What is wrong, with the allowed characters.
        detail: String,
    },
    /// A number is out of range.
    #[snafu(display("`{field}` is {found}; use {least} to {most}"))]
    OutOfRange {
        /// The key.
        field: String,
        /// The number found.
        found: String,
        /// The smallest accepted number.
        least: String,
        /// The largest accepted number.
        most: String,
    },
    /// A word is not one of a closed set.
    #[snafu(display("`{field}` is `{found}`; use one of {allowed}"))]
    UnknownWord {
        /// The key.
        field: String,
        /// The word found.
        found: String,
        /// The accepted words.
        allowed: String,
    },
    /// The same entry occurs twice in a list.
    #[snafu(display("`{field}` holds `{entry}` more than once; keep one of them"))]
    DuplicateEntry {
        /// The key of the list.
        field: String,
        /// The entry.
        entry: String,
    },
    /// The record cannot mean anything.
    #[snafu(display("`{field}`: {detail}"))]
    Inconsistent {
        /// The key.
        field: String,
        /// What is wrong and the remedy.
        detail: String,
    },
    /// The document is written in a schema version that this program does not know.
    #[snafu(display(
        "schema version {found} is newer than {newest}, the newest one that this control replica \
         knows; upgrade every control replica first, or write the record in version {newest}"
    ))]
    NewerSchemaVersion {
        /// The version found.
        found: u64,
        /// The newest known version.
        newest: u64,
    },
}

impl RecordProblem {
    /// The key that the problem is about.
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
            | Self::UnknownWord { field, .. }
            | Self::DuplicateEntry { field, .. }
            | Self::Inconsistent { field, .. } => Some(field),
        }
    }
}
