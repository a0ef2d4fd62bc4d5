//! Store of the configuration in force.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{OrganisationName, QueueName};

use crate::configuration::{AccessKey, Configuration, ConfigurationVersion, Organisation, Queue};

/// Outcome of submitting a valid configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Acceptance {
    /// The configuration is now in force.
    InForce,
    /// A version at least as high was already in force; nothing changed.
    Superseded {
        /// Version that stays in force.
        by: ConfigurationVersion,
    },
}

/// Queue and organisation of an authorised call.
#[derive(Clone, Debug, PartialEq)]
pub struct Access<'a> {
    /// Queue that the call addresses.
    pub queue: &'a Queue,
    /// Organisation of the key; `None` for a call to a public queue without a known key.
    pub organisation: Option<&'a OrganisationName>,
    /// Rest of the path after the queue's prefix.
    pub remainder: &'a str,
}

/// Reason why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AccessError {
    /// No configuration has arrived yet.
    NotConfigured,
    /// No queue has that host and a prefix of that path.
    NoSuchQueue,
    /// The queue is not public, and the key is missing or unknown.
    UnknownKey,
}

/// Store of the configuration in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigurationStore {
    current: Option<Arc<Configuration>>,
}

impl ConfigurationStore {
    /// Puts a valid configuration in force if its version is higher than the current one.
    pub fn accept(&mut self, configuration: Arc<Configuration>) -> Acceptance {
        match &self.current {
            Some(current) if current.version >= configuration.version => {
                Acceptance::Superseded { by: current.version }
            }
            _ => {
                self.current = Some(configuration);
                Acceptance::InForce
            }
        }
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Returns the version in force; 0 before the first configuration.
    pub fn version(&self) -> ConfigurationVersion {
        self.current.as_ref().map_or_else(Default::default, |current| current.version)
    }

    /// Finds the queue with the longest matching prefix and checks the key.
    pub fn authorise<'a>(
        &'a self,
        host: &str,
        path: &'a str,
        key: Option<&AccessKey>,
    ) -> Result<Access<'a>, AccessError> {
        let current = self.current.as_deref().ok_or(AccessError::NotConfigured)?;
        let queue = current
            .queues
            .iter()
            .filter(|queue| &*queue.host == host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
            .ok_or(AccessError::NoSuchQueue)?;
        let organisation =
            key.and_then(|key| current.organisation_of(key)).map(|found| &found.name);
        if organisation.is_none() && !queue.public {
            return Err(AccessError::UnknownKey);
        }
        Ok(Access { queue, organisation, remainder: &path[queue.path_prefix.len()..] })
    }

    /// Iterates over the queues of the configuration in force.
    pub fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.current.iter().flat_map(|current| &current.queues)
    }

    /// Returns the queue of this name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.current.as_deref()?.queues.iter().find(|queue| queue.name == *name)
    }

    /// Returns the number of accelerators that are guaranteed to the most urgent jobs of an
    /// organisation; 0 for an unknown organisation.
    pub fn guaranteed_accelerator_count(&self, name: &OrganisationName) -> u32 {
        let organisations = self.current.iter().flat_map(|current| &current.organisations);
        organisations
            .filter(|organisation| organisation.name == *name)
            .map(|organisation| organisation.guaranteed_accelerator_count)
            .next()
            .unwrap_or(0)
    }
}

impl Configuration {
    fn organisation_of(&self, key: &AccessKey) -> Option<&Organisation> {
        self.organisations.iter().find(|organisation| organisation.keys.contains(key))
    }
}
