//! A client of the control leader for entries and the command line.
//!
//! [`ControlClient`] finds the leader, follows its hints, and tells for each failed call whether
//! the call may have had an effect.

mod actor;
mod client;
mod error;

pub use client::{ControlClient, ControlClientConfig};
pub use error::ControlError;
