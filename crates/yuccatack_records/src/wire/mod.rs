//! Documents of each schema version and their conversion to the internal types.

mod checks;
mod document;
mod protocol;
mod v1;
mod v2;
mod v2_membership;

pub use document::{
    DecodedDocument, MAX_DOCUMENT_LENGTH_BYTES, NEWEST_SCHEMA_VERSION, decode, decode_document,
    decode_key,
};
pub use protocol::UnreadableOutcomeError;
