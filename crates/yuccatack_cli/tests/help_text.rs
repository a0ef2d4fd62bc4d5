//! Guards against unintended changes of the help texts, which `docs/command-line.md` quotes.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::path::Path;

use support::run;
use yuccatack_cli::ExitStatus;

const COMMANDS: [&[&str]; 15] = [
    &[],
    &["run"],
    &["host"],
    &["check"],
    &["apply"],
    &["get"],
    &["withdraw"],
    &["evacuate"],
    &["readmit"],
    &["evacuations"],
    &["status"],
    &["explain", "job"],
    &["report"],
    &["report", "burn"],
    &["completions"],
];

/// Guards against a help text that changes without a review.
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

/// Guards against a page whose help texts differ from those of the program.
#[test]
fn page_quotes_help() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/command-line.md");
    let page = std::fs::read_to_string(path).unwrap();
    for command in COMMANDS {
        let mut arguments = command.to_vec();
        arguments.push("--help");
        let help = run(&arguments).results;
        let help: Vec<&str> = help.lines().map(str::trim_end).collect();
        let quoted = format!("```text\n{}\n```", help.join("\n"));
        assert!(page.contains(&quoted), "docs/command-line.md must quote:\n{quoted}");
    }
}

/// Guards against contradictory argument definitions. Without this check, clap detects them only in
/// debug builds, and only for the commands that are parsed.
#[test]
fn argument_definitions_consistent() {
    yuccatack_cli::command().debug_assert();
}

/// Guards against completion scripts that lack commands.
#[test]
fn completions_contain_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let outcome = run(&["completions", shell]);
        assert_eq!(outcome.status, ExitStatus::Done);
        assert!(outcome.results.contains("withdraw"), "{shell}");
    }
}
