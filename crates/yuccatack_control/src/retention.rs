//! Withdraws the records of jobs that ended long ago.
//!
//! Otherwise the records would grow by about 1.1 kB for each job, 8,600 times a day at the design
//! size.

use yuccatack_core::prelude::*;
use yuccatack_leases::LeaseTable;
use yuccatack_records::{Change, Operation, RecordKey, RecordKind, RecordStore, StoredRecord};

/// Maximum number of withdrawals proposed at once, so that they never delay an operator's change.
const MAX_BATCH_COUNT: usize = 100;

/// Returns withdrawals for the records of jobs that the lease table has evicted, which it does a
/// day after the end of a job.
pub fn withdrawals(records: &RecordStore, leases: &LeaseTable) -> Vec<Change> {
    let evicted = records.list(RecordKind::Job).filter(|(key, _)| {
        JobName::new(key.name.as_str()).is_ok_and(|job| leases.job(&job).is_none())
    });
    evicted.take(MAX_BATCH_COUNT).map(|(key, stored)| withdrawal(key, stored)).collect()
}

/// Builds the withdrawal of a job record. The change id is derived from the record, so that a
/// repeated proposal has no effect.
fn withdrawal(key: &RecordKey, stored: &StoredRecord) -> Change {
    let digest = blake3::hash(key.name.as_str().as_bytes()).to_hex();
    Change {
        change_id: ChangeId::new(&format!("job-retention-{digest}-{}", stored.generation)),
        operation: Operation::Withdraw,
        replaces_generation: stored.generation,
        document: stored.document.clone(),
    }
}
