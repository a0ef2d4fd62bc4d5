//! Types of the platform configuration.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, OrganisationName, QueueName, ServiceName};

/// Version number that the operator assigns to a configuration; the highest one is in force.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ConfigurationVersion(u64);

impl ConfigurationVersion {
    /// Creates a version from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the version as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Secret key that identifies the organisation of a caller.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AccessKey(Arc<str>);

impl AccessKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Debug for AccessKey {
    /// Writes a placeholder, so that secrets do not appear in logs.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccessKey(..)")
    }
}

/// Complete configuration of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of this configuration.
    pub version: ConfigurationVersion,
    /// Queues to which callers submit jobs.
    pub queues: Vec<Queue>,
    /// Pools of workers that run the jobs.
    pub services: Vec<Service>,
    /// Organisations whose callers have keys.
    pub organisations: Vec<Organisation>,
    /// Limits of callers' requests. Stored configurations of earlier versions have none.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Document as the operator sent it, returned unchanged when the configuration is read.
    pub document: Arc<str>,
}

/// Limits of callers' requests; the default is what the platform documents.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    /// Maximum size of a body.
    pub max_body_bytes: u64,
    /// Maximum size of the head of a request.
    pub max_header_bytes: u64,
    /// Time limit for the head of a request.
    pub header_timeout_ms: DurationMs,
    /// Time for which a connection stays open without a request.
    pub idle_timeout_ms: DurationMs,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 262_144,
            max_header_bytes: 16_384,
            header_timeout_ms: DurationMs::new(3_000),
            idle_timeout_ms: DurationMs::new(15_000),
        }
    }
}

/// Queue to which callers submit jobs, with the terms that apply to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue, to which accepted jobs refer.
    pub name: QueueName,
    /// Host name that callers address.
    pub host: Arc<str>,
    /// Prefix of the path of a call; the rest of the path is the name of a job.
    pub path_prefix: Arc<str>,
    /// Pool whose workers run the jobs.
    pub service: ServiceName,
    /// Priority of the jobs; 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Number of failed runs of one task or gang after which its job fails.
    pub max_attempts: u32,
    /// Stretch of a job's objective, which is `stretch` times its longest chain of steps, plus
    /// `allowance_ms`.
    pub stretch: f64,
    /// Time that the objective of a job allows beyond its stretched chain of steps.
    pub allowance_ms: DurationMs,
    /// Time limit of one call; at least 1 ms.
    pub call_timeout_ms: DurationMs,
    /// `true` if calls need no key.
    pub public: bool,
}

/// Pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which queues refer to the pool.
    pub name: ServiceName,
    /// `true` if the workers themselves refuse tasks that do not fit.
    pub admission_control: bool,
}

/// Tenant of the platform, with its access keys and guaranteed accelerators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name under which the jobs of the organisation are recorded.
    pub name: OrganisationName,
    /// Keys of the organisation's callers; no other organisation has them.
    pub keys: Vec<AccessKey>,
    /// Number of accelerators that are guaranteed to the organisation's most urgent jobs.
    pub guaranteed_accelerator_count: u32,
}
