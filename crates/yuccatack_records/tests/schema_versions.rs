//! Records of both schema versions coexist in the store and are converted to the same internal
//! type.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{NOW, accepted, change, key, refused, store_with_organisation};
use yuccatack_records::{Operation, RecordKind, RefusalKind, decode};

/// Pairs of equivalent records in version 1 and version 2.
const PAIRS: [(&str, &str); 8] = [
    (
        r#"{"schema_version":1,"kind":"organisation","name":"tri","gpu_quota":16,"weight":3,"requests_per_minute":600,"requests_in_flight":5}"#,
        r#"{"schema_version":2,"kind":"organisation","name":"tri","accelerator_quota_count":16,"fair_share_weight":3,"request_rate_per_s":10,"request_concurrency_count":5}"#,
    ),
    (
        r#"{"schema_version":1,"kind":"guarantee","name":"g","organisation":"tri","gpus":16,"copies":2,"data_centre":"desaru"}"#,
        r#"{"schema_version":2,"kind":"guarantee","name":"g","organisation":"tri","tasks":2,"accelerators_per_task":8,"shape_count":2,"data_centres":["desaru"]}"#,
    ),
    (
        r#"{"schema_version":1,"kind":"job","name":"j","organisation":"tri","gpus":4,"run_time_minutes":90,"class":"batch","rerunnable":true,"checkpoints":true,"command":"rank --all"}"#,
        r#"{"schema_version":2,"kind":"job","name":"j","organisation":"tri","tasks":1,"accelerators_per_task":4,"adjacency":"worker","declared_run_time_s":5400,"class":"batch","idempotent":true,"checkpointable":true,"command":["rank","--all"]}"#,
    ),
    (
        r#"{"schema_version":1,"kind":"policy","name":"p","completion_percent":75,"reserve_workers":1}"#,
        r#"{"schema_version":2,"kind":"policy","name":"p","completion_weight":0.75,"fragmentation_weight":0.25,"reserve_worker_count":1}"#,
    ),
    (
        r#"{"schema_version":1,"kind":"service","name":"s","slots":4,"connections":8,"queue":9,"timeout_seconds":2}"#,
        r#"{"schema_version":2,"kind":"service","name":"s","slot_count":4,"connection_count":8,"queue_length_count":9,"default_deadline_ms":2000}"#,
    ),
    (
        r#"{"schema_version":1,"kind":"objective","name":"o","measure":"request_latency","of":"s","target_percent":50,"threshold_seconds":0.25}"#,
        r#"{"schema_version":2,"kind":"objective","name":"o","indicator":{"request_latency":"s"},"target_ratio":0.5,"threshold_ms":250}"#,
    ),
    (
        r#"{"schema_version":1,"kind":"membership","name":"control","replicas":["1@10.0.0.1:7100"]}"#,
        r#"{"schema_version":2,"kind":"membership","name":"control","replicas":[{"replica_id":1,"address":"10.0.0.1:7100"}]}"#,
    ),
    (
        r#"{"schema_version":1,"kind":"organisation","name":"plain","gpu_quota":1}"#,
        r#"{"schema_version":2,"kind":"organisation","name":"plain","accelerator_quota_count":1}"#,
    ),
];

/// Guards against a unit or default value that differs between the versions.
#[test]
fn versions_mean_the_same() {
    for (first, second) in PAIRS {
        assert_eq!(decode(first.as_bytes()), decode(second.as_bytes()), "{first}");
        assert!(decode(first.as_bytes()).is_ok(), "{:?}", decode(first.as_bytes()));
    }
}

/// Guards against a store that converts a stored document to another version.
#[test]
fn document_is_kept_as_written() {
    for (first, second) in PAIRS {
        for document in [first, second] {
            let mut store = store_with_organisation("tri");
            let service = r#"{"schema_version":2,"kind":"service","name":"s"}"#;
            store.apply(&change("service", Operation::Submit, 0, service), NOW);
            let decoded = yuccatack_records::decode_document(document.as_bytes()).unwrap();
            let replaces = store.current_generation(&decoded.key).get();
            let operation = if replaces == 0 { Operation::Submit } else { Operation::Change };
            accepted(&store.apply(&change("document", operation, replaces, document), NOW));
            let stored = store.get(&decoded.key).unwrap();
            assert_eq!(&*stored.document, document);
            assert_eq!(stored.schema_version, decoded.schema_version);
        }
    }
}

/// Guards against a snapshot that omits part of the store.
#[test]
fn snapshot_restores_the_store() {
    let mut store = store_with_organisation("tri");
    for (index, (first, _)) in PAIRS.iter().enumerate() {
        store.apply(&change(&format!("id-{index}"), Operation::Submit, 0, first), NOW);
    }
    let withdrawal = r#"{"kind":"guarantee","name":"g"}"#;
    accepted(&store.apply(&change("gone", Operation::Withdraw, 1, withdrawal), NOW));
    let bytes = rmp_serde::to_vec_named(&store).unwrap();
    let restored: yuccatack_records::RecordStore = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(store, restored);
}

/// Guards against a record of a future schema version that is interpreted by the rules of the
/// newest known one.
#[test]
fn newer_version_is_refused() {
    let mut store = store_with_organisation("tri");
    let document = r#"{"schema_version":3,"kind":"policy","name":"p"}"#;
    let outcome = store.apply(&change("newer", Operation::Submit, 0, document), NOW);
    assert_eq!(refused(&outcome), (RefusalKind::NewerSchemaVersion, 0));
    assert!(store.get(&key(RecordKind::Policy, "p")).is_none());
}
