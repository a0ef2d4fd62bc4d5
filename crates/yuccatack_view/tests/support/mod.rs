//! Builders of messages, records and minions for the tests.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

use bytes::Bytes;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind};
use yuccatack_view::{MinionState, MinionStatus, NodeRole, PublishedRecord, RecordUpdate, Report};

pub fn at(milliseconds: u64) -> TimestampMs {
    TimestampMs::new(milliseconds)
}

pub fn key(name: &str) -> RecordKey {
    RecordKey { kind: RecordKind::Organisation, name: RecordName::new(name).unwrap() }
}

pub fn organisation(name: &str, revision: u64) -> RecordUpdate {
    let document = format!(
        r#"{{"schema_version":1,"kind":"organisation","name":"{name}","gpu_quota":{revision}}}"#
    );
    RecordUpdate {
        revision: Revision::new(revision),
        changed: vec![PublishedRecord {
            key: key(name),
            generation: Generation::new(revision),
            revision: Revision::new(revision),
            document: Bytes::from(document),
        }],
        removed: Vec::new(),
    }
}

pub fn withdrawal(name: &str, revision: u64) -> RecordUpdate {
    RecordUpdate {
        revision: Revision::new(revision),
        changed: Vec::new(),
        removed: vec![key(name)],
    }
}

pub fn minion(name: &str, state: MinionState, slots_in_use: u32) -> MinionStatus {
    MinionStatus {
        minion: MinionName::new(name).unwrap(),
        service: ServiceName::new("rank").unwrap(),
        agent_address: "127.0.0.1:9".parse().unwrap(),
        state,
        slot_count: 8,
        slots_in_use,
        queued_count: 1,
        latency_us: 2,
    }
}

pub fn report(node: &str, role: NodeRole, sequence: u64, applied: u64) -> Report {
    Report {
        node: NodeName::new(node).unwrap(),
        incarnation: Incarnation::new(7),
        role,
        data_centre: DataCentreName::new("desaru").unwrap(),
        sequence,
        applied_revision: Revision::new(applied),
        minion: None,
        leaving: false,
        received_acknowledgement: 0,
    }
}
