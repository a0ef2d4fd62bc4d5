//! Internal types of the record kinds; all schema versions are converted to them.

use std::fmt;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// The kind of a record.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// A tenant with its quota and limits.
    Organisation,
    /// Capacity that an organisation can claim at any time.
    Guarantee,
    /// A batch job with its shape and command.
    Job,
    /// Scheduling policy: placement weights and reserve.
    Policy,
    /// A pool of minions that serve the same requests.
    Service,
    /// A service-level objective.
    Objective,
    /// Voting control replicas.
    Membership,
}

impl RecordKind {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 7] = [
        Self::Organisation,
        Self::Guarantee,
        Self::Job,
        Self::Policy,
        Self::Service,
        Self::Objective,
        Self::Membership,
    ];

    /// Returns the stable identifier of the kind in documents and messages.
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

    /// Returns the kind with this stable identifier, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The primary key of a record: its kind and name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RecordKey {
    /// Kind, which is the namespace of the name.
    pub kind: RecordKind,
    /// Name, unique within the kind.
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
    /// A tenant with its quota and limits.
    Organisation(OrganisationRecord),
    /// Capacity that an organisation can claim at any time.
    Guarantee(GuaranteeRecord),
    /// A batch job.
    Job(JobRecord),
    /// The scheduling policy.
    Policy(PolicyRecord),
    /// A pool of minions.
    Service(ServiceRecord),
    /// A service-level objective.
    Objective(ObjectiveRecord),
    /// The voting control replicas.
    Membership(MembershipRecord),
}

impl Record {
    /// Returns the kind of the record.
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

    /// Returns the organisation that the record refers to, if its kind has one.
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

/// A tenant with its quota, fair share and request limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationRecord {
    /// Name of the organisation, unique among organisations.
    pub name: OrganisationName,
    /// Maximum number of accelerators that its jobs may hold at once, guaranteed or borrowed.
    pub accelerator_quota_count: u32,
    /// Weight of the organisation in fair sharing when jobs are waiting.
    pub fair_share_weight: u32,
    /// Maximum request rate, in requests per second.
    pub request_rate_per_s: u32,
    /// Maximum number of requests in flight.
    pub request_concurrency_count: u32,
}

/// A number of equal shapes that an organisation can claim at any time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GuaranteeRecord {
    /// Name of the guarantee, unique among guarantees.
    pub name: RecordName,
    /// Organisation that may claim the shapes.
    pub organisation: OrganisationName,
    /// Tasks of the guaranteed shape and the resources of each.
    pub shape: Shape,
    /// Number of these shapes that are guaranteed at the same time.
    pub shape_count: u32,
    /// Data centres that may host the shapes; empty allows all of them.
    pub data_centres: Vec<DataCentreName>,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Name of the job, unique among jobs.
    pub name: JobName,
    /// Organisation whose quota the job counts against.
    pub organisation: OrganisationName,
    /// Tasks of the job and the resources of each.
    pub shape: Shape,
    /// Priority class in scheduling.
    pub class: PriorityClass,
    /// Run time that the organisation expects, in seconds; an estimate that is not enforced.
    pub declared_run_time_s: u64,
    /// `true` if the job may be run again after a lost attempt.
    pub idempotent: bool,
    /// `true` if the job can be stopped at a checkpoint and resumed on other workers.
    pub checkpointable: bool,
    /// Program and arguments that the worker runs.
    pub command: Vec<String>,
}

/// The scheduling policy: placement weights and reserve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// Name of the policy, unique among policies.
    pub name: RecordName,
    /// Weight of the expected completion delay in the placement score.
    pub completion_weight: f64,
    /// Weight of added fragmentation in the placement score.
    pub fragmentation_weight: f64,
    /// Number of healthy workers per data centre that guarantees leave unused, to absorb failures.
    pub reserve_worker_count: u32,
}

/// A pool of minions that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Name of the service, unique among services.
    pub name: ServiceName,
    /// Number of requests that one minion processes concurrently.
    pub slot_count: u32,
    /// Number of connections that one minion accepts.
    pub connection_count: u32,
    /// Maximum number of requests that an entry queues for the service.
    pub queue_length_count: u32,
    /// Deadline of a request whose caller sets none, in milliseconds.
    pub default_deadline_ms: u64,
}

/// A service-level objective: a target share of good events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveRecord {
    /// Name of the objective, unique among objectives.
    pub name: RecordName,
    /// Organisation that the objective covers; `None` covers all organisations.
    pub organisation: Option<OrganisationName>,
    /// Latency that is measured, and the service, class or guarantee that it belongs to.
    pub indicator: Indicator,
    /// Target share of good events, between 0 and 1, for example 0.999.
    pub target_ratio: f64,
    /// Longest duration of a good event, in milliseconds.
    pub threshold_ms: u64,
}

/// The latency that an objective measures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// Time from request to response of a service.
    RequestLatency(ServiceName),
    /// Time from submission to start of the jobs of a class.
    JobStart(PriorityClass),
    /// Time to reclaim a guaranteed shape from borrowers.
    GuaranteeReclaim(RecordName),
}

/// The requested set of voting control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipRecord {
    /// Name of the record, always `control`, because there is only one membership.
    pub name: RecordName,
    /// Requested voters, at least one.
    pub replicas: Vec<MembershipReplica>,
}

/// A control replica that is to be a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipReplica {
    /// Identifier of the replica; a replacement gets a new one.
    pub replica_id: u64,
    /// Address of its internal endpoint for other processes of the system, as `IP:port`.
    pub address: String,
}
