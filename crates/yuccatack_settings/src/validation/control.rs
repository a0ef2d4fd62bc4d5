//! Schema of the control role and the rules between its settings.

use std::net::SocketAddr;

use serde_yaml_ng::Value;

use super::describe;
use super::section::{AddressSetting, Section, check_distinct, check_reachable, parse_address};
use crate::{Field, FieldKind, Problem};

/// Maximum number of control replicas, which is the design limit of control VMs per deployment.
const MAX_REPLICA_COUNT: usize = 13;

/// Schema of a control replica, in the order of [`ControlSettings`](crate::ControlSettings).
pub(super) const FIELDS: &[Field] = &[
    Field::required("node", FieldKind::Name, "The name of this process."),
    Field::required("data_centre", FieldKind::Name, "The data centre that this process runs in."),
    Field::required(
        "replica_id",
        FieldKind::Integer { minimum: 1, maximum: u64::MAX },
        "The number of this replica. It is unique for the life of the deployment; a replacement \
         gets a new one.",
    ),
    Field::required(
        "listen_address",
        FieldKind::Address,
        "Where this replica answers the system's own processes.",
    ),
    Field::required(
        "worker_address",
        FieldKind::Address,
        "Where this replica answers the heartbeats of workers over HTTP.",
    ),
    Field::optional("metrics_address", FieldKind::Address, "Where metrics and health are served."),
    Field::required(
        "data_folder",
        FieldKind::Folder,
        "The folder that holds all durable state, on a disk of this machine.",
    ),
    Field::required(
        "initial_replicas",
        FieldKind::Replicas,
        "The voters with which a new deployment starts, the same list on each of them.",
    ),
    Field::integer("heartbeat_ms", 50, (10, 10_000), "How often a leader sends a heartbeat."),
    Field::integer(
        "election_timeout_ms",
        250,
        (50, 60_000),
        "The shortest election timeout; the longest is twice as long. At least three times \
         `heartbeat_ms`.",
    ),
    Field::integer(
        "claim_age_limit_ms",
        24 * 60 * 60 * 1000,
        (60_000, 30 * 24 * 60 * 60 * 1000),
        "How long request claims are kept; an older key is refused.",
    ),
    Field::integer(
        "claim_count_limit",
        1_000_000,
        (1, 100_000_000),
        "How many request claims are kept at most.",
    ),
    Field::integer(
        "snapshot_entry_count",
        10_000,
        (100, 10_000_000),
        "How many log entries are kept before a snapshot replaces them.",
    ),
    Field::integer(
        "disk_limit_bytes",
        1024 * 1024 * 1024,
        (32 * 1024 * 1024, 1 << 50),
        "How much of its disk `data_folder` may use; configurations and jobs are refused before \
         the disk is full.",
    ),
    Field::integer(
        "drain_limit_ms",
        10_000,
        (0, 600_000),
        "How long a graceful shutdown may take, the transfer of leadership included.",
    ),
];

/// Schema of an element of `initial_replicas`.
pub const REPLICA_FIELDS: &[Field] = &[
    Field::required(
        "replica_id",
        FieldKind::Integer { minimum: 1, maximum: u64::MAX },
        "The number of the replica.",
    ),
    Field::required(
        "address",
        FieldKind::Address,
        "Where the replica answers the system's own processes.",
    ),
];

/// Element of `initial_replicas`; invalid values are `None`.
struct ReplicaElement {
    path: String,
    replica_id: Option<u64>,
    address: Option<AddressSetting>,
}

/// Checks the length and the elements of `initial_replicas`, without regard to other settings.
pub(super) fn check_replicas(path: &str, value: &Value, problems: &mut Vec<Problem>) {
    let Some(elements) = value.as_sequence() else {
        let remedy = "give a list of replicas, each with `replica_id` and `address`";
        problems.push(Problem::new(path, format!("found {}", describe(value)), remedy));
        return;
    };
    if elements.is_empty() {
        problems.push(Problem::new(path, "the list is empty", "list at least this replica"));
    }
    if elements.len() > MAX_REPLICA_COUNT {
        let found = format!("{} replicas", elements.len());
        let remedy = format!("list {MAX_REPLICA_COUNT} at most; 3 or 5 are usual");
        problems.push(Problem::new(path, found, remedy));
    }
    for (index, element) in elements.iter().enumerate() {
        let path = format!("{path}[{index}]");
        match element.as_mapping() {
            Some(mapping) => {
                let prefix = format!("{path}.");
                problems.extend(Section::new(mapping, REPLICA_FIELDS, &prefix).check_fields());
            }
            None => problems.push(Problem::new(
                path,
                format!("found {}", describe(element)),
                "give `replica_id` and `address`",
            )),
        }
    }
}

