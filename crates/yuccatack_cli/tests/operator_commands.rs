//! Guards against changes that are sent wrongly, sent twice as two, or reported wrongly.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::path::PathBuf;

use serde_json::{Value, json};
use support::{Entry, Received, Reply};
use yuccatack_cli::ExitStatus;

const ORGANISATION: &str = "\
schema_version: 2
kind: organisation
name: selangor
accelerator_quota_count: 16
";

struct Files {
    folder: tempfile::TempDir,
}

impl Files {
    fn new() -> Self {
        Self { folder: tempfile::tempdir().unwrap() }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

fn accepted(generation: u64) -> Reply {
    Reply::Json(200, json!({"outcome": "accepted", "generation": generation, "revision": 40}))
}

fn stored(generation: u64) -> Value {
    let record = json!({"schema_version": 2, "kind": "organisation", "name": "selangor"});
    json!({
        "kind": "organisation", "name": "selangor", "generation": generation, "revision": 31,
        "record": record,
    })
}

/// Nothing is in force and every change is accepted.
fn empty_system(request: &Received) -> Reply {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", _) => accepted(1),
        ("GET", path) if path.starts_with("/v1/changes/") => {
            Reply::Json(200, json!({"known": false}))
        }
        _ => Reply::Text(404, "not in force"),
    }
}

#[test]
fn new_record_submitted() {
    let (files, entry) = (Files::new(), Entry::start(empty_system));
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--change-id", "c-1"]);
    insta::assert_snapshot!(outcome.text(), @r"
    exit code 0
    --- results
    KIND          NAME      OUTCOME   GENERATION  DETAIL
    organisation  selangor  accepted  1           not waited for
    --- messages
    organisation selangor: change id c-1
    ");
    let changes = entry.changes();
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0]["change_id"], "c-1");
    assert_eq!(changes[0]["operation"], "submit");
    assert_eq!(changes[0]["replaces_generation"], 0);
    assert_eq!(changes[0]["record"]["accelerator_quota_count"], 16);
}

#[test]
fn existing_record_changed() {
    let files = Files::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => accepted(8),
        _ => Reply::Json(200, stored(7)),
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    let changes = entry.changes();
    assert_eq!(changes[0]["operation"], "change");
    assert_eq!(changes[0]["replaces_generation"], 7);
}

#[test]
fn each_document_has_id() {
    let (files, entry) = (Files::new(), Entry::start(empty_system));
    let second = ORGANISATION.replace("selangor", "johor");
    let path = files.write("organisations.yaml", &format!("{ORGANISATION}---\n{second}"));
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    let changes = entry.changes();
    assert_eq!(changes.len(), 2);
    assert_ne!(changes[0]["change_id"], changes[1]["change_id"]);
    for change in &changes {
        let id = change["change_id"].as_str().unwrap();
        assert!(outcome.messages.contains(id), "id {id} is not printed");
    }
}

/// Guards against later records that are sent although one that they build on was refused.
#[test]
fn refusal_stops_apply() {
    let files = Files::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => Reply::Json(
            409,
            json!({
                "outcome": "refused", "kind": "conflict", "current_generation": 9,
                "message": "generation 9 is in force; read the record again",
            }),
        ),
        _ => Reply::Json(200, stored(7)),
    });
    let second = ORGANISATION.replace("selangor", "johor");
    let path = files.write("organisations.yaml", &format!("{ORGANISATION}---\n{second}"));
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    insta::assert_snapshot!(outcome.results, @r"
    KIND          NAME      OUTCOME  GENERATION  DETAIL
    organisation  selangor  refused  9           conflict: generation 9 is in force; read the record again
    ");
    assert_eq!(entry.changes().len(), 1);
}

/// Guards against a wrong later document that is found only after earlier ones were sent.
#[test]
fn wrong_file_sends_nothing() {
    let (files, entry) = (Files::new(), Entry::start(empty_system));
    let path = files.write("organisations.yaml", &format!("{ORGANISATION}---\nkind: job\n"));
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Usage);
    assert!(outcome.messages.contains("document 2 is not a record"), "{}", outcome.messages);
    assert_eq!(entry.received().len(), 0);
}

