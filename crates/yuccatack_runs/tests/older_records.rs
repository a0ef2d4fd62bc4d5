//! Guards against job tables that a later version cannot read, or whose jobs it no longer finds.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use yuccatack_core::JobName;
use yuccatack_runs::{JobOrigin, JobPhase, JobTable, RunEnd, RunOutcome, RunStart};

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

/// Scheduled job as versions wrote it that kept the progress of all occurrences: the first one has
/// completed, the second one runs, and the third one is due.
const TABLE_WITH_ALL_OCCURRENCES: &str = r#"{
    "jobs": {
        "a": {
            "submission": {
                "name": "a", "queue": "queue", "service": "pool", "organisation": "tenant",
                "priority": 1, "max_attempts": 2, "stretch": 3.0, "allowance_ms": 1000,
                "accepted_at_unix_ms": 1800000000000,
                "spec": {
                    "payload": "payload",
                    "steps": [{
                        "task_count": 1,
                        "demand": {"cores_milli": 0, "memory_bytes": 0, "accelerator_count": 0},
                        "estimated_run_ms": 0, "after": [], "checkpointing": false, "gang": false,
                        "rack_local": false, "required_label": null, "data_rack": null,
                        "tasks_per_worker": null, "speculative": false, "long_running": false,
                        "image": null, "latency_target_ms": null, "fills": false,
                        "unavailable_limit": null
                    }],
                    "schedule": {"first_at_unix_ms": 0, "period_ms": 0, "occurrence_count": 3}
                }
            },
            "order": 1, "phase": "Running", "ended_at_unix_ms": null,
            "occurrences": {
                "0": {"steps": [{
                    "tasks": [{"done": true, "last_run": 1, "failed_count": 0, "open_count": 0,
                               "checkpoint": null}],
                    "gang": {"last_run": 0, "failed_count": 0, "last_failed_run": 0,
                             "checkpoint": null}
                }]},
                "1": {"steps": [{
                    "tasks": [{"done": false, "last_run": 1, "failed_count": 0, "open_count": 1,
                               "checkpoint": null}],
                    "gang": {"last_run": 0, "failed_count": 0, "last_failed_run": 0,
                             "checkpoint": null}
                }]}
            }
        }
    },
    "runs": [[
        {"task": {"job": "a", "occurrence": 1, "step": 0, "index": 0}, "number": 1},
        {"life": {"node": "n", "worker": "w", "started_at_unix_ms": 5},
         "demand": {"cores_milli": 0, "memory_bytes": 0, "accelerator_count": 0}}
    ]],
    "noted_ends": [],
    "next_order": 1
}"#;

#[test]
fn completed_occurrences_read() {
    let mut table: JobTable = serde_json::from_str(TABLE_WITH_ALL_OCCURRENCES).unwrap();
    let name = JobName::new("a").unwrap();
    let job = table.job(&name).unwrap();
    assert!(job.completed_occurrences.contains(0), "the first occurrence would run again");
    assert_eq!(job.occurrences.keys().collect::<Vec<_>>(), [&1]);
    let run = table.open_runs().keys().next().unwrap().clone();
    let mut begin = |occurrence: u32| {
        let mut start = RunStart {
            run: run.clone(),
            incarnation: table.open_runs().values().next().unwrap().incarnation.clone(),
        };
        start.run.task.occurrence = occurrence;
        table.begin(&[start])
    };
    assert!(!begin(0), "a completed occurrence began again");
    assert!(!begin(1), "a running occurrence began twice");
    assert!(begin(2));
    for run in table.open_runs().keys().cloned().collect::<Vec<_>>() {
        table.end(RunEnd { run, outcome: RunOutcome::Done, checkpoint: None }, 1);
    }
    assert_eq!(table.job(&name).unwrap().phase, JobPhase::Completed);
    let encoded = serde_json::to_string(&table).unwrap();
    assert_eq!(serde_json::from_str::<JobTable>(&encoded).unwrap(), table);
}
