//! Guards against invalid settings that are accepted, or rejected without the key and the remedy.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{AGENT, CONTROL, ENTRY, remove, set, set_list};
use yuccatack_settings::check_text;

const REPLICA_1: &str = "{replica_id: 1, address: 10.1.0.1:7401}";
const REPLICA_2: &str = "{replica_id: 2, address: 10.2.0.1:7401}";

fn cases() -> Vec<(&'static str, String)> {
    let replicas = |elements: &[&str]| set_list(CONTROL, "initial_replicas", elements);
    vec![
        ("empty file", String::new()),
        ("no YAML", "role: [control".to_owned()),
        ("a list", "- role: control".to_owned()),
        ("two documents", format!("{ENTRY}---\n{ENTRY}")),
        ("key twice", format!("{ENTRY}node: entry-2\n")),
        ("role missing", remove(ENTRY, "role")),
        ("role unknown", set(ENTRY, "role", "router")),
        ("key unknown", set(CONTROL, "colour", "green")),
        ("key misspelt", set(CONTROL, "hartbeat_ms", "50")),
        ("key of another role", set(ENTRY, "minion_address", "10.1.0.3:8080")),
        ("seconds for milliseconds", set(CONTROL, "drain_limit_s", "6")),
        ("no unit", set(CONTROL, "election_timeout", "250")),
        ("mebibytes for bytes", set(ENTRY, "body_limit_mib", "16")),
        ("count without unit", set(AGENT, "slots", "8")),
        ("required key missing", remove(CONTROL, "data_folder")),
        ("required list missing", remove(AGENT, "control_addresses")),
        ("name missing", remove(AGENT, "minion")),
        ("unit in the value", set(CONTROL, "drain_limit_ms", "6s")),
        ("fraction", set(CONTROL, "drain_limit_ms", "6000.5")),
        ("negative", set(CONTROL, "drain_limit_ms", "-1")),
        ("number as text", set(CONTROL, "drain_limit_ms", "'6000'")),
        ("no value", set(CONTROL, "drain_limit_ms", "")),
        ("heartbeat too short", set(CONTROL, "heartbeat_ms", "1")),
        ("drain too long", set(CONTROL, "drain_limit_ms", "86400000")),
        ("zero slots", set(AGENT, "slot_count", "0")),
        ("zero connections", set(AGENT, "connection_count", "0")),
        ("fewer connections than slots", set(AGENT, "connection_count", "4")),
        ("zero replica number", set(CONTROL, "replica_id", "0")),
        ("body limit zero", set(ENTRY, "body_limit_bytes", "0")),
        ("claim limit zero", set(CONTROL, "claim_count_limit", "0")),
        ("claim age too long", set(CONTROL, "claim_age_limit_ms", "99999999999")),
        ("name with a space", set(ENTRY, "node", "entry 1")),
        ("name as a number", set(ENTRY, "data_centre", "7")),
        ("name empty", set(AGENT, "service", "''")),
        ("host name", set(ENTRY, "listen_address", "entry-1.example:7400")),
        ("address without port", set(ENTRY, "listen_address", "10.1.0.2")),
        ("port zero", set(ENTRY, "listen_address", "10.1.0.2:0")),
        ("port too large", set(ENTRY, "metrics_address", "10.1.0.2:99999")),
        ("relative folder", set(CONTROL, "data_folder", "data")),
        ("one address, no list", set(ENTRY, "control_addresses", "10.1.0.1:7401")),
        ("empty control addresses", set(ENTRY, "control_addresses", "[]")),
        ("bad element", set(ENTRY, "control_addresses", "[10.1.0.1:7401, control-2]")),
        (
            "control address twice",
            set(ENTRY, "control_addresses", "[10.1.0.1:7401, 10.1.0.1:7401]"),
        ),
        ("unreachable control address", set(ENTRY, "control_addresses", "[0.0.0.0:7401]")),
        ("entry talks to itself", set(ENTRY, "control_addresses", "['10.1.0.2:7400']")),
        ("unreachable agent", set(AGENT, "listen_address", "0.0.0.0:7403")),
        ("agent is its own minion", set(AGENT, "minion_address", "10.1.0.3:7403")),
        ("metrics on the worker port", set(CONTROL, "metrics_address", "10.1.0.1:7402")),
        ("two roles of one address", set(CONTROL, "worker_address", "10.1.0.1:7401")),
        ("election below heartbeat", set(CONTROL, "heartbeat_ms", "300")),
        ("election near heartbeat", set(CONTROL, "election_timeout_ms", "120")),
        ("no replicas", set(&remove(CONTROL, "initial_replicas"), "initial_replicas", "[]")),
        (
            "replicas as a number",
            set(&remove(CONTROL, "initial_replicas"), "initial_replicas", "3"),
        ),
        ("replica as an address", replicas(&[REPLICA_1, "10.2.0.1:7401"])),
        ("replica without address", replicas(&[REPLICA_1, "{replica_id: 2}"])),
        ("replica with unknown key", replicas(&[REPLICA_1, "{id: 2, address: 10.2.0.1:7401}"])),
        ("replica number twice", replicas(&[REPLICA_1, "{replica_id: 1, address: 10.2.0.1:7401}"])),
        (
            "replica address twice",
            replicas(&[REPLICA_1, "{replica_id: 2, address: 10.1.0.1:7401}"]),
        ),
        ("own number not listed", set(CONTROL, "replica_id", "9")),
        ("own address differs", replicas(&["{replica_id: 1, address: 10.9.0.1:7401}", REPLICA_2])),
        ("too many replicas", too_many_replicas()),
        ("several at once", several_at_once()),
    ]
}

fn too_many_replicas() -> String {
    let elements: Vec<String> =
        (1..=14).map(|id| format!("{{replica_id: {id}, address: 10.{id}.0.1:7401}}")).collect();
    let elements: Vec<&str> = elements.iter().map(String::as_str).collect();
    set_list(CONTROL, "initial_replicas", &elements)
}

fn several_at_once() -> String {
    let settings = set(CONTROL, "drain_limit_s", "6");
    let settings = set(&settings, "heartbeat_ms", "0");
    let settings = set(&settings, "election_timeout_ms", "7");
    remove(&settings, "node")
}

/// Guards against an invalid file that is accepted, and against messages that omit the key, the
/// value or the remedy.
#[test]
fn messages_name_remedy() {
    let mut table = String::new();
    for (name, settings) in cases() {
        let problems = check_text(&settings);
        assert!(!problems.is_empty(), "accepted: {name}\n{settings}");
        table.push_str(&format!("{name}\n"));
        for problem in problems {
            table.push_str(&format!("    {problem}\n"));
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against cases that are rejected for a reason other than the one they name, because the
/// settings that they modify are already invalid.
#[test]
fn unmodified_settings_accepted() {
    for settings in [CONTROL, ENTRY, AGENT] {
        assert_eq!(check_text(settings), []);
    }
}

/// Guards against the removal of cases.
#[test]
fn at_least_forty_cases() {
    assert!(cases().len() >= 40, "only {} cases of invalid settings", cases().len());
}
