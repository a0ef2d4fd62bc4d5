//! Guards against changes that are sent with wrong content, applied twice or reported with a wrong
//! outcome.

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

struct TestFolder {
    folder: tempfile::TempDir,
}

impl TestFolder {
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

/// Replies as an entry without records that accepts every change.
fn reply_without_records(request: &Received) -> Reply {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", _) => accepted(1),
        ("GET", path) if path.starts_with("/v1/changes/") => {
            Reply::Json(200, json!({"known": false}))
        }
        _ => Reply::Text(404, "not in force"),
    }
}

/// Guards against a new record that is sent as a change of an existing one.
#[test]
fn new_record_submitted() {
    let (folder, entry) = (TestFolder::new(), Entry::start(reply_without_records));
    let path = folder.write("organisation.yaml", ORGANISATION);
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

/// Guards against an existing record that is submitted as new or without its generation.
#[test]
fn existing_record_changed() {
    let folder = TestFolder::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => accepted(8),
        _ => Reply::Json(200, stored(7)),
    });
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    let changes = entry.changes();
    assert_eq!(changes[0]["operation"], "change");
    assert_eq!(changes[0]["replaces_generation"], 7);
}

/// Guards against documents that share a change id, and ids that the operator cannot see.
#[test]
fn each_document_has_id() {
    let (folder, entry) = (TestFolder::new(), Entry::start(reply_without_records));
    let second = ORGANISATION.replace("selangor", "johor");
    let path = folder.write("organisations.yaml", &format!("{ORGANISATION}---\n{second}"));
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

/// Guards against records that are sent although an earlier one, on which they may depend, was
/// refused.
#[test]
fn refusal_stops_apply() {
    let folder = TestFolder::new();
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
    let path = folder.write("organisations.yaml", &format!("{ORGANISATION}---\n{second}"));
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    insta::assert_snapshot!(outcome.results, @r"
    KIND          NAME      OUTCOME  GENERATION  DETAIL
    organisation  selangor  refused  9           conflict: generation 9 is in force; read the record again
    ");
    assert_eq!(entry.changes().len(), 1);
}

/// Guards against an invalid document that is detected only after earlier documents were sent.
#[test]
fn invalid_file_sends_nothing() {
    let (folder, entry) = (TestFolder::new(), Entry::start(reply_without_records));
    let path = folder.write("organisations.yaml", &format!("{ORGANISATION}---\nkind: job\n"));
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Usage);
    assert!(outcome.messages.contains("document 2 is not a record"), "{}", outcome.messages);
    assert_eq!(entry.received().len(), 0);
}

/// Guards against a change that is applied twice, because it is resent under another id after its
/// response was lost.
#[test]
fn lost_response_resent_same_id() {
    let folder = TestFolder::new();
    let mut post_count = 0;
    let entry = Entry::start(move |request| {
        if request.method != "POST" {
            return reply_without_records(request);
        }
        post_count += 1;
        if post_count == 1 { Reply::Close } else { accepted(1) }
    });
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    let changes = entry.changes();
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[0], changes[1]);
}

/// Guards against a change without any response that is reported as refused or accepted.
#[test]
fn lost_responses_are_unknown() {
    let folder = TestFolder::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => Reply::Text(504, "the control leader did not answer"),
        _ => reply_without_records(request),
    });
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--change-id", "c-1"]);
    assert_eq!(outcome.status, ExitStatus::Unknown);
    insta::assert_snapshot!(outcome.messages, @r"
    organisation selangor: change id c-1
    error: the answer to change c-1 was lost (HTTP status 504: the control leader did not answer); whether it took effect is not known; repeat the command with `--change-id c-1` to get the first answer
    ");
    let changes = entry.changes();
    assert!(changes.iter().all(|change| *change == changes[0]), "{changes:?}");
}

/// Guards against an unknown outcome for a change that the entry reports as never forwarded.
#[test]
fn unsent_change_not_reachable() {
    let folder = TestFolder::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => Reply::Json(503, json!({"kind": "not_sent", "message": "no leader within 3 s"})),
        _ => reply_without_records(request),
    });
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::NotReachable, "{}", outcome.text());
    assert!(outcome.messages.contains("no leader within 3 s"), "{}", outcome.messages);
}

/// Guards against a change that is reported as not sent although an earlier response to it was
/// lost.
#[test]
fn loss_before_unsent_is_unknown() {
    let folder = TestFolder::new();
    let mut post_count = 0;
    let entry = Entry::start(move |request| {
        if request.method != "POST" {
            return reply_without_records(request);
        }
        post_count += 1;
        match post_count {
            1 => Reply::Close,
            _ => Reply::Json(503, json!({"kind": "not_sent", "message": "no leader"})),
        }
    });
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Unknown, "{}", outcome.text());
}

