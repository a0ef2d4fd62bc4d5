//! What makes a configuration invalid.

use snafu::Snafu;
use yuccatack_core::{FastHashMap, FastHashSet, OrganisationName, QueueName, ServiceName};

use crate::configuration::{AccessKey, Configuration};

/// Why a configuration is refused.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ConfigurationError {
    /// A queue names a service that is not there.
    #[snafu(display("queue `{queue}` names the unknown service `{service}`; add the service"))]
    UnknownService {
        /// The queue.
        queue: QueueName,
        /// The service.
        service: ServiceName,
    },
    /// Two queues cannot be told apart by host and prefix.
    #[snafu(display("queues `{first}` and `{second}` share host and prefix; change one of them"))]
    SamePlace {
        /// One queue.
        first: QueueName,
        /// The other queue.
        second: QueueName,
    },
    /// A queue leaves its calls no time.
    #[snafu(display("queue `{queue}` has a timeout of 0; set at least 1 ms"))]
    NoTimeout {
        /// The queue.
        queue: QueueName,
    },
    /// Two organisations share a key.
    #[snafu(display("organisations `{first}` and `{second}` share a key; issue a new one"))]
    SharedKey {
        /// One organisation.
        first: OrganisationName,
        /// The other organisation.
        second: OrganisationName,
    },
}

impl Configuration {
    /// Finds the first reason to refuse the configuration.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        self.validate_queues()?;
        self.validate_keys()
    }

    fn validate_queues(&self) -> Result<(), ConfigurationError> {
        let services: FastHashSet<&ServiceName> =
            self.services.iter().map(|service| &service.name).collect();
        let mut places = FastHashMap::default();
        for queue in &self.queues {
            let name = queue.name.clone();
            if !services.contains(&queue.service) {
                let service = queue.service.clone();
                return Err(ConfigurationError::UnknownService { queue: name, service });
            }
            if queue.call_timeout_ms.get() == 0 {
                return Err(ConfigurationError::NoTimeout { queue: name });
            }
            if let Some(first) = places.insert((&queue.host, &queue.path_prefix), &queue.name) {
                let first = first.clone();
                return Err(ConfigurationError::SamePlace { first, second: name });
            }
        }
        Ok(())
    }

    fn validate_keys(&self) -> Result<(), ConfigurationError> {
        let mut owners: FastHashMap<&AccessKey, &OrganisationName> = FastHashMap::default();
        for organisation in &self.organisations {
            for key in &organisation.keys {
                match owners.insert(key, &organisation.name) {
                    Some(first) if *first != organisation.name => {
                        let (first, second) = (first.clone(), organisation.name.clone());
                        return Err(ConfigurationError::SharedKey { first, second });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}
