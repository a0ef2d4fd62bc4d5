//! Guards against log lines that programs cannot parse or that lack a key on which they depend.

#![allow(clippy::unwrap_used, missing_docs)]

use chrono::{DateTime, Utc};
use log::{Level, Log, Record};
use serde_json::Value;
use yuccatack_core::NodeName;
use yuccatack_telemetry::LogDestination;
use yuccatack_telemetry::logging::{JsonLines, LineContext};

fn context() -> LineContext {
    LineContext::new(NodeName::new("entry-1").unwrap())
}

fn time() -> DateTime<Utc> {
    DateTime::from_timestamp(1_700_000_000, 5_000_000).unwrap()
}

#[test]
fn keys_in_order() {
    let pairs: &[(&str, log::kv::Value<'_>)] = &[
        ("event", "request_unknown".into()),
        ("request_id", "ab12".into()),
        ("revision", 7_u64.into()),
        ("late", true.into()),
        ("ratio", 0.5.into()),
        ("node", "forged".into()),
    ];
    let record = Record::builder()
        .args(format_args!("no response \"yet\"\nfrom the minion"))
        .level(Level::Warn)
        .target("yuccatack_entry::call")
        .key_values(&pairs)
        .build();
    insta::assert_snapshot!(context().encode(&record, time()), @r#"{"time":"2023-11-14T22:13:20.005Z","level":"warn","node":"entry-1","event":"request_unknown","message":"no response \"yet\"\nfrom the minion","request_id":"ab12","revision":7,"late":true,"ratio":0.5}"#);
}

#[test]
fn library_lines_have_target() {
    let record = Record::builder()
        .args(format_args!("connection reset"))
        .level(Level::Error)
        .target("hyper::client")
        .build();
    insta::assert_snapshot!(context().encode(&record, time()), @r#"{"time":"2023-11-14T22:13:20.005Z","level":"error","node":"entry-1","event":"library_message","target":"hyper::client","message":"connection reset"}"#);
}

/// Writes `line_count` lines with one event name and reads the file back.
fn write_lines(event: &str, line_count: usize) -> Vec<Value> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.log");
    let destination = LogDestination::File(path.clone());
    let lines = JsonLines::open(context(), log::LevelFilter::Info, destination).unwrap();
    let pairs: &[(&str, &str)] = &[("event", event)];
    for _ in 0..line_count {
        let mut record = Record::builder();
        record.level(Level::Warn).target("yuccatack_agent").key_values(&pairs);
        lines.log(&record.args(format_args!("lost")).build());
    }
    let mut record = Record::builder();
    record.level(Level::Info).target("hyper_util");
    lines.log(&record.args(format_args!("details of a library")).build());
    lines.flush();
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// Guards against the loss of lines that are still queued when the process exits.
#[test]
fn flush_writes_file() {
    let written = write_lines("minion_lost", 25);
    assert_eq!(written.len(), 21, "expected 20 lines and their summary: {written:?}");
    assert_eq!(written[20]["event"], "repeated_lines");
    assert_eq!(written[20]["repeated_event"], "minion_lost");
    assert_eq!(written[20]["suppressed_count"], 5);
}

/// Guards against a list of unfinished work that the limit on repeated lines truncates.
#[test]
fn unfinished_work_not_limited() {
    assert_eq!(write_lines("attempt_left", 100).len(), 100);
}

#[test]
fn missing_folder_named() {
    let folder = tempfile::tempdir().unwrap();
    let destination = LogDestination::File(folder.path().join("none/entry.log"));
    let error = JsonLines::open(context(), log::LevelFilter::Info, destination).unwrap_err();
    assert!(error.to_string().contains("none/entry.log"), "{error}");
}
