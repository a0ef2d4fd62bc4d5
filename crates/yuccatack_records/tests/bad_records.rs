//! Refusal messages for invalid documents of each kind.
//!
//! The expected messages are in `snapshots/`; each of them states a remedy.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::fmt::Write;

use support::{NOW, accepted, change, organisation, store_with_organisation};
use yuccatack_records::{ChangeOutcome, MAX_DOCUMENT_LENGTH_BYTES, Operation, RecordStore};

const NOT_READABLE: [&str; 12] = [
    "",
    "{",
    "[1]",
    "null",
    r#"{"kind":"job","name":"j"}"#,
    r#"{"schema_version":2,"name":"j"}"#,
    r#"{"schema_version":"2","kind":"job","name":"j"}"#,
    r#"{"schema_version":0,"kind":"job","name":"j"}"#,
    r#"{"schema_version":3,"kind":"job","name":"j","anything":true}"#,
    r#"{"schema_version":2,"kind":"jobs","name":"j"}"#,
    r#"{"schema_version":2,"kind":7,"name":"j"}"#,
    r#"{"schema_version":2,"kind":"policy","name":"p","name":"q","completion_weight":1,"fragmentation_weight":1}"#,
];

const JOBS: [&str; 17] = [
    r#"{"schema_version":2,"kind":"job"}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":0,"accelerators_per_task":0,"declared_run_time_s":0}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":65,"accelerators_per_task":1,"declared_run_time_s":60}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":4294967296,"accelerators_per_task":1,"declared_run_time_s":60}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":-1,"accelerators_per_task":1.5,"declared_run_time_s":60}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":1,"accelerators_per_task":4000000000,"declared_run_time_s":18446744073709551615}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":1,"accelerators_per_task":1,"declared_run_time_s":60,"memory_bytes_per_task":18446744073709551615,"cores_milli_per_task":18446744073709551615}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":1,"accelerators_per_task":1,"declared_run_time_s":1e30}"#,
    r#"{"schema_version":2,"kind":"job","name":"a b","organisation":"","tasks":1,"accelerators_per_task":1,"declared_run_time_s":60}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":1,"accelerators_per_task":1,"declared_run_time_s":60,"adjacency":"room","class":"asap"}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","task":1,"accelerators_per_tsk":1,"gpus":8,"declared_run_time_s":60}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":1,"accelerators_per_task":1,"declared_run_time_s":60,"command":["run",7],"idempotent":"yes"}"#,
    r#"{"schema_version":2,"kind":"job","name":"j","organisation":"nobody","tasks":1,"accelerators_per_task":1,"declared_run_time_s":60}"#,
    r#"{"schema_version":1,"kind":"job","name":"j","organisation":"tri","gpus":12,"run_time_minutes":1}"#,
    r#"{"schema_version":1,"kind":"job","name":"j","organisation":"tri","gpus":520,"run_time_minutes":0}"#,
    r#"{"schema_version":1,"kind":"job","name":"j","organisation":"tri","gpus":1,"run_time_minutes":307445734561825861}"#,
    r#"{"schema_version":1,"kind":"job","name":"j","organisation":"tri","tasks":1,"accelerators_per_task":8,"declared_run_time_s":60}"#,
];

const OTHERS: [&str; 19] = [
    r#"{"schema_version":2,"kind":"organisation","name":"tri","accelerator_quota_count":8}"#,
    r#"{"schema_version":2,"kind":"organisation","name":"new","accelerator_quota_count":2000000000,"fair_share_weight":0,"request_rate_per_s":0}"#,
    r#"{"schema_version":1,"kind":"organisation","name":"new","gpu_quota":"8","weight":null,"requests_per_minute":true}"#,
    r#"{"schema_version":2,"kind":"guarantee","name":"g","organisation":"tri","tasks":64,"accelerators_per_task":8,"shape_count":0}"#,
    r#"{"schema_version":2,"kind":"guarantee","name":"g","organisation":"tri","tasks":1,"accelerators_per_task":8,"data_centres":["desaru","desaru","port dickson"]}"#,
    r#"{"schema_version":1,"kind":"guarantee","name":"g","organisation":"tri","gpus":8,"data_centre":["desaru"]}"#,
    r#"{"schema_version":2,"kind":"policy","name":"p","completion_weight":0,"fragmentation_weight":0}"#,
    r#"{"schema_version":2,"kind":"policy","name":"p","completion_weight":-1,"fragmentation_weight":1e300,"reserve_worker_count":4294967295}"#,
    r#"{"schema_version":1,"kind":"policy","name":"p","completion_percent":101}"#,
    r#"{"schema_version":2,"kind":"service","name":"s","slot_count":0,"default_deadline_ms":0}"#,
    r#"{"schema_version":2,"kind":"service","name":"s","slot_count":65,"connection_count":64}"#,
    r#"{"schema_version":1,"kind":"service","name":"s","timeout_seconds":"30s","queue":-5}"#,
    r#"{"schema_version":2,"kind":"objective","name":"o","indicator":{"request_latency":"s","job_start":"urgent"},"target_ratio":1,"threshold_ms":0}"#,
    r#"{"schema_version":2,"kind":"objective","name":"o","indicator":{"latency":"s"},"target_ratio":0.9,"threshold_ms":5}"#,
    r#"{"schema_version":2,"kind":"objective","name":"o","organisation":"nobody","indicator":{"request_latency":"unknown"},"target_ratio":0.9,"threshold_ms":5}"#,
    r#"{"schema_version":1,"kind":"objective","name":"o","measure":"speed","of":"s","target_percent":100,"threshold_seconds":-1}"#,
    r#"{"schema_version":2,"kind":"membership","name":"main","replicas":[]}"#,
    r#"{"schema_version":2,"kind":"membership","name":"control","replicas":[{"replica_id":1,"address":"host:1"},{"replica_id":1,"address":"host:1"},{"replica_id":0,"adress":"10.0.0.1:1"}]}"#,
    r#"{"schema_version":1,"kind":"membership","name":"control","replicas":["1@10.0.0.1","x@10.0.0.1:7100","2"]}"#,
];

