//! Client that finds the control leader and calls it, used by entries.
//!
//! [`ControlClient`] finds the leader, follows the leader hints of followers, and reports for each
//! failed call whether it may have had an effect.

mod actor;
mod client;
mod error;

pub use client::{ControlClient, ControlClientConfig};
pub use error::ControlError;
