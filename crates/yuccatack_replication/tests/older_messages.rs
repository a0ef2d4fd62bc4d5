//! Messages of earlier versions, which replicas exchange during a rolling upgrade.
#![allow(clippy::unwrap_used, missing_docs)]

use serde::{Deserialize, Serialize};
use yuccatack_replication::MessageBody;

/// `HeartbeatResponse` as versions before the report of full disks have it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderBody {
    HeartbeatResponse { round: u64 },
}

/// Guards against a rolling upgrade in which replicas of two versions cannot read each other's
/// responses, so that the leader loses its quorum.
#[test]
fn heartbeat_responses() {
    let older = rmp_serde::to_vec_named(&OlderBody::HeartbeatResponse { round: 7 }).unwrap();
    let read: MessageBody = rmp_serde::from_slice(&older).unwrap();
    assert_eq!(read, MessageBody::HeartbeatResponse { round: 7, disk_full: false });

    let newer = MessageBody::HeartbeatResponse { round: 8, disk_full: true };
    let read: OlderBody = rmp_serde::from_slice(&rmp_serde::to_vec_named(&newer).unwrap()).unwrap();
    assert_eq!(read, OlderBody::HeartbeatResponse { round: 8 });
}
