//! Encoding of the pure types for `agent.proto` and `claims.proto`.

pub mod attempts;
pub mod claims;
mod error;

pub use error::WireError;
