//! The types of a configuration.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, OrganisationName, QueueName, ServiceName};

/// The operator's number of a configuration; the highest one is in force.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ConfigurationVersion(u64);

impl ConfigurationVersion {
    /// Wraps the raw number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The raw number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A secret that proves to which organisation a caller belongs.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AccessKey(Arc<str>);

impl AccessKey {
    /// Shares `text`.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Debug for AccessKey {
    /// Secrets stay out of logs.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccessKey(..)")
    }
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number.
    pub version: ConfigurationVersion,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools of workers.
    pub services: Vec<Service>,
    /// The tenants.
    pub organisations: Vec<Organisation>,
    /// The document as the operator sent it, which a read gives back.
    pub document: Arc<str>,
}

/// A queue: where callers submit jobs, and how urgent these are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// The host that callers address.
    pub host: Arc<str>,
    /// What the path of a call begins with; the rest is the name of a job.
    pub path_prefix: Arc<str>,
    /// The pool whose workers run the jobs.
    pub service: ServiceName,
    /// 0 comes first and may preempt others.
    pub priority: u32,
    /// How many failed runs of a task or gang fail its job.
    pub max_attempts: u32,
    /// The objective of a job is this many times its longest chain of work, and the allowance.
    pub stretch: f64,
    /// What a job may take beyond its stretched work.
    pub allowance_ms: DurationMs,
    /// How long one call may take.
    pub call_timeout_ms: DurationMs,
    /// Whether calls need no key.
    pub public: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether the workers themselves refuse what does not fit.
    pub admission_control: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// The keys of its callers.
    pub keys: Vec<AccessKey>,
    /// Accelerators that belong to its most urgent jobs at all times.
    pub guaranteed_accelerator_count: u32,
}
