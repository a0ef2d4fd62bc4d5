//! The platform configuration: which queues exist, whom they serve and where their jobs run.
//!
//! The operator sends the configuration as a whole. The highest version is in force; a version
//! that is not higher is acknowledged and changes nothing. Nothing here does I/O.

mod configuration;
mod store;
mod validation;

pub use configuration::{
    AccessKey, Configuration, ConfigurationVersion, Organisation, Queue, Service,
};
pub use store::{Acceptance, Access, AccessError, ConfigurationStore};
pub use validation::ConfigurationError;