fn messages(store: &mut RecordStore, documents: &[&str]) -> String {
    let mut text = String::new();
    for (index, document) in documents.iter().enumerate() {
        let change = change(&format!("bad-{index}"), Operation::Submit, 0, document);
        let ChangeOutcome::Refused(refusal) = store.apply(&change, NOW) else {
            panic!("accepted: {document}");
        };
        writeln!(text, "{document}\n  {}:", refusal.kind.as_str()).unwrap();
        for line in refusal.message.lines() {
            writeln!(text, "  - {line}").unwrap();
        }
    }
    text
}

/// Guards against documents that are accepted without a kind or version, or refused without a
/// remedy.
#[test]
fn unreadable_documents() {
    let mut store = store_with_organisation("tri");
    insta::assert_snapshot!(messages(&mut store, &NOT_READABLE));
}

/// Guards against accepting jobs whose sizes are zero, overflow or exceed the maximum gang size.
#[test]
fn bad_jobs() {
    let mut store = store_with_organisation("tri");
    insta::assert_snapshot!(messages(&mut store, &JOBS));
}

/// Guards against accepting invalid records of the other kinds.
#[test]
fn bad_records_of_other_kinds() {
    let mut store = store_with_organisation("tri");
    insta::assert_snapshot!(messages(&mut store, &OTHERS));
}

/// Guards against oversized documents, names and change ids that exhaust memory: a refusal message
/// must be bounded, and a malformed change id must not be retained.
#[test]
fn oversized_texts_are_refused() {
    let mut store = store_with_organisation("tri");
    let long_document = " ".repeat(MAX_DOCUMENT_LENGTH_BYTES + 1);
    let long_name = organisation(&"x".repeat(129), 1);
    let keys: String = (0..1_000).map(|index| format!(r#""k{index}":1,"#)).collect();
    let many_keys = format!(r#"{{{keys}"schema_version":2,"kind":"policy","name":"p"}}"#);
    for (id, document) in [("a", &long_document), ("b", &long_name), ("c", &many_keys)] {
        let outcome = store.apply(&change(id, Operation::Submit, 0, document), NOW);
        let ChangeOutcome::Refused(refusal) = outcome else { panic!("{id} was accepted") };
        assert!(refusal.message.len() <= 4096, "{}", refusal.message.len());
    }
    let retained_count = store.retained_change_count();
    for id in ["", "with space", "\u{e9}", &"x".repeat(129)] {
        let outcome = store.apply(&change(id, Operation::Submit, 0, "{}"), NOW);
        assert!(matches!(outcome, ChangeOutcome::Refused(_)));
    }
    assert_eq!(store.retained_change_count(), retained_count);
}

/// Guards against a deeply nested document that overflows the stack of each replica that parses it.
#[test]
fn deep_nesting_is_refused() {
    let mut store = store_with_organisation("tri");
    let nested = format!(r#"{{"schema_version":2,"kind":"job","name":{}"#, "[".repeat(60_000));
    let outcome = store.apply(&change("deep", Operation::Submit, 0, &nested), NOW);
    assert!(matches!(outcome, ChangeOutcome::Refused(_)));
}

/// Guards against a check that refuses a value equal to its limit.
#[test]
fn largest_values_are_accepted() {
    let mut store = store_with_organisation("tri");
    let job = r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":64,"accelerators_per_task":64,"declared_run_time_s":31622400}"#;
    accepted(&store.apply(&change("largest", Operation::Submit, 0, job), NOW));
}
