//! Conversions between the types of this crate and the messages of `agent.proto` and
//! `claims.proto`.

pub mod attempts;
pub mod claims;
mod error;

pub use error::WireError;
