//! Conversion of records into specifications for the scheduler.

use yuccatack_core::prelude::*;
use yuccatack_leases::{GuaranteeSpec, JobSpec, LeaseCommand, PolicySpec, QuotaSpec};
use yuccatack_records::{
    GuaranteeRecord, JobRecord, OrganisationRecord, PolicyRecord, RecordKey, RecordKind,
};

/// Returns the specification of a job.
pub fn job(record: &JobRecord) -> JobSpec {
    JobSpec {
        name: record.name.clone(),
        organisation: record.organisation.clone(),
        shape: record.shape,
        class: record.class,
        declared_run_time_s: record.declared_run_time_s,
        idempotent: record.idempotent,
        checkpointable: record.checkpointable,
        command: record.command.clone(),
    }
}

/// Returns the specification of a guarantee.
pub fn guarantee(record: &GuaranteeRecord) -> GuaranteeSpec {
    GuaranteeSpec {
        name: record.name.clone(),
        organisation: record.organisation.clone(),
        shape: record.shape,
        shape_count: record.shape_count,
        data_centres: record.data_centres.clone(),
    }
}

/// Returns the accelerator quota and the fair-share weight of an organisation.
pub fn quota(record: &OrganisationRecord) -> QuotaSpec {
    QuotaSpec {
        organisation: record.name.clone(),
        accelerator_quota_count: record.accelerator_quota_count,
        fair_share_weight: record.fair_share_weight,
    }
}

/// Returns the weights and the reserve of the scheduling policy.
pub fn policy(record: &PolicyRecord) -> PolicySpec {
    PolicySpec {
        completion_weight: record.completion_weight,
        fragmentation_weight: record.fragmentation_weight,
        reserve_worker_count: record.reserve_worker_count,
    }
}

/// Returns the lease command that follows from the withdrawal of a record, if there is one.
pub fn withdrawal(key: &RecordKey, at: TimestampMs) -> Option<LeaseCommand> {
    let name = key.name.as_str();
    match key.kind {
        RecordKind::Job => {
            let job = JobName::new(name).ok()?;
            Some(LeaseCommand::CancelJobs { jobs: vec![job], at })
        }
        RecordKind::Guarantee => Some(LeaseCommand::RemoveGuarantee(key.name.clone())),
        RecordKind::Organisation => {
            Some(LeaseCommand::RemoveQuota(OrganisationName::new(name).ok()?))
        }
        RecordKind::Policy => Some(LeaseCommand::SetPolicy(PolicySpec::default())),
        RecordKind::Service | RecordKind::Objective | RecordKind::Membership => None,
    }
}
