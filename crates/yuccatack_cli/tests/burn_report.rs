//! Guards against a burn report whose numbers differ from the counts of the processes.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use serde_json::{Value, json};
use support::{Entry, Reply, run};
use yuccatack_cli::ExitStatus;

/// Builds the report of one objective with `good` good events out of 1000 in every window.
fn burn_report(good: u32) -> Value {
    let burn_rate = f64::from(1000 - good) / 1000.0 / 0.01;
    let window = |seconds: u32| {
        json!({
            "window_s": seconds, "good": good, "total": 1000, "burn_rate": burn_rate,
        })
    };
    json!({
        "observed_s": 900,
        "series": [{
            "objective": "fast-rankings", "organisation": "selangor",
            "indicator": "request latency of rankings", "target_ratio": 0.99, "threshold_ms": 500,
            "alert": "none", "windows": [window(300), window(1800), window(3600), window(21600)],
            "plot": [{"good": good, "total": 1000}],
        }],
    })
}

fn start_process(path: &'static str, good: u32) -> Entry {
    Entry::start(move |request| match request.path == path {
        true => Reply::Json(200, burn_report(good)),
        false => Reply::Text(404, "not here"),
    })
}

/// Guards against a table that omits or misplaces a value of the report.
#[test]
fn entry_report_shown() {
    let entry = start_process("/v1/burn", 980);
    let outcome = entry.run(&["report", "burn"]);
    insta::assert_snapshot!(outcome.text());
}

/// Guards against a merged report whose counts, burn rate or alert come from some of the processes
/// only, and against an HTML page without a chart.
#[test]
fn process_reports_merged() {
    let (first, second) = (start_process("/burn", 1000), start_process("/burn", 600));
    let (first, second) = (first.address.to_string(), second.address.to_string());
    let folder = tempfile::tempdir().unwrap();
    let page = folder.path().join("burn.html");
    let outcome = run(&[
        "report",
        "burn",
        "--metrics-address",
        &first,
        "--metrics-address",
        &second,
        "--output",
        "json",
        "--html",
        page.to_str().unwrap(),
    ]);
    assert_eq!(outcome.status, ExitStatus::Done, "{}", outcome.text());
    let merged: Value = serde_json::from_str(&outcome.results).unwrap();
    // 1600 of 2000 events are good: a burn rate of 0.2 / 0.01 = 20, which raises a page alert.
    let window = &merged["series"][0]["windows"][0];
    assert_eq!((window["good"].as_u64(), window["total"].as_u64()), (Some(1600), Some(2000)));
    assert!((window["burn_rate"].as_f64().unwrap() - 20.0).abs() < 1e-6);
    assert_eq!(merged["series"][0]["alert"], "page");
    assert!(std::fs::read_to_string(page).unwrap().contains("<svg"));
}

/// Guards against a 404 response that is reported as a success or without the path.
#[test]
fn missing_report_path_shown() {
    let entry = start_process("/burn", 1000);
    let outcome = entry.run(&["report", "burn"]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(outcome.messages.contains("no burn report at /v1/burn"), "{}", outcome.messages);
}

/// Guards against an HTML page that cannot be written and is reported as a success or without its
/// path.
#[test]
fn unwritable_page_path_shown() {
    let entry = start_process("/v1/burn", 980);
    let outcome = entry.run(&["report", "burn", "--html", "none/burn.html"]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(outcome.messages.contains("cannot write none/burn.html"), "{}", outcome.messages);
}
