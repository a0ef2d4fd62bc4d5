//! Conversion of records and minions in the view into inputs of the balancer.

use yuccatack_admission::OrganisationLimits;
use yuccatack_core::prelude::*;
use yuccatack_records::{OrganisationRecord, Record, RecordKind, ServiceRecord};
use yuccatack_requests::dispatch::Target;
use yuccatack_requests::routing::MinionLoad;
use yuccatack_view::{MinionEntry, MinionState, RecordKey, View};

/// Limits of an organisation that has no record.
pub const DEFAULT_LIMITS: OrganisationLimits =
    OrganisationLimits { rate_per_s: 1_000, concurrency_count: 1_000 };

fn minion_load(entry: &MinionEntry) -> MinionLoad {
    MinionLoad {
        target: Target {
            node: entry.node.clone(),
            incarnation: entry.incarnation,
            address: entry.status.agent_address,
        },
        data_centre: entry.data_centre.clone(),
        service: entry.status.service.clone(),
        ready: entry.status.state == MinionState::Ready,
        slot_count: entry.status.slot_count,
        slots_in_use: entry.status.slots_in_use,
        latency_us: entry.status.latency_us,
    }
}

/// Converts every minion in the view into an input of the router.
pub fn minion_loads(view: &View) -> Vec<MinionLoad> {
    view.minions.values().map(|entry| minion_load(entry)).collect()
}

fn record<'a>(view: &'a View, kind: RecordKind, name: &str) -> Option<&'a Record> {
    let key = RecordKey { kind, name: RecordName::new(name).ok()? };
    view.records.get(&key).map(|entry| &entry.record)
}

/// Returns the record of an organisation, if the view has one.
pub fn organisation_record<'a>(
    view: &'a View,
    name: &OrganisationName,
) -> Option<&'a OrganisationRecord> {
    match record(view, RecordKind::Organisation, name.as_str())? {
        Record::Organisation(record) => Some(record),
        _ => None,
    }
}

/// Returns the record of a service, if the view has one.
pub fn service_record<'a>(view: &'a View, name: &ServiceName) -> Option<&'a ServiceRecord> {
    match record(view, RecordKind::Service, name.as_str())? {
        Record::Service(record) => Some(record),
        _ => None,
    }
}