/// Guards against a status 4xx without an outcome that is not reported as a refusal.
#[test]
fn client_error_is_refusal() {
    let folder = TestFolder::new();
    let entry = Entry::start(|request| match request.method.as_str() {
        "POST" => Reply::Json(400, json!({"kind": "invalid_change", "message": "send change_id"})),
        _ => reply_without_records(request),
    });
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(outcome.results.contains("invalid_change: send change_id"), "{}", outcome.results);
}

/// Replies as an entry whose control leader has accepted change `c-1`, the submission of a new
/// record.
fn reply_after_submission(request: &Received) -> Reply {
    let first = json!({"outcome": "accepted", "generation": 1, "revision": 40});
    if request.path == "/v1/changes/c-1" {
        let status = json!({
            "known": true, "in_force_everywhere": true, "missing_nodes": [], "answer": first,
        });
        return Reply::Json(200, status);
    }
    if request.method != "POST" {
        return Reply::Json(200, stored(1));
    }
    let same_form = request.body["operation"] == "submit"
        && request.body["replaces_generation"] == 0
        && request.body["record"]["name"] == "selangor";
    if same_form {
        return Reply::Json(200, first);
    }
    let refusal = json!({
        "outcome": "refused", "kind": "change_id_reused", "message": "use a new change id",
    });
    Reply::Json(422, refusal)
}

/// Guards against a repeated submission that is refused as a reuse of its own id. It would be built
/// as a change, because the first submission has brought the record into force.
#[test]
fn resend_matches_first_request() {
    let folder = TestFolder::new();
    let entry = Entry::start(reply_after_submission);
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--change-id", "c-1"]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
}

/// Guards against a change that reuses the id of another one and is reported with its response.
#[test]
fn reused_id_is_refused() {
    let folder = TestFolder::new();
    let entry = Entry::start(reply_after_submission);
    let other = ORGANISATION.replace("selangor", "johor");
    let path = folder.write("organisation.yaml", &other);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--change-id", "c-1"]);
    assert_eq!(outcome.status, ExitStatus::Refused, "{}", outcome.text());
    assert!(outcome.results.contains("change_id_reused"), "{}", outcome.results);
}

/// Guards against `--wait` that ends while the change is missing at a node.
#[test]
fn wait_until_in_force() {
    let folder = TestFolder::new();
    let mut status_count = 0;
    let entry = Entry::start(move |request| {
        if !request.path.starts_with("/v1/changes/") {
            return reply_without_records(request);
        }
        status_count += 1;
        let missing = if status_count < 3 { json!(["entry-2"]) } else { json!([]) };
        let everywhere = status_count >= 3;
        Reply::Json(
            200,
            json!({"known": true, "in_force_everywhere": everywhere, "missing_nodes": missing}),
        )
    });
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--wait"]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    assert!(outcome.results.contains("in force everywhere"), "{}", outcome.results);
}

/// Guards against an expired wait that is reported as a success or without the missing nodes.
#[test]
fn expired_wait_lists_missing_nodes() {
    let folder = TestFolder::new();
    let entry = Entry::start(|request| match request.path.starts_with("/v1/changes/") {
        true => Reply::Json(
            200,
            json!({"known": true, "in_force_everywhere": false, "missing_nodes": ["entry-2"]}),
        ),
        false => reply_without_records(request),
    });
    let path = folder.write("organisation.yaml", ORGANISATION);
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--wait", "--wait-limit-s", "1"]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(outcome.results.contains("not yet in force at entry-2"), "{}", outcome.results);
}

/// Guards against one change id that is used for two records.
#[test]
fn change_id_needs_single_record() {
    let (folder, entry) = (TestFolder::new(), Entry::start(reply_without_records));
    let path = folder.write("organisations.yaml", &format!("{ORGANISATION}---\n{ORGANISATION}"));
    let outcome = entry.run(&["apply", path.to_str().unwrap(), "--change-id", "c-1"]);
    assert_eq!(outcome.status, ExitStatus::Usage);
    assert_eq!(entry.received().len(), 0);
}

/// Guards against a withdrawal that does not state the generation it replaces.
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

/// Guards against output of `get` that omits values, and against a missing record that is reported
/// as a success.
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

/// Guards against output of `status` and `explain` that omits values of the document, and against
/// an unknown job that is reported as a success.
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

/// Guards against a status 503 that is reported as a refusal or without its message.
#[test]
fn unavailable_entry_is_not_reachable() {
    let entry = Entry::start(|_| Reply::Text(503, "no leader is known"));
    let outcome = entry.run(&["status"]);
    assert_eq!(outcome.status, ExitStatus::NotReachable);
    assert!(outcome.messages.contains("no leader is known"), "{}", outcome.messages);
}
