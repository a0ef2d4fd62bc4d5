//! Guards against help that changes unnoticed; `docs/command-line.md` quotes it.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::run;
use yuccatack_cli::ExitStatus;

const COMMANDS: [&[&str]; 11] = [
    &[],
    &["run"],
    &["check"],
    &["apply"],
    &["get"],
    &["withdraw"],
    &["status"],
    &["explain", "job"],
    &["report"],
    &["report", "burn"],
    &["completions"],
];

#[test]
fn every_command() {
    let mut text = String::new();
    for command in COMMANDS {
        let mut arguments = command.to_vec();
        arguments.push("--help");
        let outcome = run(&arguments);
        assert_eq!(outcome.status, ExitStatus::Done);
        text.push_str(&format!("## yuccatack {}\n\n{}\n", command.join(" "), outcome.results));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn definition_is_consistent() {
    yuccatack_cli::command().debug_assert();
}

#[test]
fn completions_name_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let outcome = run(&["completions", shell]);
        assert_eq!(outcome.status, ExitStatus::Done);
        assert!(outcome.results.contains("withdraw"), "{shell}");
    }
}
