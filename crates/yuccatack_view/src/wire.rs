//! Conversion between the generated protocol types and the types of this crate.

use std::sync::Arc;

use snafu::Snafu;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind};

use crate::generated::view as wire;
use crate::message::{Delta, NodeRole, PublishedRecord, Report, Update, UpdateBody};
use crate::state::{MinionEntry, MinionState, MinionStatus};

/// Error for a received message that does not follow the protocol.
#[derive(Debug, Snafu)]
#[snafu(display(
    "field `{field}` of a view message is not valid: {detail}; run the same version on nodes and \
     control replicas"
))]
pub struct WireError {
    field: &'static str,
    detail: String,
}

fn invalid(field: &'static str, detail: impl ToString) -> WireError {
    WireError { field, detail: detail.to_string() }
}

fn parse_name<Name>(field: &'static str, text: String) -> Result<Name, WireError>
where
    Name: TryFrom<String>,
    Name::Error: ToString,
{
    Name::try_from(text).map_err(|error| invalid(field, error))
}

fn parse_kind(name: &str) -> Result<RecordKind, WireError> {
    RecordKind::from_name(name).ok_or_else(|| invalid("kind", name))
}

impl TryFrom<wire::NodeReport> for Report {
    type Error = WireError;

    fn try_from(report: wire::NodeReport) -> Result<Self, Self::Error> {
        let role = match report.role() {
            wire::NodeRole::Entry => NodeRole::Entry,
            wire::NodeRole::Agent => NodeRole::Agent,
            wire::NodeRole::Unspecified => return Err(invalid("role", "unspecified")),
        };
        Ok(Self {
            node: parse_name("node", report.node)?,
            incarnation: Incarnation::new(report.incarnation),
            role,
            data_centre: parse_name("data_centre", report.data_centre)?,
            sequence: report.sequence,
            applied_revision: Revision::new(report.applied_revision),
            minion: report.minion.map(MinionStatus::try_from).transpose()?,
            leaving: report.leaving,
            received_acknowledgement: report.received_acknowledgement,
        })
    }
}

impl From<Report> for wire::NodeReport {
    fn from(report: Report) -> Self {
        let role = match report.role {
            NodeRole::Entry => wire::NodeRole::Entry,
            NodeRole::Agent => wire::NodeRole::Agent,
        };
        Self {
            node: report.node.to_string(),
            incarnation: report.incarnation.get(),
            role: role.into(),
            data_centre: report.data_centre.to_string(),
            sequence: report.sequence,
            applied_revision: report.applied_revision.get(),
            minion: report.minion.as_ref().map(wire::MinionReport::from),
            leaving: report.leaving,
            received_acknowledgement: report.received_acknowledgement,
        }
    }
}

impl TryFrom<wire::MinionReport> for MinionStatus {
    type Error = WireError;

    fn try_from(report: wire::MinionReport) -> Result<Self, Self::Error> {
        let state = match report.state() {
            wire::MinionState::Ready => MinionState::Ready,
            wire::MinionState::Leaving => MinionState::Leaving,
            wire::MinionState::Unhealthy => MinionState::Unhealthy,
            wire::MinionState::Unspecified => return Err(invalid("state", "unspecified")),
        };
        let address = report.agent_address.parse();
        Ok(Self {
            minion: parse_name("minion", report.minion)?,
            service: parse_name("service", report.service)?,
            agent_address: address.map_err(|error| invalid("agent_address", error))?,
            state,
            slot_count: report.slot_count,
            slots_in_use: report.slots_in_use,
            queued_count: report.queued_count,
            latency_us: report.latency_us,
        })
    }
}

impl From<&MinionStatus> for wire::MinionReport {
    fn from(status: &MinionStatus) -> Self {
        let state = match status.state {
            MinionState::Ready => wire::MinionState::Ready,
            MinionState::Leaving => wire::MinionState::Leaving,
            MinionState::Unhealthy => wire::MinionState::Unhealthy,
        };
        Self {
            minion: status.minion.to_string(),
            service: status.service.to_string(),
            agent_address: status.agent_address.to_string(),
            state: state.into(),
            slot_count: status.slot_count,
            slots_in_use: status.slots_in_use,
            queued_count: status.queued_count,
            latency_us: status.latency_us,
        }
    }
}

impl TryFrom<wire::MinionEntry> for MinionEntry {
    type Error = WireError;

    fn try_from(entry: wire::MinionEntry) -> Result<Self, Self::Error> {
        let report = entry.report.ok_or_else(|| invalid("report", "missing"))?;
        Ok(Self {
            node: parse_name("node", entry.node)?,
            incarnation: Incarnation::new(entry.incarnation),
            data_centre: parse_name("data_centre", entry.data_centre)?,
            status: report.try_into()?,
        })
    }
}

impl From<&MinionEntry> for wire::MinionEntry {
    fn from(entry: &MinionEntry) -> Self {
        Self {
            node: entry.node.to_string(),
            incarnation: entry.incarnation.get(),
            data_centre: entry.data_centre.to_string(),
            report: Some((&entry.status).into()),
        }
    }
}

impl TryFrom<wire::RecordEntry> for PublishedRecord {
    type Error = WireError;

    fn try_from(entry: wire::RecordEntry) -> Result<Self, Self::Error> {
        Ok(Self {
            key: RecordKey {
                kind: parse_kind(&entry.kind)?,
                name: parse_name("name", entry.name)?,
            },
            generation: Generation::new(entry.generation),
            revision: Revision::new(entry.revision),
            document: entry.document_json,
        })
    }
}

impl From<&PublishedRecord> for wire::RecordEntry {
    fn from(record: &PublishedRecord) -> Self {
        Self {
            kind: record.key.kind.as_str().to_owned(),
            name: record.key.name.to_string(),
            generation: record.generation.get(),
            revision: record.revision.get(),
            document_json: record.document.clone(),
        }
    }
}

fn convert_all<Source, Target>(items: Vec<Source>) -> Result<Vec<Arc<Target>>, WireError>
where
    Target: TryFrom<Source, Error = WireError>,
{
    items.into_iter().map(|item| item.try_into().map(Arc::new)).collect()
}

impl TryFrom<wire::ViewUpdate> for Update {
    type Error = WireError;

    fn try_from(update: wire::ViewUpdate) -> Result<Self, Self::Error> {
        let body = match update.body {
            None => None,
            Some(wire::view_update::Body::Snapshot(snapshot)) => Some(UpdateBody::Snapshot {
                records: convert_all(snapshot.records)?,
                minions: convert_all(snapshot.minions)?,
            }),
            Some(wire::view_update::Body::Delta(delta)) => {
                Some(UpdateBody::Delta(delta.try_into()?))
            }
        };
        Ok(Self {
            revision: Revision::new(update.revision),
            acknowledged_sequence: update.acknowledged_sequence,
            oldest_minion_age: DurationMs::new(update.oldest_minion_age_ms),
            body,
        })
    }
}

impl TryFrom<wire::Delta> for Delta {
    type Error = WireError;

    fn try_from(delta: wire::Delta) -> Result<Self, Self::Error> {
        let removed_records = delta.removed_records.into_iter().map(|key| {
            Ok(RecordKey { kind: parse_kind(&key.kind)?, name: parse_name("name", key.name)? })
        });
        let removed_nodes = delta.removed_minion_nodes.into_iter();
        Ok(Self {
            base_revision: Revision::new(delta.base_revision),
            changed_records: convert_all(delta.changed_records)?,
            removed_records: removed_records.collect::<Result<_, _>>()?,
            changed_minions: convert_all(delta.changed_minions)?,
            removed_minion_nodes: removed_nodes
                .map(|node| parse_name("removed_minion_nodes", node))
                .collect::<Result<_, _>>()?,
        })
    }
}

impl From<Update> for wire::ViewUpdate {
    fn from(update: Update) -> Self {
        let body = update.body.map(|body| match body {
            UpdateBody::Snapshot { records, minions } => {
                wire::view_update::Body::Snapshot(wire::Snapshot {
                    records: records.iter().map(|record| record.as_ref().into()).collect(),
                    minions: minions.iter().map(|minion| minion.as_ref().into()).collect(),
                })
            }
            UpdateBody::Delta(delta) => wire::view_update::Body::Delta(delta.into()),
        });
        Self {
            revision: update.revision.get(),
            acknowledged_sequence: update.acknowledged_sequence,
            oldest_minion_age_ms: update.oldest_minion_age.get(),
            body,
        }
    }
}

impl From<Delta> for wire::Delta {
    fn from(delta: Delta) -> Self {
        let removed_records = delta.removed_records.iter().map(|key| wire::RecordKey {
            kind: key.kind.as_str().to_owned(),
            name: key.name.to_string(),
        });
        Self {
            base_revision: delta.base_revision.get(),
            removed_records: removed_records.collect(),
            changed_records: delta.changed_records.iter().map(|r| r.as_ref().into()).collect(),
            changed_minions: delta.changed_minions.iter().map(|m| m.as_ref().into()).collect(),
            removed_minion_nodes: delta
                .removed_minion_nodes
                .iter()
                .map(ToString::to_string)
                .collect(),
        }
    }
}
