//! Guards against invalid files that pass the check, and problems reported without place or remedy.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use serde_json::Value;
use support::{Outcome, run};
use yuccatack_cli::ExitStatus;

const ENTRY: &str = "\
role: entry
node: entry-1
data_centre: putrajaya
listen_address: 10.1.0.2:7400
control_addresses: [10.1.0.1:7401]
";

const JOB: &str = "\
schema_version: 2
kind: job
name: rankings-7
organisation: selangor
tasks: 2
accelerators_per_task: 4
class: urgent
declared_run_time_s: 600
command: [rank, --race, '7']
";

/// Checks one file and removes the temporary folder from the results, for stable snapshots.
fn check(name: &str, text: &str, options: &[&str]) -> Outcome {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    let mut arguments = vec!["check", path.to_str().unwrap()];
    arguments.extend(options);
    let mut outcome = run(&arguments);
    let prefix = format!("{}/", folder.path().display());
    outcome.results = outcome.results.replace(&prefix, "");
    outcome
}

fn without(text: &str, key: &str) -> String {
    let lines = text.lines().filter(|line| !line.starts_with(&format!("{key}:")));
    lines.map(|line| format!("{line}\n")).collect()
}

fn with(text: &str, key: &str, value: &str) -> String {
    format!("{}{key}: {value}\n", without(text, key))
}

/// Guards against valid settings and records that the check rejects.
#[test]
fn valid_files_pass() {
    for text in [ENTRY, JOB, &format!("{JOB}---\n{JOB}---\n")] {
        let outcome = check("file.yaml", text, &[]);
        assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
        assert_eq!(outcome.results, "");
    }
}

/// Guards against a record in JSON and schema version 1 that the check rejects.
#[test]
fn json_record_passes() {
    let text = r#"{"schema_version": 1, "kind": "job", "name": "a", "organisation": "b",
        "gpus": 4, "run_time_minutes": 9}"#;
    let outcome = check("job.json", text, &[]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
}

/// Guards against an invalid file that passes, and a message that omits the place or the remedy.
#[test]
fn messages_name_remedy() {
    let service = "schema_version: 2\nkind: service\nname: rankings\n";
    let objective = "schema_version: 2\nkind: objective\nname: fast\ntarget_ratio: 0.99\n\
                     threshold_ms: 500\n";
    let policy = "schema_version: 2\nkind: policy\nname: timing\ncompletion_weight: 1.0\n\
                  fragmentation_weight: 0.2\n";
    let cases: Vec<(&str, String)> = vec![
        ("settings among records", format!("{JOB}---\n{ENTRY}")),
        ("wrong settings", with(ENTRY, "drain_limit_s", "30")),
        ("key twice", format!("{JOB}name: other\n")),
        ("no YAML", "kind: [".to_owned()),
        ("neither record nor settings", "colour: green\n".to_owned()),
        ("a list", "- kind: job\n".to_owned()),
        ("second document wrong", format!("{JOB}---\n{}", without(JOB, "tasks"))),
        ("kind unknown", with(JOB, "kind", "jab")),
        ("kind missing", without(JOB, "kind")),
        ("version missing", without(JOB, "schema_version")),
        ("version zero", with(JOB, "schema_version", "0")),
        ("version newer", with(JOB, "schema_version", "3")),
        ("version as text", with(JOB, "schema_version", "'2'")),
        ("name missing", without(JOB, "name")),
        ("name with a space", with(JOB, "name", "rankings 7")),
        ("organisation missing", without(JOB, "organisation")),
        ("no tasks", with(JOB, "tasks", "0")),
        ("too many accelerators", with(JOB, "accelerators_per_task", "9999")),
        ("fraction of an accelerator", with(JOB, "accelerators_per_task", "0.5")),
        ("class unknown", with(JOB, "class", "fast")),
        ("adjacency unknown", with(JOB, "adjacency", "region")),
        ("run time missing", without(JOB, "declared_run_time_s")),
        ("run time zero", with(JOB, "declared_run_time_s", "0")),
        ("key of version 1", with(JOB, "gpus", "8")),
        ("key misspelt", with(JOB, "idempotant", "true")),
        ("flag as text", with(JOB, "idempotent", "'yes'")),
        ("command as text", with(JOB, "command", "rank")),
        ("slots zero", with(service, "slot_count", "0")),
        ("connections below slots", with(service, "connection_count", "2")),
        ("target above one", with(objective, "target_ratio", "99.9")),
        ("indicator missing", objective.to_owned()),
        ("negative weight", with(policy, "completion_weight", "-1")),
        ("weight missing", without(policy, "fragmentation_weight")),
        ("several at once", with(&with(&without(JOB, "name"), "tasks", "0"), "class", "fast")),
    ];
    let mut table = String::new();
    for (name, text) in cases {
        let outcome = check("file.yaml", &text, &[]);
        assert_eq!(outcome.status, ExitStatus::Refused, "accepted: {name}\n{}", outcome.text());
        table.push_str(&format!("{name}\n"));
        for line in outcome.results.lines() {
            table.push_str(&format!("    {line}\n"));
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against `--output json` that a program cannot parse.
#[test]
fn json_output_valid() {
    let outcome = check("job.yaml", &with(JOB, "tasks", "0"), &["--output", "json"]);
    let problems: Value = serde_json::from_str(&outcome.results).unwrap();
    assert_eq!(problems[0]["file"], "job.yaml");
    assert_eq!(problems[0]["document"], 1);
    assert!(problems[0]["message"].as_str().unwrap().contains("`tasks` is 0"));
}

/// Guards against a missing file that is reported as a problem of its content.
#[test]
fn missing_file_is_usage_error() {
    let outcome = run(&["check", "none.yaml"]);
    assert_eq!(outcome.status, ExitStatus::Usage);
    assert!(outcome.messages.contains("cannot read none.yaml"), "{}", outcome.messages);
}
