//! Schema version 2 of the membership record.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use yuccatack_core::prelude::*;

use super::checks::Checker;
use crate::problem::RecordProblem;
use crate::record::{MembershipRecord, MembershipReplica};

/// Maximum number of control replicas; the design size has no more.
const MAX_REPLICA_COUNT: usize = 13;
/// Name of the only membership record.
const MEMBERSHIP_NAME: &str = "control";

/// Entry of a replica in a membership document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaV2 {
    pub(super) replica_id: u64,
    pub(super) address: String,
}

/// Document of the membership in schema version 2.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipV2 {
    pub(super) name: Option<String>,
    pub(super) replicas: Option<Vec<ReplicaV2>>,
}

impl TryFrom<MembershipV2> for MembershipRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: MembershipV2) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name: Option<RecordName> = checker.required_name("name", wire.name);
        if name.as_ref().is_some_and(|name| name.as_str() != MEMBERSHIP_NAME) {
            checker
                .report_inconsistent("name", "there is one membership record; name it `control`");
        }
        let replicas = checker.required("replicas", wire.replicas);
        let count = replicas.as_ref().map(Vec::len);
        checker.range("replicas (number of entries)", count, 1, MAX_REPLICA_COUNT);
        let replicas = replicas.map(|replicas| check_replicas(&mut checker, replicas));
        let record = (|| Some(Self { name: name?, replicas: replicas? }))();
        checker.finish(record)
    }
}

/// Converts the replicas, and reports invalid and repeated identifiers and addresses.
fn check_replicas(checker: &mut Checker, wire: Vec<ReplicaV2>) -> Vec<MembershipReplica> {
    let mut ids = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    let mut replicas = Vec::new();
    for (index, replica) in wire.into_iter().enumerate() {
        let id_field = format!("replicas[{index}].replica_id");
        checker.range(&id_field, Some(replica.replica_id), 1, u64::MAX);
        if replica.address.parse::<SocketAddr>().is_err() {
            checker.report_inconsistent(
                &format!("replicas[{index}].address"),
                format!("`{}` is not `IP:port`; write for example 10.0.0.1:7100", replica.address),
            );
        }
        if !ids.insert(replica.replica_id) {
            let entry = replica.replica_id.to_string();
            checker.report(RecordProblem::DuplicateEntry { field: "replicas".to_owned(), entry });
        }
        if !addresses.insert(replica.address.clone()) {
            let entry = replica.address.clone();
            checker.report(RecordProblem::DuplicateEntry { field: "replicas".to_owned(), entry });
        }
        replicas
            .push(MembershipReplica { replica_id: replica.replica_id, address: replica.address });
    }
    replicas
}
