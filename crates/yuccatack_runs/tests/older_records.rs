//! Guards against job tables that a later version cannot read, or whose jobs it no longer finds.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use yuccatack_core::JobName;
use yuccatack_runs::{JobOrigin, JobTable};

/// Table as versions wrote it that did not store where a job was submitted.
const TABLE_WITHOUT_ORIGINS: &str = r#"{
    "jobs": {
        "a": {
            "submission": {
                "name": "a", "queue": "queue", "service": "pool", "organisation": "tenant",
                "priority": 1, "max_attempts": 2, "stretch": 3.0, "allowance_ms": 1000,
                "accepted_at_unix_ms": 1800000000000,
                "spec": {"payload": "payload", "steps": [], "schedule": null}
            },
            "order": 1, "phase": "Queued", "occurrences": {}, "ended_at_unix_ms": null
        }
    },
    "runs": [],
    "noted_ends": [],
    "next_order": 1
}"#;

#[test]
fn origins_missing() {
    let mut table: JobTable = serde_json::from_str(TABLE_WITHOUT_ORIGINS).unwrap();
    let name = JobName::new("a").unwrap();
    assert_eq!(table.job(&name).unwrap().submission.origin, None);
    assert_eq!(table.jobs_called(&name).count(), 0, "the record does not tell the caller's name");
    let origin =
        JobOrigin { host: Arc::from("host"), path_prefix: Arc::from("/queue/"), name: None };
    table.add_missing_origins(|_| Some(origin.clone()));
    assert_eq!(table.job(&name).unwrap().submission.origin, Some(origin));
}

#[test]
fn origins_kept() {
    let older: JobTable = serde_json::from_str(TABLE_WITHOUT_ORIGINS).unwrap();
    let name = JobName::new("a").unwrap();
    let called = JobName::new("called").unwrap();
    let origin = JobOrigin {
        host: Arc::from("host"),
        path_prefix: Arc::from("/queue/"),
        name: Some(called.clone()),
    };
    let mut submission = older.job(&name).unwrap().submission.clone();
    submission.origin = Some(origin.clone());
    let mut table = JobTable::default();
    table.submit(submission);
    let encoded = serde_json::to_string(&table).unwrap();
    let mut decoded: JobTable = serde_json::from_str(&encoded).unwrap();
    assert_eq!(decoded.jobs_called(&called).count(), 1, "the index of names was not restored");
    decoded.add_missing_origins(|_| None);
    assert_eq!(decoded.job(&name).unwrap().submission.origin, Some(origin));
}
