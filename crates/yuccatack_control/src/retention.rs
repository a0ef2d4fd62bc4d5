//! Withdraws the records of jobs that ended long ago.
//!
//! Without this the records would grow by about 1.1 kB a job, 8,600 times a day at the design size.

use yuccatack_core::prelude::*;
use yuccatack_leases::LeaseTable;
use yuccatack_records::{Change, Operation, RecordKey, RecordKind, RecordStore, StoredRecord};

/// The most withdrawals proposed at once, so that they never hold up an operator's change.
const BATCH_LIMIT: usize = 100;

/// The withdrawals of job records that the lease table has forgotten, which it does a day after
/// the end of a job.
pub fn withdrawals(records: &RecordStore, leases: &LeaseTable) -> Vec<Change> {
    let forgotten = records.list(RecordKind::Job).filter(|(key, _)| {
        JobName::new(key.name.as_str()).is_ok_and(|job| leases.job(&job).is_none())
    });
    forgotten.take(BATCH_LIMIT).map(|(key, stored)| withdrawal(key, stored)).collect()
}

/// The change id follows from the record, so that a repeated proposal changes nothing.
fn withdrawal(key: &RecordKey, stored: &StoredRecord) -> Change {
    let digest = blake3::hash(key.name.as_str().as_bytes()).to_hex();
    Change {
        change_id: ChangeId::new(&format!("job-retention-{digest}-{}", stored.generation)),
        operation: Operation::Withdraw,
        replaces_generation: stored.generation,
        document: stored.document.clone(),
    }
}
