//! Guards against usage errors that name no remedy or end with the exit code of a refusal.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{run, run_with_address};
use yuccatack_cli::ExitStatus;

/// Guards against invalid arguments that run a command, write results or name no remedy.
#[test]
fn messages_name_remedy() {
    let cases: [&[&str]; 13] = [
        &["stat"],
        &["get"],
        &["get", "jobs"],
        &["withdraw", "job"],
        &["apply"],
        &["check"],
        &["run"],
        &["explain"],
        &["completions", "cmd"],
        &["status", "--output", "xml"],
        &["status", "--timeout-s", "0"],
        &["status"],
        &["status", "--address", "entry-1:7400"],
    ];
    let mut text = String::new();
    for arguments in cases {
        let outcome = run(arguments);
        assert_eq!(outcome.status, ExitStatus::Usage, "{arguments:?}");
        assert_eq!(outcome.results, "", "results of {arguments:?}");
        text.push_str(&format!("$ yuccatack {}\n{}\n", arguments.join(" "), outcome.messages));
    }
    insta::assert_snapshot!(text);
}

/// Guards against a refused connection that is reported as a lost response.
#[test]
fn closed_port_not_reachable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let outcome = run(&["status", "--address", &address]);
    assert_eq!(outcome.status, ExitStatus::NotReachable);
    assert!(outcome.messages.contains("check the address"), "{}", outcome.messages);
}

/// Guards against an environment variable that overrides `--address`.
#[test]
fn argument_overrides_environment() {
    let outcome =
        run_with_address(&["status", "--address", "nowhere"], Some("127.0.0.1:1".to_owned()));
    assert!(outcome.messages.contains("`nowhere`"), "{}", outcome.messages);
}

/// Guards against a process that starts with invalid settings.
#[test]
fn invalid_settings_not_run() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.yaml");
    std::fs::write(&path, "role: entry\n").unwrap();
    let outcome = run(&["run", path.to_str().unwrap()]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(outcome.messages.contains("control_addresses: the key is missing"));
}
