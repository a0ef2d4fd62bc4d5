//! Platform configuration: queues, the organisations they serve, and the pools that run their jobs.
//!
//! The operator sends the configuration as a whole. The highest version is in force; a version
//! that is not higher is acknowledged and changes nothing. The operator also orders and withdraws
//! evacuations of data centres. This crate performs no I/O.

mod configuration;
mod evacuation;
mod store;
mod validation;

pub use configuration::{
    AccessKey, Configuration, ConfigurationVersion, Organisation, Queue, Service,
};
pub use evacuation::EvacuationStore;
pub use store::{Acceptance, Access, AccessError, ConfigurationStore};
pub use validation::ConfigurationError;
