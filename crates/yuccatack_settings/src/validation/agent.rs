//! Schema of the agent role and the rules between its settings.

use super::section::{Section, check_distinct, check_reachable};
use crate::{Field, FieldKind, Problem};

/// Schema of an agent, in the order of [`AgentSettings`](crate::AgentSettings).
pub(super) const FIELDS: &[Field] = &[
    Field::required("node", FieldKind::Name, "The name of this process."),
    Field::required("data_centre", FieldKind::Name, "The data centre that this process runs in."),
    Field::required(
        "service",
        FieldKind::Name,
        "The service that the minion belongs to; a `service` record has the same name.",
    ),
    Field::required("minion", FieldKind::Name, "The name of the minion."),
    Field::required("minion_address", FieldKind::Address, "Where the minion answers HTTP."),
    Field::required(
        "listen_address",
        FieldKind::Address,
        "Where this agent accepts attempts from entries; it is announced to them as it stands.",
    ),
    Field::optional("metrics_address", FieldKind::Address, "Where metrics and health are served."),
    Field::required(
        "control_addresses",
        FieldKind::Addresses,
        "The control replicas, in any order.",
    ),
    Field::integer(
        "slot_count",
        8,
        (1, 100_000),
        "How many requests the minion runs at once; a hard limit.",
    ),
    Field::integer(
        "connection_count",
        64,
        (1, 100_000),
        "How many connections the minion takes; a hard limit, at least `slot_count`.",
    ),
    Field::integer(
        "drain_limit_ms",
        30_000,
        (0, 600_000),
        "How long a graceful shutdown may take before the process ends with requests in flight.",
    ),
    Field::integer(
        "body_limit_bytes",
        16 * 1024 * 1024,
        (1024, 1024 * 1024 * 1024),
        "The largest response body that is passed on.",
    ),
];

/// Checks that connections suffice for the slots, that advertised addresses are reachable and that
/// no address is used twice.
pub(super) fn check_relations(section: &Section<'_>, problems: &mut Vec<Problem>) {
    check_slots(section, problems);
    let listen = section.addresses("listen_address");
    let minion = section.addresses("minion_address");
    let controls = section.addresses("control_addresses");
    check_reachable(&listen, problems);
    check_reachable(&minion, problems);
    check_reachable(&controls, problems);
    let mut all = listen;
    all.extend(minion);
    all.extend(section.addresses("metrics_address"));
    all.extend(controls);
    check_distinct(&all, problems);
}

/// Checks that each slot can have a connection. An exchange occupies a connection, so that a slot
/// without one could never be used.
fn check_slots(section: &Section<'_>, problems: &mut Vec<Problem>) {
    let (slots, connections) = (section.integer("slot_count"), section.integer("connection_count"));
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        problems.push(Problem::new(
            section.path("connection_count"),
            format!("{connections} connections cannot serve {slots} slots"),
            "set `connection_count` to `slot_count` or more",
        ));
    }
}