/// Checks the timeouts, the list of replicas and that no address is used twice.
pub(super) fn check_relations(section: &Section<'_>, problems: &mut Vec<Problem>) {
    check_timing(section, problems);
    let replicas = parse_replicas(section);
    check_identifiers(&replicas, problems);
    check_own_replica(section, &replicas, problems);
    let addresses: Vec<AddressSetting> =
        replicas.iter().filter_map(|replica| replica.address.clone()).collect();
    check_reachable(&addresses, problems);
    check_distinct(&addresses, problems);
    let mut own = section.addresses("listen_address");
    own.extend(section.addresses("worker_address"));
    own.extend(section.addresses("metrics_address"));
    check_distinct(&own, problems);
}

fn check_timing(section: &Section<'_>, problems: &mut Vec<Problem>) {
    let (heartbeat, election) =
        (section.integer("heartbeat_ms"), section.integer("election_timeout_ms"));
    // A single lost or late heartbeat must not start an election.
    if let (Some(heartbeat), Some(election)) = (heartbeat, election)
        && election < heartbeat.saturating_mul(3)
    {
        problems.push(Problem::new(
            section.path("election_timeout_ms"),
            format!("{election} ms is less than three heartbeats of {heartbeat} ms"),
            "raise `election_timeout_ms` or lower `heartbeat_ms`",
        ));
    }
}

fn parse_replicas(section: &Section<'_>) -> Vec<ReplicaElement> {
    let path = section.path("initial_replicas");
    let Some(elements) = section.value("initial_replicas").and_then(Value::as_sequence) else {
        return Vec::new();
    };
    let parse = |(index, element): (usize, &Value)| {
        let path = format!("{path}[{index}]");
        let replica_id = element.get("replica_id").and_then(Value::as_u64);
        let address_path = format!("{path}.address");
        let address = element.get("address").and_then(|value| parse_address(address_path, value));
        ReplicaElement { path, replica_id, address }
    };
    elements.iter().enumerate().map(parse).collect()
}

fn check_identifiers(replicas: &[ReplicaElement], problems: &mut Vec<Problem>) {
    for (index, replica) in replicas.iter().enumerate() {
        let Some(replica_id) = replica.replica_id else { continue };
        let mut earlier = replicas[..index].iter();
        if let Some(first) = earlier.find(|other| other.replica_id == Some(replica_id)) {
            problems.push(Problem::new(
                format!("{}.replica_id", replica.path),
                format!("`{replica_id}` is also the number of `{}`", first.path),
                "give each replica its own number",
            ));
        }
    }
}

fn check_own_replica(
    section: &Section<'_>,
    replicas: &[ReplicaElement],
    problems: &mut Vec<Problem>,
) {
    let Some(replica_id) = section.integer("replica_id") else { return };
    if replicas.is_empty() {
        return;
    }
    let Some(own) = replicas.iter().find(|replica| replica.replica_id == Some(replica_id)) else {
        problems.push(Problem::new(
            section.path("replica_id"),
            format!("no element of `initial_replicas` has the number {replica_id}"),
            "add this replica to the list or correct the number",
        ));
        return;
    };
    let listen = section.addresses("listen_address");
    if let (Some(listen), Some(listed)) = (listen.first(), &own.address)
        && !is_served_by(listed.address, listen.address)
    {
        problems.push(Problem::new(
            &listed.path,
            format!("`{}` differs from `listen_address` {}", listed.address, listen.address),
            "give the address at which this replica listens",
        ));
    }
}

/// Returns `true` if a connection to `listed` reaches a socket bound to `listen`.
fn is_served_by(listed: SocketAddr, listen: SocketAddr) -> bool {
    listed.port() == listen.port() && (listen.ip().is_unspecified() || listed.ip() == listen.ip())
}
