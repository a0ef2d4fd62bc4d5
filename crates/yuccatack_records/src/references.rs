//! Referential integrity between records: the targets of a record and its dependants.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;

use crate::change::{Refusal, RefusalKind};
use crate::record::{Indicator, Record, RecordKey, RecordKind};
use crate::store::StoredRecord;

type Records = BTreeMap<RecordKey, StoredRecord>;

/// Maximum number of dependants named in one refusal; the message states the total.
const MAX_LISTED_DEPENDANT_COUNT: usize = 5;

/// Checks that every record that `record` refers to is in force.
pub fn check_targets(records: &Records, record: &Record) -> Result<(), Refusal> {
    let missing: Vec<RecordKey> =
        targets(record).into_iter().filter(|key| !records.contains_key(key)).collect();
    let Some(first) = missing.first() else { return Ok(()) };
    let kind = if first.kind == RecordKind::Organisation {
        RefusalKind::UnknownOrganisation
    } else {
        RefusalKind::UnknownReference
    };
    let missing: Vec<String> = missing.iter().map(ToString::to_string).collect();
    let message = format!(
        "the record refers to something that is not in force: {}; submit it first or correct the \
         name, then send this with a new change id",
        missing.join(", ")
    );
    Err(Refusal::new(kind, &message))
}

/// Checks that no record in force refers to `key`, so that a withdrawal leaves no dangling
/// reference.
pub fn check_dependants(records: &Records, key: &RecordKey) -> Result<(), Refusal> {
    let can_be_target = match key.kind {
        RecordKind::Organisation | RecordKind::Service | RecordKind::Guarantee => true,
        RecordKind::Job | RecordKind::Policy | RecordKind::Objective | RecordKind::Membership => {
            false
        }
    };
    if !can_be_target {
        return Ok(());
    }
    let refers = |stored: &StoredRecord| targets(&stored.record).contains(key);
    let dependants: Vec<String> = records
        .iter()
        .filter(|(_, stored)| refers(stored))
        .map(|(dependant, _)| dependant.to_string())
        .collect();
    if dependants.is_empty() {
        return Ok(());
    }
    let listed = dependants[..dependants.len().min(MAX_LISTED_DEPENDANT_COUNT)].join(", ");
    let message = format!(
        "{} records refer to {key} (first ones: {listed}); withdraw them first",
        dependants.len()
    );
    Err(Refusal::new(RefusalKind::InUse, &message))
}

fn targets(record: &Record) -> Vec<RecordKey> {
    let mut keys = Vec::new();
    let mut add = |kind, name: &str| {
        // All name types have the same syntax, so the conversion cannot fail.
        if let Ok(name) = RecordName::new(name) {
            keys.push(RecordKey { kind, name });
        }
    };
    if let Some(organisation) = record.organisation() {
        add(RecordKind::Organisation, organisation.as_str());
    }
    if let Record::Objective(objective) = record {
        match &objective.indicator {
            Indicator::RequestLatency(service) => add(RecordKind::Service, service.as_str()),
            Indicator::GuaranteeReclaim(guarantee) => {
                add(RecordKind::Guarantee, guarantee.as_str());
            }
            Indicator::JobStart(_) => {}
        }
    }
    keys
}