/// Guards against a lost answer that becomes a second change.
#[test]
fn lost_answer_resent_same_id() {
    let files = Files::new();
    let mut post_count = 0;
    let entry = Entry::start(move |request| {
        if request.method != "POST" {
            return empty_system(request);
        }
        post_count += 1;
        if post_count == 1 { Reply::Close } else { accepted(1) }
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    let changes = entry.changes();
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[0], changes[1]);
}

#[test]
fn lost_answers_are_unknown() {
    let files = Files::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => Reply::Text(504, "the control leader did not answer"),
        _ => empty_system(request),
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--change-id", "c-1"]);
    assert_eq!(outcome.status, ExitStatus::Unknown);
    insta::assert_snapshot!(outcome.messages, @r"
    organisation selangor: change id c-1
    error: the answer to change c-1 was lost (HTTP status 504: the control leader did not answer); whether it took effect is not known; repeat the command with `--change-id c-1` to get the first answer
    ");
    let changes = entry.changes();
    assert!(changes.iter().all(|change| *change == changes[0]), "{changes:?}");
}

/// Guards against doubt about a change that the entry knows it never sent on.
#[test]
fn unsent_change_not_reachable() {
    let files = Files::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => Reply::Json(503, json!({"kind": "not_sent", "message": "no leader within 3 s"})),
        _ => empty_system(request),
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::NotReachable, "{}", outcome.text());
    assert!(outcome.messages.contains("no leader within 3 s"), "{}", outcome.messages);
}

/// Guards against a lost answer that a later, unsent resend covers up.
#[test]
fn loss_before_unsent_is_unknown() {
    let files = Files::new();
    let mut post_count = 0;
    let entry = Entry::start(move |request| {
        if request.method != "POST" {
            return empty_system(request);
        }
        post_count += 1;
        match post_count {
            1 => Reply::Close,
            _ => Reply::Json(503, json!({"kind": "not_sent", "message": "no leader"})),
        }
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Unknown, "{}", outcome.text());
}

#[test]
fn misunderstood_change_refused() {
    let files = Files::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => Reply::Json(400, json!({"kind": "invalid_change", "message": "send change_id"})),
        _ => empty_system(request),
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(outcome.results.contains("invalid_change: send change_id"), "{}", outcome.results);
}

/// Guards against a resend that is built from the record it has itself brought into force.
#[test]
fn known_change_not_resent() {
    let files = Files::new();
    let entry = Entry::start(|request| match request.path.as_str() {
        "/v1/changes/c-1" => Reply::Json(
            200,
            json!({
                "known": true, "in_force_everywhere": true, "missing_nodes": [],
                "answer": {"outcome": "accepted", "generation": 1, "revision": 40},
            }),
        ),
        _ => Reply::Json(200, stored(1)),
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--change-id", "c-1"]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    assert_eq!(entry.changes().len(), 0);
}

#[test]
fn wait_until_in_force() {
    let files = Files::new();
    let mut status_count = 0;
    let entry = Entry::start(move |request| {
        if !request.path.starts_with("/v1/changes/") {
            return empty_system(request);
        }
        status_count += 1;
        let missing = if status_count < 3 { json!(["entry-2"]) } else { json!([]) };
        let everywhere = status_count >= 3;
        Reply::Json(
            200,
            json!({"known": true, "in_force_everywhere": everywhere, "missing_nodes": missing}),
        )
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--wait"]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    assert!(outcome.results.contains("in force everywhere"), "{}", outcome.results);
}

#[test]
fn wait_names_missing_nodes() {
    let files = Files::new();
    let entry = Entry::start(|request| match request.path.starts_with("/v1/changes/") {
        true => Reply::Json(
            200,
            json!({"known": true, "in_force_everywhere": false, "missing_nodes": ["entry-2"]}),
        ),
        false => empty_system(request),
    });
    let path = files.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--wait", "--wait-limit-s", "1"]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(outcome.results.contains("not yet in force at entry-2"), "{}", outcome.results);
}

#[test]
fn one_id_for_one_record() {
    let (files, entry) = (Files::new(), Entry::start(empty_system));
    let path = files.write("organisations.yaml", &format!("{ORGANISATION}---\n{ORGANISATION}"));
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--change-id", "c-1"]);
    assert_eq!(outcome.status, ExitStatus::Usage);
    assert_eq!(entry.received().len(), 0);
}

#[test]
fn withdrawal_states_generation() {
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => accepted(8),
        _ => Reply::Json(200, stored(7)),
    });
    let outcome = entry.run(&["withdraw", "organisation", "selangor", "--output", "json"]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    let report: Value = serde_json::from_str(&outcome.results).unwrap();
    assert_eq!(report["outcome"], "accepted");
    let changes = entry.changes();
    assert_eq!(changes[0]["operation"], "withdraw");
    assert_eq!(changes[0]["replaces_generation"], 7);
    assert_eq!(changes[0]["record"], json!({"kind": "organisation", "name": "selangor"}));
}

#[test]
fn records_shown() {
    let entry = Entry::start(|request| match request.path.as_str() {
        "/v1/records/organisation" => Reply::Json(200, json!({"records": [stored(7)]})),
        "/v1/records/organisation/selangor" => Reply::Json(200, stored(7)),
        _ => Reply::Text(404, "not in force"),
    });
    let list = entry.run(&["get", "organisation"]);
    let one = entry.run(&["get", "organisation", "selangor"]);
    let none = entry.run(&["get", "organisation", "johor"]);
    assert_eq!(none.status, ExitStatus::Refused);
    insta::assert_snapshot!(format!("{}\n{}\n{}", list.text(), one.text(), none.text()));
}

#[test]
fn status_and_explanation_shown() {
    let entry = Entry::start(|request| match request.path.as_str() {
        "/v1/status" => Reply::Json(
            200,
            json!({
                "leader": "control-1", "revision": 40, "not_in_force": [],
                "capacity": {"free_accelerators": 12, "fragmentation_ratio": 0.25},
                "replicas": [
                    {"replica_id": 1, "role": "leader", "committed_index": 120},
                    {"replica_id": 2, "role": "follower", "committed_index": 119},
                ],
            }),
        ),
        "/v1/jobs/rescoring-q3/explanation" => Reply::Json(
            200,
            json!({
                "job": "rescoring-q3", "state": "waiting",
                "reason": "needs 4 workers in one rack, 3 are free",
                "ahead": ["audit-7", "audit-8"],
            }),
        ),
        _ => Reply::Text(404, "unknown"),
    });
    let status = entry.run(&["status"]);
    let explanation = entry.run(&["explain", "job", "rescoring-q3"]);
    let none = entry.run(&["explain", "job", "other"]);
    assert_eq!(none.status, ExitStatus::Refused);
    insta::assert_snapshot!(format!("{}\n{}\n{}", status.text(), explanation.text(), none.text()));
}

#[test]
fn unavailable_entry_is_not_reachable() {
    let entry = Entry::start(|_| Reply::Text(503, "no leader is known"));
    let outcome = entry.run(&["status"]);
    assert_eq!(outcome.status, ExitStatus::NotReachable);
    assert!(outcome.messages.contains("no leader is known"), "{}", outcome.messages);
}
