//! Encoding and decoding of reports and updates.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use support::{key, minion, organisation, report};
use yuccatack_core::prelude::*;
use yuccatack_view::generated::view as wire;
use yuccatack_view::{Delta, MinionEntry, MinionState, NodeRole, Report, Update, UpdateBody};

fn entry(node: &str, state: MinionState) -> Arc<MinionEntry> {
    Arc::new(MinionEntry {
        node: NodeName::new(node).unwrap(),
        incarnation: Incarnation::new(3),
        data_centre: DataCentreName::new("langkawi").unwrap(),
        status: minion("m", state, 4),
    })
}

/// Guards against a field that the conversion drops or swaps with another one.
#[test]
fn messages_round_trip() {
    let mut sent = report("agent", NodeRole::Agent, 9, 8);
    sent.minion = Some(minion("m", MinionState::Unhealthy, 3));
    sent.leaving = true;
    sent.received_acknowledgement = 5;
    let received = Report::try_from(wire::NodeReport::from(sent.clone())).unwrap();
    assert_eq!(received, sent);
    let records: Vec<_> = organisation("tri", 4).changed.into_iter().map(Arc::new).collect();
    let snapshot = UpdateBody::Snapshot {
        records: records.clone(),
        minions: vec![entry("a", MinionState::Ready), entry("b", MinionState::Leaving)],
    };
    let delta = UpdateBody::Delta(Delta {
        base_revision: Revision::new(3),
        changed_records: records,
        removed_records: vec![key("fin")],
        changed_minions: vec![entry("a", MinionState::Unhealthy)],
        removed_minion_nodes: vec![NodeName::new("c").unwrap()],
    });
    for body in [None, Some(snapshot), Some(delta)] {
        let sent = Update {
            revision: Revision::new(4),
            acknowledged_sequence: 11,
            oldest_minion_age: DurationMs::new(12),
            body,
        };
        assert_eq!(Update::try_from(wire::ViewUpdate::from(sent.clone())).unwrap(), sent);
    }
}

/// Guards against a message of another version that is misinterpreted instead of rejected.
#[test]
fn invalid_reports_are_rejected() {
    let valid = wire::NodeReport::from(report("agent", NodeRole::Agent, 1, 1));
    let invalid = [
        wire::NodeReport { role: 0, ..valid.clone() },
        wire::NodeReport { role: 99, ..valid.clone() },
        wire::NodeReport { node: String::new(), ..valid.clone() },
        wire::NodeReport { data_centre: "a b".to_owned(), ..valid.clone() },
        wire::NodeReport { minion: Some(wire::MinionReport::default()), ..valid },
    ];
    for report in invalid {
        let error = Report::try_from(report).unwrap_err().to_string();
        assert!(error.contains("run the same version"), "{error}");
    }
}
