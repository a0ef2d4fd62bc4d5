//! Guards against log lines without a stable event name, and against events that `docs/logs.md`
//! does not list.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Test doubles are not part of the program, and generated code does not log.
const SKIPPED: [&str; 2] = ["yuccatack_stand_ins", "generated"];

const LOG_CALLS: [&str; 5] =
    ["log::error!(", "log::warn!(", "log::info!(", "log::debug!(", "log::trace!("];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        if SKIPPED.contains(&name.as_str()) || name == "tests" {
            continue;
        }
        if path.is_dir() {
            source_files(&path, files);
        } else if name.ends_with(".rs") {
            files.push(path);
        }
    }
}

/// Returns the source text after each log call, from its first argument on.
fn log_calls(source: &str) -> Vec<&str> {
    let starts = LOG_CALLS
        .iter()
        .flat_map(|call| source.match_indices(call).map(|(position, text)| position + text.len()));
    starts.map(|start| source[start..].trim_start()).collect()
}

fn event(call: &str) -> Option<&str> {
    call.strip_prefix("event = \"")?.split('"').next()
}

#[test]
fn every_event_listed() {
    let page = std::fs::read_to_string(root().join("docs/logs.md")).unwrap();
    let listed: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`'))
        .map(|(event, _)| event)
        .collect();
    let mut files = Vec::new();
    source_files(&root().join("crates"), &mut files);
    source_files(&root().join("platform"), &mut files);
    assert!(files.len() > 50, "only {} source files found", files.len());
    let mut missing = Vec::new();
    for file in files {
        let source = std::fs::read_to_string(&file).unwrap();
        for call in log_calls(&source) {
            let name = file.display();
            match event(call) {
                Some(event) if listed.contains(event) => {}
                Some(event) => missing.push(format!("{name}: add `{event}` to docs/logs.md")),
                None => missing
                    .push(format!("{name}: a log call lacks `event = ` as its first argument")),
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn log_calls_found() {
    let source = "log::warn!(\n    event = \"a_b\", x = 1;\n \"t\"); log::info!(\"no event\");";
    let events: Vec<Option<&str>> = log_calls(source).into_iter().map(event).collect();
    assert_eq!(events, [Some("a_b"), None]);
}
