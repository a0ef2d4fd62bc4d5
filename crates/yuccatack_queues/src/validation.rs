//! Validation of configurations.

use snafu::Snafu;
use yuccatack_core::{FastHashMap, FastHashSet, OrganisationName, QueueName, ServiceName};

use crate::configuration::{AccessKey, Configuration};

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ConfigurationError {
    /// A queue refers to a service that the configuration does not contain.
    #[snafu(display("queue `{queue}` names the unknown service `{service}`; add the service"))]
    UnknownService {
        /// Queue with the reference.
        queue: QueueName,
        /// Service that is missing.
        service: ServiceName,
    },
    /// Two queues have the same host and path prefix, so calls cannot be routed.
    #[snafu(display("queues `{first}` and `{second}` share host and prefix; change one of them"))]
    DuplicateRoute {
        /// Queue that comes first in the configuration.
        first: QueueName,
        /// Queue with the same host and prefix.
        second: QueueName,
    },
    /// A queue has a call timeout of zero.
    #[snafu(display("queue `{queue}` has a timeout of 0; set at least 1 ms"))]
    ZeroTimeout {
        /// Queue with the timeout.
        queue: QueueName,
    },
    /// Two organisations share a key.
    #[snafu(display("organisations `{first}` and `{second}` share a key; issue a new one"))]
    SharedKey {
        /// Organisation that comes first in the configuration.
        first: OrganisationName,
        /// Organisation with the same key.
        second: OrganisationName,
    },
}

impl Configuration {
    /// Checks the configuration and returns the first problem found.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        self.validate_queues()?;
        self.validate_keys()
    }

    fn validate_queues(&self) -> Result<(), ConfigurationError> {
        let services: FastHashSet<&ServiceName> =
            self.services.iter().map(|service| &service.name).collect();
        let mut routes = FastHashMap::default();
        for queue in &self.queues {
            let name = queue.name.clone();
            if !services.contains(&queue.service) {
                let service = queue.service.clone();
                return Err(ConfigurationError::UnknownService { queue: name, service });
            }
            if queue.call_timeout_ms.get() == 0 {
                return Err(ConfigurationError::ZeroTimeout { queue: name });
            }
            if let Some(first) = routes.insert((&queue.host, &queue.path_prefix), &queue.name) {
                let first = first.clone();
                return Err(ConfigurationError::DuplicateRoute { first, second: name });
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
