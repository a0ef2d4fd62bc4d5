//! The one internal type of each record kind; every schema version is converted into it.

use std::fmt;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// The kinds of record.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// A tenant with its quota and limits.
    Organisation,
    /// A shape that an organisation can always claim.
    Guarantee,
    /// A job to run.
    Job,
    /// Weights and reserve of the scheduling policy.
    Policy,
    /// A pool of minions.
    Service,
    /// A service-level objective.
    Objective,
    /// The control replicas.
    Membership,
}

impl RecordKind {
    /// Every kind.
    pub const ALL: [Self; 7] = [
        Self::Organisation,
        Self::Guarantee,
        Self::Job,
        Self::Policy,
        Self::Service,
        Self::Objective,
        Self::Membership,
    ];

    /// The word that stands for the kind in documents and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Guarantee => "guarantee",
            Self::Job => "job",
            Self::Policy => "policy",
            Self::Service => "service",
            Self::Objective => "objective",
            Self::Membership => "membership",
        }
    }

    /// Returns the kind with this stable name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The kind and name of a record.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RecordKey {
    /// The kind.
    pub kind: RecordKind,
    /// The name.
    pub name: RecordName,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} `{}`", self.kind, self.name)
    }
}

/// A record of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// See [`OrganisationRecord`].
    Organisation(OrganisationRecord),
    /// See [`GuaranteeRecord`].
    Guarantee(GuaranteeRecord),
    /// See [`JobRecord`].
    Job(JobRecord),
    /// See [`PolicyRecord`].
    Policy(PolicyRecord),
    /// See [`ServiceRecord`].
    Service(ServiceRecord),
    /// See [`ObjectiveRecord`].
    Objective(ObjectiveRecord),
    /// See [`MembershipRecord`].
    Membership(MembershipRecord),
}

impl Record {
    /// The kind of the record.
    pub const fn kind(&self) -> RecordKind {
        match self {
            Self::Organisation(_) => RecordKind::Organisation,
            Self::Guarantee(_) => RecordKind::Guarantee,
            Self::Job(_) => RecordKind::Job,
            Self::Policy(_) => RecordKind::Policy,
            Self::Service(_) => RecordKind::Service,
            Self::Objective(_) => RecordKind::Objective,
            Self::Membership(_) => RecordKind::Membership,
        }
    }

    /// The organisation that the record refers to.
    pub const fn organisation(&self) -> Option<&OrganisationName> {
        match self {
            Self::Guarantee(guarantee) => Some(&guarantee.organisation),
            Self::Job(job) => Some(&job.organisation),
            Self::Objective(objective) => objective.organisation.as_ref(),
            Self::Organisation(_) | Self::Policy(_) | Self::Service(_) | Self::Membership(_) => {
                None
            }
        }
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationRecord {
    /// The organisation.
    pub name: OrganisationName,
    /// The most accelerators that its jobs may hold at once, guaranteed or borrowed.
    pub accelerator_quota_count: u32,
    /// Its share in comparison with others when work queues up.
    pub fair_share_weight: u32,
    /// The most requests a second that it may send.
    pub request_rate_per_s: u32,
    /// The most requests that it may have in flight.
    pub request_concurrency_count: u32,
}

/// A guaranteed shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GuaranteeRecord {
    /// The guarantee.
    pub name: RecordName,
    /// Who holds it.
    pub organisation: OrganisationName,
    /// The guaranteed shape.
    pub shape: Shape,
    /// How many of these shapes are guaranteed at once.
    pub shape_count: u32,
    /// Where the shapes may lie; empty means anywhere.
    pub data_centres: Vec<DataCentreName>,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub name: JobName,
    /// Who runs it.
    pub organisation: OrganisationName,
    /// What it occupies.
    pub shape: Shape,
    /// How urgent it is.
    pub class: PriorityClass,
    /// The run time that the organisation expects; advice only.
    pub declared_run_time_s: u64,
    /// Whether the job may be run again after a lost attempt.
    pub idempotent: bool,
    /// Whether the job can be stopped at a checkpoint and go on elsewhere.
    pub checkpointable: bool,
    /// The command line that the worker runs.
    pub command: Vec<String>,
}

/// Weights and reserve of the scheduling policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// The policy.
    pub name: RecordName,
    /// The weight of the expected completion delay.
    pub completion_weight: f64,
    /// The weight of growth in fragmentation.
    pub fragmentation_weight: f64,
    /// The healthy workers per data centre that guarantees leave unused, for failures.
    pub reserve_worker_count: u32,
}

/// A pool of minions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// The service.
    pub name: ServiceName,
    /// The requests that one minion runs at once.
    pub slot_count: u32,
    /// The connections that one minion takes.
    pub connection_count: u32,
    /// The requests that an entry queues for the service.
    pub queue_length_count: u32,
    /// The time that a request may take when its caller states none.
    pub default_deadline_ms: u64,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveRecord {
    /// The objective.
    pub name: RecordName,
    /// The organisation it covers; `None` covers all.
    pub organisation: Option<OrganisationName>,
    /// What is measured.
    pub indicator: Indicator,
    /// The share of good events that is promised, for example 0.999.
    pub target_ratio: f64,
    /// The slowest good event.
    pub threshold_ms: u64,
}

/// What an objective measures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// The time to the answer of requests to a service.
    RequestLatency(ServiceName),
    /// The time from submission to start of jobs of a class.
    JobStart(PriorityClass),
    /// The time to reclaim a guaranteed shape.
    GuaranteeReclaim(RecordName),
}

/// The control replicas that shall vote.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipRecord {
    /// The record; there is one, named `control`.
    pub name: RecordName,
    /// The wanted replicas.
    pub replicas: Vec<MembershipReplica>,
}

/// One wanted control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipReplica {
    /// The number of the replica; a replacement gets a new one.
    pub replica_id: u64,
    /// Where it answers the system's own processes, as `IP:port`.
    pub address: String,
}
