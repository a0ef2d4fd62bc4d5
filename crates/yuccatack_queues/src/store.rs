//! The configuration in force.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{OrganisationName, QueueName};

use crate::configuration::{AccessKey, Configuration, ConfigurationVersion, Organisation, Queue};

/// What became of a valid configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Acceptance {
    /// It is in force.
    InForce,
    /// A version at least as high was in force already; nothing changed.
    Superseded {
        /// The version in force.
        by: ConfigurationVersion,
    },
}

/// What a call may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Access<'a> {
    /// The queue that the call addresses.
    pub queue: &'a Queue,
    /// The organisation of its key; nothing on a public queue without a known key.
    pub organisation: Option<&'a OrganisationName>,
    /// What follows the queue's prefix.
    pub remainder: &'a str,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AccessError {
    /// No configuration has arrived yet.
    NotConfigured,
    /// No queue has that host and a prefix of that path.
    NoSuchQueue,
    /// The queue is not public, and the key is missing or unknown.
    UnknownKey,
}

/// Holds the configuration in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigurationStore {
    current: Option<Arc<Configuration>>,
}

impl ConfigurationStore {
    /// Takes a valid configuration if its version is higher than the one in force.
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

    /// The configuration in force.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// The version in force; 0 before the first configuration.
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

    /// A queue by name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.current.as_deref()?.queues.iter().find(|queue| queue.name == *name)
    }

    /// How many accelerators belong to the most urgent jobs of an organisation.
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
