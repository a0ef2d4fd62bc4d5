//! Schema of the entry role and the rules between its settings.

use super::section::{Section, check_distinct, check_reachable};
use crate::{Field, FieldKind, Problem};

/// Schema of an entry, in the order of [`EntrySettings`](crate::EntrySettings).
pub(super) const FIELDS: &[Field] = &[
    Field::required("node", FieldKind::Name, "The name of this process."),
    Field::required(
        "data_centre",
        FieldKind::Name,
        "The data centre that this process runs in; its own minions are preferred.",
    ),
    Field::required(
        "listen_address",
        FieldKind::Address,
        "Where callers and operators connect over HTTP.",
    ),
    Field::optional("metrics_address", FieldKind::Address, "Where metrics and health are served."),
    Field::required(
        "control_addresses",
        FieldKind::Addresses,
        "The control replicas, in any order.",
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
        "The largest request body that is accepted.",
    ),
    Field::integer(
        "receive_limit_ms",
        10_000,
        (100, 600_000),
        "How long a caller may take to send its request.",
    ),
];

/// Checks that control addresses are reachable and that no address is used twice.
pub(super) fn check_relations(section: &Section<'_>, problems: &mut Vec<Problem>) {
    let controls = section.addresses("control_addresses");
    check_reachable(&controls, problems);
    let mut all = section.addresses("listen_address");
    all.extend(section.addresses("metrics_address"));
    all.extend(controls);
    check_distinct(&all, problems);
}
